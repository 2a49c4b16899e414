// Package job keeps the records of jobs: accepting, cancelling and finishing
// them, and answering for them without ever going backwards.
//
// A job that is not over has one key under jobs/active/, written once; its
// end removes that key and writes one under jobs/final/, in one transaction.
// So a cached record that still has its version is the truth.
package job

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"heronwick/internal/state"
	"heronwick/wire"
)

const (
	prefix       = "jobs/"
	activePrefix = prefix + "active/"
	finalPrefix  = prefix + "final/"
	donePrefix   = "done/" // many jobs to a key, see DonePage
)

// ErrNotReady says that the records have not been read yet.
var ErrNotReady = errors.New("job records not read yet")

// Record is an accepted job.
type Record struct {
	Job wire.Job `json:"job"`
	// AcceptedMs is the time of day of acceptance. It orders jobs and places
	// deadlines; no safety depends on it.
	AcceptedMs int64  `json:"accepted_ms"`
	Version    uint64 `json:"-"`
}

// Condition holds while the job is not over.
func (r *Record) Condition() wire.Condition {
	return wire.Condition{Key: activePrefix + r.Job.ID, Version: r.Version}
}

// IsActive returns the job whose active record key is, if it is one.
func IsActive(key string) (id string, ok bool) {
	if len(key) > len(activePrefix) && key[:len(activePrefix)] == activePrefix {
		return key[len(activePrefix):], true
	}
	return "", false
}

// Final is the record of a job that is over. It keeps what the tasks take and
// whose quota they use, since some may still be on machines.
type Final struct {
	State    wire.JobState `json:"state"`
	Tasks    int           `json:"tasks"`
	Team     string        `json:"team"`
	CPUs     float64       `json:"cpus"`
	GPUs     float64       `json:"gpus"`
	MemoryGB float64       `json:"memory_gb"`
}

// Listener hears of jobs that come and go, in no lock of the catalog's.
type Listener interface {
	JobAdded(r *Record)
	JobEnded(id string, f Final)
}

// maxFinals bounds the finals kept in memory; others are read when asked for.
const maxFinals = 50_000

// Catalog is this controller's view of all jobs.
type Catalog struct {
	client *state.Client
	commit *state.Committer
	log    *slog.Logger

	mu         sync.Mutex
	loaded     chan struct{} // closed once the records have been read
	revision   uint64
	active     map[string]*Record
	final      map[string]*ending
	progress   map[string]Progress
	listener   Listener
	replicator Replicator

	cancelled []learnt // in the order in which they were learnt
	base      uint64   // all that are known and came after this revision are among them
}

// ending is how a job ended.
type ending struct {
	Final
	revision   uint64 // of the store, at which it ended
	replicated bool   // a cancellation that users may be told of
}

// Progress is how far a job is, for display.
type Progress struct {
	Done, Running int
}

// NewCatalog makes an empty catalog; Run fills it.
func NewCatalog(client *state.Client, commit *state.Committer, log *slog.Logger) *Catalog {
	return &Catalog{client: client, commit: commit, log: log, loaded: make(chan struct{}),
		active: map[string]*Record{}, final: map[string]*ending{}, progress: map[string]Progress{}}
}

// Ready tells whether the records have been read.
func (c *Catalog) Ready() bool {
	select {
	case <-c.loaded:
		return true
	default:
		return false
	}
}

// Wait waits until the records have been read.
func (c *Catalog) Wait(ctx context.Context) error {
	select {
	case <-c.loaded:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Listen tells l of every change from now on. A nil listener ends that.
func (c *Catalog) Listen(l Listener) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listener = l
}

// SetReplicator sets who is told of cancellations before users are.
func (c *Catalog) SetReplicator(r Replicator) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replicator = r
}

// Active returns an active job's record, nil if none is cached.
func (c *Catalog) Active(id string) *Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active[id]
}

// AllActive returns the records of all active jobs.
func (c *Catalog) AllActive() []*Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Values(c.active))
}

// Weights sums, by team, the CPUs that the active jobs' tasks take together.
func (c *Catalog) Weights() map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	weights := map[string]float64{}
	for _, r := range c.active {
		weights[r.Job.Team] += r.Job.CPUs * float64(r.Job.Tasks)
	}
	return weights
}

// SetProgress takes what to display of a job.
func (c *Catalog) SetProgress(id string, p Progress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.active[id]; ok {
		c.progress[id] = p
	}
}

