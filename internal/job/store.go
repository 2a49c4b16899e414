package job

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"heronwick/internal/state"
	"heronwick/internal/wait"
	"heronwick/wire"
)

const (
	prefix       = "jobs/"
	activePrefix = prefix + "active/"
	finalPrefix  = prefix + "final/"
	donePrefix   = "done/" // many jobs to a key, see DoneBucket
)

// ErrNotReady says that the records have not been read yet.
var ErrNotReady = errors.New("job records not read yet")

// ErrDependenciesNotSupported says that jobs that need others are not accepted yet: a
// controller that would start them too early may still run.
var ErrDependenciesNotSupported = errors.New("not every controller supports jobs that need others yet")

// Listener hears of jobs that come and go, in no lock of the store's.
type Listener interface {
	JobAdded(r *Record)
	JobEnded(id string, f Outcome)
	// ReadinessChanged tells of active jobs that have become ready, or whose order
	// has changed.
	ReadinessChanged(ids []string)
}

// maxFinals bounds the finals kept in memory; others are read when asked for.
const maxFinals = 50_000

// Store is this controller's view of all jobs.
type Store struct {
	client              *state.Client
	commit              *state.Committer
	maxValue            int
	acceptsDependencies func() bool
	log                 *slog.Logger

	mu         sync.Mutex
	loaded     chan struct{} // closed once the records have been read
	revision   uint64
	active     map[string]*Record
	final      map[string]*outcomeEntry
	progress   map[string]Progress
	listener   Listener
	replicator Replicator
	graph      *graph
	implied    map[string]*Record // jobs cancelled since one before them is, which the store still has as active
	unresolved map[string]bool    // jobs that others need and that are neither known to be active nor over
	toResolve  chan struct{}      // poked when there are more of those
	cancelled  cancellationLog
}

// outcomeEntry is how a job ended.
type outcomeEntry struct {
	Outcome
	revision   uint64 // of the store, at which it ended
	replicated bool   // a cancellation that users may be told of
}

// Progress is how far a job is, for display.
type Progress struct {
	Done, Running int
}

// Options are what a Store needs.
type Options struct {
	Client    *state.Client
	Committer *state.Committer
	// MaxValue is how many bytes a value of the store may have.
	MaxValue int
	// AcceptsDependencies tells whether jobs that need others may be accepted.
	AcceptsDependencies func() bool
	Log                 *slog.Logger
}

// NewStore makes an empty store; Run fills it.
func NewStore(opts Options) *Store {
	return &Store{
		client: opts.Client, commit: opts.Committer, maxValue: opts.MaxValue, acceptsDependencies: opts.AcceptsDependencies, log: opts.Log,
		loaded: make(chan struct{}),
		active: map[string]*Record{}, final: map[string]*outcomeEntry{}, progress: map[string]Progress{},
		graph: newGraph(), implied: map[string]*Record{}, unresolved: map[string]bool{}, toResolve: make(chan struct{}, 1),
	}
}

// Ready tells whether the records have been read.
func (c *Store) Ready() bool {
	select {
	case <-c.loaded:
		return true
	default:
		return false
	}
}

// Wait waits until the records have been read.
func (c *Store) Wait(ctx context.Context) error {
	select {
	case <-c.loaded:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Listen tells l of every change from now on. A nil listener ends that.
func (c *Store) Listen(l Listener) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listener = l
}

// SetReplicator sets who is told of cancellations before users are.
func (c *Store) SetReplicator(r Replicator) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replicator = r
}

// Active returns an active job's record, nil if none is cached.
func (c *Store) Active(id string) *Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active[id]
}

// AllActive returns the records of all active jobs.
func (c *Store) AllActive() []*Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Values(c.active))
}

// Weights sums, by team, the CPUs that the active jobs' tasks take together.
func (c *Store) Weights() map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	weights := map[string]float64{}
	for _, r := range c.active {
		weights[r.Job.Team] += r.Job.CPUs * float64(r.Job.Tasks)
	}
	return weights
}

// SetProgress takes what to display of a job.
func (c *Store) SetProgress(id string, p Progress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.active[id]; ok {
		c.progress[id] = p
	}
}

// Run reads all active jobs and follows their changes until ctx ends.
func (c *Store) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.follow(ctx) })
	g.Go(func() error { return c.runResolver(ctx) })
	g.Go(func() error { return c.runImplied(ctx) })
	return g.Wait()
}

// follow keeps the cache as the key-value store is.
func (c *Store) follow(ctx context.Context) error {
	fresh := false
	for ctx.Err() == nil {
		if !fresh {
			if err := c.load(ctx); err != nil {
				c.log.Debug("reading jobs failed", "err", err)
				wait.Sleep(ctx, retryPause())
				continue
			}
			fresh = true
		}
		c.mu.Lock()
		after := c.revision
		c.mu.Unlock()
		// Short, since a refused controller's open watch stays silent.
		events, err := c.client.Watch(ctx, prefix, after, 4*time.Second)
		if err != nil {
			fresh = !errors.Is(err, state.ErrCompacted)
			wait.Sleep(ctx, retryPause())
			continue
		}
		c.applyEvents(events, 0)
	}
	return nil
}

