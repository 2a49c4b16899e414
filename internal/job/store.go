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
	// ErrDependenciesNotSupported means that jobs with dependencies are not
	// accepted yet: a controller that would start them too early may still run.
	ErrDependenciesNotSupported = errors.New("not every controller supports jobs that need others yet")
)

// maxOutcomes bounds the outcomes kept in memory; others are read when needed.
const maxOutcomes = 50_000

// Listener is notified of jobs that come and go. Its methods are called without the
// store's lock.
type Listener interface {
	JobAdded(r *Record)
	JobEnded(id string, f Outcome)
	// ReadinessChanged is called with active jobs that have become ready, or whose
	// effective priority has changed.
	ReadinessChanged(ids []string)
}

// Store is this controller's view of all jobs. It is safe for concurrent use.
type Store struct {
	client              *state.Client
	committer           *state.Committer
	maxValue            int // bytes
	acceptsDependencies func() bool
	log                 *slog.Logger
	loaded              chan struct{} // closed once the records have been read
	toResolve           chan struct{} // poked when unresolved has grown

	mu            sync.Mutex
	revision      uint64 // of the key-value store, up to which changes are known
	active        map[string]*Record
	outcomes      map[string]*outcomeEntry
	progress      map[string]Progress // of active jobs
	graph         *graph              // of the active jobs' dependencies
	implied       map[string]*Record  // cancelled because a dependency is; the key-value store still has them as active
	unresolved    map[string]bool     // dependencies that are neither known to be active nor over
	cancellations cancellationLog
	listener      Listener
	replicator    Replicator
}

// outcomeEntry is a job's outcome with what is known of its record.
type outcomeEntry struct {
	Outcome
	revision   uint64 // at which it was written
	replicated bool   // a cancellation that users may be told of
}

// Progress is how many of a job's tasks are done and running, for display.
type Progress struct {
	Done, Running int
}

// state is the state of an active job, as users see it.
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
	// MaxValueBytes is how many bytes a value of the key-value store may have.
	MaxValueBytes int
	// AcceptsDependencies reports whether jobs with dependencies may be accepted.
	AcceptsDependencies func() bool
	Log                 *slog.Logger
}

// NewStore makes an empty store; Run fills it.
func NewStore(opts Options) *Store {
	return &Store{
		client:              opts.Client,
		committer:           opts.Committer,
		maxValue:            opts.MaxValueBytes,
		acceptsDependencies: opts.AcceptsDependencies,
		log:                 opts.Log,
		loaded:              make(chan struct{}),
		toResolve:           make(chan struct{}, 1),
		active:              map[string]*Record{},
		outcomes:            map[string]*outcomeEntry{},
		progress:            map[string]Progress{},
		graph:               newGraph(),
		implied:             map[string]*Record{},
		unresolved:          map[string]bool{},
	}
}

// Run reads all active jobs and follows their changes until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.follow(ctx) })
	g.Go(func() error { return s.runResolver(ctx) })
	g.Go(func() error { return s.runImplied(ctx) })
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

// SetReplicator sets the replicator of cancellations; without one users are told
// of them at once.
func (s *Store) SetReplicator(r Replicator) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replicator = r
}

// Active returns an active job's record, nil if none is cached.
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

// Ended reports whether a job is known to be over, without asking the key-value
// store.
func (s *Store) Ended(id string) bool {
	_, over := s.outcome(id)
	return over
}

// outcome returns a job's outcome, if it is known to be over.
func (s *Store) outcome(id string) (o Outcome, over bool) {
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

// SetProgress sets what to display of an active job.
func (s *Store) SetProgress(id string, p Progress) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.active[id]; ok {
		s.progress[id] = p
	}
}