// Run reads all active jobs and follows their changes until ctx ends.
func (c *Catalog) Run(ctx context.Context) error {
	fresh := false
	for ctx.Err() == nil {
		if !fresh {
			if err := c.load(ctx); err != nil {
				c.log.Debug("reading jobs failed", "err", err)
				pause(ctx)
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
			pause(ctx)
			continue
		}
		c.take(events, 0)
	}
	return nil
}

func pause(ctx context.Context) {
	t := time.NewTimer(100*time.Millisecond + rand.N(200*time.Millisecond))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (c *Catalog) load(ctx context.Context) error {
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
	c.revision, c.base = max(c.revision, revision), max(c.base, revision)
	if !c.Ready() {
		close(c.loaded)
	}
	return nil
}

func (c *Catalog) apply(e wire.Event) {
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
			var f Final
			if err := json.Unmarshal(e.Value, &f); err != nil {
				c.log.Error("job record unreadable", "key", e.Put, "err", err)
				return
			}
			c.setFinal(e.Put[len(finalPrefix):], f, e.Version)
		}
	}
	// A removed active key comes with a final one, in the same revision.
}

func (c *Catalog) setActive(id string, r *Record) {
	c.mu.Lock()
	if c.final[id] != nil || c.active[id] != nil {
		c.mu.Unlock()
		return
	}
	c.active[id] = r
	l := c.listener
	c.mu.Unlock()
	if l != nil {
		l.JobAdded(r)
	}
}

func (c *Catalog) setFinal(id string, f Final, revision uint64) {
	c.mu.Lock()
	if c.final[id] != nil {
		c.mu.Unlock()
		return
	}
	if len(c.final) >= maxFinals {
		for old := range c.final {
			delete(c.final, old)
			break
		}
	}
	c.final[id] = &ending{Final: f, revision: revision}
	if f.State == wire.JobCancelled {
		c.rememberLocked(Cancellation{Job: id, Revision: revision, Final: f})
	}
	delete(c.active, id)
	delete(c.progress, id)
	l := c.listener
	c.mu.Unlock()
	if l != nil {
		l.JobEnded(id, f)
	}
}

// cached answers from memory: a final state is true for ever, an active
// record only if its condition still holds.
func (c *Catalog) cached(id string) (status wire.JobStatus, r *Record, final bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.final[id]; o != nil {
		return finalStatus(id, o.Final), nil, true
	}
	r = c.active[id]
	if r != nil {
		status = c.activeStatusLocked(id)
	}
	return status, r, false
}

func finalStatus(id string, f Final) wire.JobStatus {
	s := wire.JobStatus{ID: id, State: f.State}
	if f.State == wire.JobDone {
		s.Done = f.Tasks
	}
	return s
}

func (c *Catalog) activeStatusLocked(id string) wire.JobStatus {
	p := c.progress[id]
	s := wire.JobStatus{ID: id, State: wire.JobQueued, Done: p.Done, Running: p.Running}
	if p.Running > 0 {
		s.State = wire.JobRunning
	}
	return s
}

// read asks the store for a job and caches what it says. Finals come first:
// a job that ends between the two reads is found by reading them once more.
func (c *Catalog) read(ctx context.Context, id string) (status wire.JobStatus, found bool, err error) {
	for range 2 {
		item, err := c.client.Get(ctx, state.Safety, finalPrefix+id)
		if err == nil {
			c.apply(wire.Event{Put: item.Key, Value: item.Value, Version: item.Version})
			status, _, _ := c.cached(id)
			return status, true, nil
		}
		if !errors.Is(err, state.ErrNotFound) {
			return wire.JobStatus{}, false, err
		}
		item, err = c.client.Get(ctx, state.Safety, activePrefix+id)
		if err == nil {
			c.apply(wire.Event{Put: item.Key, Value: item.Value, Version: item.Version})
			status, _, _ := c.cached(id)
			return status, true, nil
		}
		if !errors.Is(err, state.ErrNotFound) {
			return wire.JobStatus{}, false, err
		}
	}
	return wire.JobStatus{}, false, nil
}

// unknown holds while nobody has accepted the job.
func unknown(id string) []wire.Condition {
	return []wire.Condition{{Key: activePrefix + id}, {Key: finalPrefix + id}}
}

// Resolve finds out about a job that is not cached: whether it is over, or
// not known at all. An active one is told to the listener.
func (c *Catalog) Resolve(ctx context.Context, id string) (f Final, over, found bool, err error) {
	if f, over = c.ended(id); over {
		return f, true, true, nil
	}
	if _, found, err = c.read(ctx, id); err != nil || !found {
		return Final{}, false, false, err
	}
	f, over = c.ended(id)
	return f, over, true, nil
}

// ended returns how a job ended, if it is known to be over.
func (c *Catalog) ended(id string) (f Final, over bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.final[id]; o != nil {
		return o.Final, true
	}
	return Final{}, false
}