// retryPause is how long what has failed waits before it is tried again.
func retryPause() time.Duration { return 100*time.Millisecond + rand.N(200*time.Millisecond) }

func (c *Store) load(ctx context.Context) error {
	items, revision, err := c.client.List(ctx, state.Safety, activePrefix)
	if err != nil {
		return err
	}
	listed := map[string]bool{}
	for _, item := range items {
		id, _ := IsActive(item.Key)
		listed[id] = true
		c.apply(wire.Event{Put: item.Key, Value: item.Value, Version: item.Version})
	}
	// What was active here and is listed no more has ended meanwhile.
	c.mu.Lock()
	var gone []string
	for id, r := range c.active {
		if !listed[id] && r.Version <= revision {
			gone = append(gone, id)
		}
	}
	c.mu.Unlock()
	for _, id := range gone {
		if _, _, err := c.read(ctx, id); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// Of what ended unseen before this, no name is known.
	c.revision, c.cancelled.base = max(c.revision, revision), max(c.cancelled.base, revision)
	if !c.Ready() {
		close(c.loaded)
	}
	return nil
}

func (c *Store) apply(e wire.Event) {
	switch {
	case e.Put != "":
		if id, ok := IsActive(e.Put); ok {
			var r Record
			if err := json.Unmarshal(e.Value, &r); err != nil {
				c.log.Error("job record unreadable", "key", e.Put, "err", err)
				return
			}
			r.Version = e.Version
			c.setActive(id, &r)
			return
		}
		if len(e.Put) > len(finalPrefix) && e.Put[:len(finalPrefix)] == finalPrefix {
			var f Outcome
			if err := json.Unmarshal(e.Value, &f); err != nil {
				c.log.Error("job record unreadable", "key", e.Put, "err", err)
				return
			}
			c.setFinal(e.Put[len(finalPrefix):], f, e.Version)
		}
	}
	// A removed active key comes with a final one, in the same revision.
}

// changeSet is what a change of the store means for its listener.
type changeSet struct {
	added   *Record
	ended   map[string]Outcome
	changed []string // jobs whose readiness has changed
}

// notify hands a change set to the listener, in no lock.
func (c *Store) notify(n changeSet) {
	c.mu.Lock()
	l := c.listener
	c.mu.Unlock()
	if l == nil {
		return
	}
	if n.added != nil {
		l.JobAdded(n.added)
	}
	for id, f := range n.ended {
		l.JobEnded(id, f)
	}
	if len(n.changed) > 0 {
		l.ReadinessChanged(n.changed)
	}
}

func (c *Store) setActive(id string, r *Record) {
	c.mu.Lock()
	n := c.setActiveLocked(id, r)
	c.mu.Unlock()
	c.notify(n)
}

func (c *Store) setActiveLocked(id string, r *Record) (n changeSet) {
	if c.final[id] != nil || c.active[id] != nil {
		return n
	}
	delete(c.unresolved, id)
	for _, need := range r.Job.Dependencies {
		if o := c.final[need]; o != nil && o.State == wire.JobCancelled {
			n.ended = c.cancelWithDependentsLocked(need, r)
			return n
		}
	}
	c.active[id] = r
	n.added = r
	n.changed = c.graph.add(r)
	for _, need := range r.Job.Dependencies {
		switch o := c.final[need]; {
		case o != nil:
			c.graph.done(need, time.UnixMilli(o.EndedMs))
		case c.active[need] == nil:
			c.resolveLaterLocked(need)
		}
	}
	return n
}

func (c *Store) setFinal(id string, f Outcome, revision uint64) {
	c.mu.Lock()
	n := c.setFinalLocked(id, f, revision)
	c.mu.Unlock()
	c.notify(n)
}

func (c *Store) setFinalLocked(id string, f Outcome, revision uint64) (n changeSet) {
	switch o := c.final[id]; {
	case o == nil:
	case c.implied[id] != nil:
		delete(c.implied, id)
		o.revision = revision
		return n
	default:
		return n
	}
	c.keepFinalLocked(id, &outcomeEntry{Outcome: f, revision: revision})
	n.ended = map[string]Outcome{id: f}
	if f.State != wire.JobCancelled {
		var ready []string
		ready, n.changed = c.graph.done(id, time.UnixMilli(f.EndedMs))
		n.changed = append(n.changed, ready...)
		return n
	}
	c.cancelled.add(Cancellation{Job: id, Revision: revision, Outcome: f}, time.Now())
	maps.Copy(n.ended, c.cancelDependentsLocked(id))
	n.changed = c.graph.remove(id)
	return n
}

// keepFinalLocked keeps how a job ended, in place of its active record.
func (c *Store) keepFinalLocked(id string, o *outcomeEntry) {
	if len(c.final) >= maxFinals {
		for old := range c.final {
			delete(c.final, old)
			delete(c.implied, old)
			break
		}
	}
	c.final[id] = o
	delete(c.active, id)
	delete(c.progress, id)
	delete(c.unresolved, id)
}
