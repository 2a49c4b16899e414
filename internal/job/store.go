package job

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"heronwick/internal/state"
	"heronwick/internal/wait"
	"heronwick/wire"
)

var (
	// ErrNotReady means that the records have not been read yet.
	ErrNotReady = errors.New("job records not read yet")
	// ErrDependenciesNotSupported means that jobs with dependencies are not accepted
	// yet, because a controller that does not support them may still be running and
	// would start such jobs too early.
	ErrDependenciesNotSupported = errors.New("not every controller supports jobs that need others yet")
)

// maxOutcomes bounds the cached outcomes. Other outcomes are read when they are needed.
const maxOutcomes = 50_000

// Listener is notified of changes to the set of active jobs and their readiness. Its
// methods are called without holding the store's lock.
type Listener interface {
	JobAdded(r *Record)
	JobEnded(id string, outcome Outcome)
	// ReadinessChanged is called with the IDs of active jobs that have become ready or
	// whose effective priority has changed.
	ReadinessChanged(ids []string)
}

// Store is this controller's view of all jobs. It is safe for concurrent use.
type Store struct {
	client              *state.Client
	committer           *state.Committer
	maxValue            int // bytes
	acceptsDependencies func() bool
	log                 *slog.Logger
	loaded              chan struct{} // closed when the records have been read
	resolverWake        chan struct{} // signals that unresolved has grown

	mu            sync.Mutex
	revision      uint64 // of the key-value store up to which all changes are applied
	active        map[string]*Record
	outcomes      map[string]*outcomeEntry
	progress      map[string]Progress // of active jobs
	graph         *graph              // of the active jobs' dependencies
	cascaded      map[string]*Record  // cancelled because of a dependency, and still active in the key-value store
	unresolved    map[string]bool     // dependencies that are not cached, as active or as ended
	cancellations cancellationLog
	listener      Listener
	replicator    Replicator
}

// outcomeEntry is a cached outcome of a job.
type outcomeEntry struct {
	Outcome
	revision   uint64 // at which the job, or the dependency that it was cancelled with, was ended
	replicated bool   // the cancellation may be reported to users
}

// Progress holds the numbers of done and running tasks of a job, for display.
type Progress struct {
	Done, Running int
}

// state returns the state of an active job as reported to users.
func (p Progress) state() wire.JobState {
	if p.Running > 0 {
		return wire.JobRunning
	}
	return wire.JobQueued
}

// Options are the dependencies and settings of a Store.
type Options struct {
	Client    *state.Client
	Committer *state.Committer
	// MaxValueBytes is the maximum size of a value in the key-value store.
	MaxValueBytes int
	// AcceptsDependencies reports whether jobs with dependencies may be accepted.
	AcceptsDependencies func() bool
	Log                 *slog.Logger
}

// NewStore returns an empty store. Run fills it.
func NewStore(opts Options) *Store {
	return &Store{
		client:              opts.Client,
		committer:           opts.Committer,
		maxValue:            opts.MaxValueBytes,
		acceptsDependencies: opts.AcceptsDependencies,
		log:                 opts.Log,
		loaded:              make(chan struct{}),
		resolverWake:        make(chan struct{}, 1),
		active:              map[string]*Record{},
		outcomes:            map[string]*outcomeEntry{},
		progress:            map[string]Progress{},
		graph:               newGraph(),
		cascaded:            map[string]*Record{},
		unresolved:          map[string]bool{},
	}
}

// Run reads all active jobs and applies later changes until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.follow(ctx) })
	g.Go(func() error { return s.runResolver(ctx) })
	g.Go(func() error { return s.runCascadeWrites(ctx) })
	return g.Wait()
}

// Ready reports whether the records have been read.
func (s *Store) Ready() bool {
	select {
	case <-s.loaded:
		return true
	default:
		return false
	}
}

// WaitUntilReady waits until the records have been read. The error is that of ctx.
func (s *Store) WaitUntilReady(ctx context.Context) error { return wait.For(ctx, s.loaded) }

// SetListener makes l the listener for all further changes, replacing the previous one.
// A nil listener turns the notifications off.
func (s *Store) SetListener(l Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = l
}

// SetReplicator sets the replicator of cancellations. Without one, cancellations are
// reported to users without being replicated.
func (s *Store) SetReplicator(r Replicator) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replicator = r
}

// Active returns an active job's record, or nil if none is cached.
func (s *Store) Active(id string) *Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active[id]
}

// AllActive returns the records of all active jobs.
func (s *Store) AllActive() []*Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.active))
}

// Ended reports whether a job is known to have ended. It does not read the key-value
// store.
func (s *Store) Ended(id string) bool {
	_, ended := s.outcome(id)
	return ended
}

// outcome returns a job's outcome if the job is known to have ended.
func (s *Store) outcome(id string) (o Outcome, ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry := s.outcomes[id]; entry != nil {
		return entry.Outcome, true
	}
	return Outcome{}, false
}

// ActiveCPUsByTeam returns, for each team, the total CPUs of all tasks of its active
// jobs.
func (s *Store) ActiveCPUsByTeam() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	weights := map[string]float64{}
	for _, r := range s.active {
		weights[r.Job.Team] += r.Job.CPUs * float64(r.Job.Tasks)
	}
	return weights
}

// SetProgress sets the progress that is displayed for an active job.
func (s *Store) SetProgress(id string, p Progress) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.active[id]; ok {
		s.progress[id] = p
	}
}