// Status answers a poll. What memory says is confirmed by a transaction that
// only compares, many polls in one.
func (c *Catalog) Status(ctx context.Context, id string) (status wire.JobStatus, found bool, err error) {
	status, r, final := c.cached(id)
	if final {
		return c.told(ctx, id, status)
	}
	conditions := unknown(id)
	if r != nil {
		conditions = []wire.Condition{r.Condition()}
	}
	_, err = c.commit.Commit(ctx, state.Write{Priority: state.Safety, If: conditions})
	var conflict *state.Conflict
	switch {
	case err == nil:
		return status, r != nil, nil
	case errors.As(err, &conflict):
		return c.readTold(ctx, id)
	}
	return wire.JobStatus{}, false, err
}

// readTold is read for a user.
func (c *Catalog) readTold(ctx context.Context, id string) (status wire.JobStatus, found bool, err error) {
	if status, found, err = c.read(ctx, id); err != nil || !found {
		return status, found, err
	}
	return c.told(ctx, id, status)
}

// Submit accepts a job, or tells its state if that was done before.
func (c *Catalog) Submit(ctx context.Context, j wire.Job) (status wire.JobStatus, created bool, err error) {
	if !c.Ready() {
		return wire.JobStatus{}, false, ErrNotReady
	}
	if _, r, final := c.cached(j.ID); r != nil || final {
		status, _, err = c.Status(ctx, j.ID)
		return status, false, err
	}
	r := &Record{Job: j, AcceptedMs: time.Now().UnixMilli()}
	value, err := json.Marshal(r)
	if err != nil {
		return wire.JobStatus{}, false, fmt.Errorf("encoding job %s: %w", j.ID, err)
	}
	version, err := c.commit.Commit(ctx, state.Write{Priority: state.Submission, If: unknown(j.ID),
		Then: []wire.Change{{Put: activePrefix + j.ID, Value: value}}})
	var conflict *state.Conflict
	switch {
	case err == nil:
		r.Version = version
		c.setActive(j.ID, r)
		return wire.JobStatus{ID: j.ID, State: wire.JobQueued}, true, nil
	case errors.As(err, &conflict):
		status, found, err := c.readTold(ctx, j.ID)
		if err == nil && !found {
			err = fmt.Errorf("%w: job %s is neither known nor unknown", state.ErrUnavailable, j.ID)
		}
		return status, false, err
	}
	return wire.JobStatus{}, false, err
}

// Cancel cancels a job unless it is over. Before it returns, the cancellation
// is in the store and enough controllers know it.
func (c *Catalog) Cancel(ctx context.Context, id string) (status wire.JobStatus, found bool, err error) {
	for range 3 {
		status, r, final := c.cached(id)
		if final {
			return c.told(ctx, id, status)
		}
		if r == nil {
			if status, found, err = c.read(ctx, id); err != nil || !found {
				return status, found, err
			}
			continue
		}
		if err := c.end(ctx, r, wire.JobCancelled, nil); err == nil {
			continue
		} else if conflict := (*state.Conflict)(nil); !errors.As(err, &conflict) {
			return wire.JobStatus{}, false, err
		}
		if c.Over(id) {
			continue
		}
		if _, _, err := c.read(ctx, id); err != nil {
			return wire.JobStatus{}, false, err
		}
	}
	return wire.JobStatus{}, false, fmt.Errorf("%w: cancelling %s", state.ErrUnavailable, id)
}

// Finish records that every task of the job is done. With an outdated fence it
// fails with a *state.Conflict that names no key.
func (c *Catalog) Finish(ctx context.Context, r *Record, fence state.Fence) error {
	return c.end(ctx, r, wire.JobDone, &fence)
}

// end writes the job's end. Only one that is fenced, which a share decided, is
// tried until the store has answered. A write that waits for budget is dropped
// once its fence is outdated or the job is over: it would only use up what other
// writes wait for.
func (c *Catalog) end(ctx context.Context, r *Record, s wire.JobState, fence *state.Fence) error {
	j := r.Job
	f := Final{State: s, Tasks: j.Tasks, Team: j.Team, CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB}
	value, err := json.Marshal(f)
	if err != nil {
		return fmt.Errorf("encoding the end of job %s: %w", j.ID, err)
	}
	write := state.Write{
		Priority: state.Safety,
		If:       []wire.Condition{r.Condition(), {Key: finalPrefix + j.ID}},
		Then: []wire.Change{
			{Delete: activePrefix + j.ID},
			{Put: finalPrefix + j.ID, Value: value},
		},
		Fresh: func() bool { return !c.Over(j.ID) },
	}
	if fence != nil {
		write.Persist = true
		write = fence.Bind(write)
	}
	revision, err := c.commit.Commit(ctx, write)
	if err != nil {
		return err
	}
	c.setFinal(j.ID, f, revision)
	return nil
}
