package job

import (
	"maps"
	"slices"
	"time"
)

// EffectivePriority is what decides how soon a job is served: its own priority and deadline,
// or those of a job that needs it, where they are higher or earlier.
type EffectivePriority struct {
	Rank int       // of the priority, 0 being the highest
	Due  time.Time // by when the job has to be done; zero: it has no deadline
}

// raise makes the order as urgent as another one, and tells whether that changed
// anything.
func (o *EffectivePriority) raise(rank int, due time.Time) bool {
	before := *o
	o.Rank = min(o.Rank, rank)
	if !due.IsZero() && (o.Due.IsZero() || due.Before(o.Due)) {
		o.Due = due
	}
	return *o != before
}

// Readiness is what a job's place in its dependency graph says of it.
type Readiness struct {
	EffectivePriority
	// Ready: all jobs that it needs are done, which the store has.
	Ready bool
	// ReadyAt is when the last of them ended; zero: it needs none.
	ReadyAt time.Time
}

// vertex is a job in the graph of dependencies. One that is done stays for as
// long as a job that is not needs it.
type vertex struct {
	record     *Record
	over       bool
	unfinished map[string]bool // jobs that it needs and that are not known to be done
	readyAt    time.Time
	priority   EffectivePriority
	dependents map[string]*vertex
}

func newVertex(r *Record) *vertex {
	v := &vertex{record: r, unfinished: map[string]bool{}, dependents: map[string]*vertex{}}
	v.priority = v.record.ownPriority()
	for _, id := range r.Job.Dependencies {
		v.unfinished[id] = true
	}
	return v
}

// ownPriority is the ownPriority that the job has by itself.
func (r *Record) ownPriority() EffectivePriority {
	o := EffectivePriority{Rank: r.Job.Priority.Rank()}
	if r.Job.DeadlineS != nil {
		o.Due = time.UnixMilli(r.AcceptedMs).Add(seconds(*r.Job.DeadlineS))
	}
	return o
}

// startBy is by when the job has to start to be done when it is due; zero: it has
// no deadline.
func (v *vertex) startBy() time.Time {
	if v.priority.Due.IsZero() {
		return time.Time{}
	}
	return v.priority.Due.Add(-v.expected())
}

// expected is about how long the job takes once it can start.
func (v *vertex) expected() time.Duration { return seconds(v.record.Job.EstimateS) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// graph holds the dependencies of the active jobs. A job names only jobs that
// were accepted before it, so it has no cycles. Work is done for what a change
// reaches, and no deeper call comes of a longer path. Its owner's lock guards it.
type graph struct {
	vertices map[string]*vertex
	over     int // vertices of jobs that are done
	// waiting holds, by job that is not in the graph, those that need it.
	waiting map[string]map[string]*vertex
}

// maxOver bounds the jobs that are kept after their end, for display: a dependency path that
// always goes on would keep all that ever came before.
const maxOver = 10_000

func newGraph() *graph {
	return &graph{vertices: map[string]*vertex{}, waiting: map[string]map[string]*vertex{}}
}

// add takes in an active job and returns the jobs whose order that changes.
func (g *graph) add(r *Record) (changed []string) {
	v := newVertex(r)
	id := r.Job.ID
	g.vertices[id] = v
	for dependent, d := range g.waiting[id] {
		v.dependents[dependent] = d
		v.priority.raise(d.priority.Rank, d.startBy())
	}
	delete(g.waiting, id)
	for _, need := range r.Job.Dependencies {
		if n := g.vertices[need]; n != nil {
			n.dependents[id] = v
			continue
		}
		if g.waiting[need] == nil {
			g.waiting[need] = map[string]*vertex{}
		}
		g.waiting[need][id] = v
	}
	return g.spread([]*vertex{v})
}

// spread hands the order of jobs on to those that they need, and returns those
// that it changes.
func (g *graph) spread(work []*vertex) (changed []string) {
	for len(work) > 0 {
		v := work[0]
		work = work[1:]
		for _, need := range v.record.Job.Dependencies {
			n := g.vertices[need]
			if n == nil || n.over || !n.priority.raise(v.priority.Rank, v.startBy()) {
				continue
			}
			changed = append(changed, need)
			work = append(work, n)
		}
	}
	return changed
}

// done marks a job as done at a time. It returns the jobs that are ready now, and
// those whose order changes since this one needs nothing any more.
func (g *graph) done(id string, at time.Time) (ready, changed []string) {
	dependents := g.waiting[id]
	v := g.vertices[id]
	if v != nil && !v.over {
		v.over = true
		g.over++
		changed = g.relax(v.record.Job.Dependencies)
		if g.over > maxOver {
			g.detach(v)
		}
	}
	if v != nil {
		dependents = v.dependents
	}
	for dependent, d := range dependents {
		if !d.unfinished[id] {
			continue
		}
		delete(d.unfinished, id)
		if at.After(d.readyAt) {
			d.readyAt = at
		}
		if len(d.unfinished) == 0 {
			ready = append(ready, dependent)
		}
	}
	g.prune([]string{id})
	return ready, changed
}

// remove takes a job that is over out of the graph and returns the jobs whose
// order that changes.
func (g *graph) remove(id string) (changed []string) {
	v := g.vertices[id]
	if v == nil {
		return nil
	}
	if !v.over {
		v.over = true
		g.over++
	}
	changed = g.relax(v.record.Job.Dependencies)
	clear(v.dependents)
	g.prune([]string{id})
	return changed
}

// relax works out anew the order of jobs that a job has needed until now.
func (g *graph) relax(ids []string) (changed []string) {
	work := slices.Clone(ids)
	queued := map[string]bool{}
	for len(work) > 0 {
		id := work[0]
		work = work[1:]
		delete(queued, id)
		v := g.vertices[id]
		if v == nil || v.over {
			continue
		}
		before := v.priority
		v.priority = v.record.ownPriority()
		for _, d := range v.dependents {
			if !d.over {
				v.priority.raise(d.priority.Rank, d.startBy())
			}
		}
		if v.priority == before {
			continue
		}
		changed = append(changed, id)
		for _, need := range v.record.Job.Dependencies {
			if !queued[need] {
				queued[need] = true
				work = append(work, need)
			}
		}
	}
	return changed
}

// prune forgets jobs that are over and that no other job needs any more.
func (g *graph) prune(ids []string) {
	for len(ids) > 0 {
		id := ids[0]
		ids = ids[1:]
		v := g.vertices[id]
		if v == nil || !v.over || len(v.dependents) > 0 {
			continue
		}
		delete(g.vertices, id)
		g.over--
		ids = append(ids, g.unlink(v)...)
	}
}

// unlink ends a job's needing others, and returns those.
func (g *graph) unlink(v *vertex) (needs []string) {
	id := v.record.Job.ID
	for _, need := range v.record.Job.Dependencies {
		if n := g.vertices[need]; n != nil {
			delete(n.dependents, id)
		}
		delete(g.waiting[need], id)
		if len(g.waiting[need]) == 0 {
			delete(g.waiting, need)
		}
	}
	return v.record.Job.Dependencies
}

// detach forgets what came before a job that is done.
func (g *graph) detach(v *vertex) { g.prune(g.unlink(v)) }

// after returns all jobs that need a job, directly or through others.
func (g *graph) after(id string) (all []string) {
	seen := map[string]bool{}
	direct := func(id string) map[string]*vertex {
		if v := g.vertices[id]; v != nil {
			return v.dependents
		}
		return g.waiting[id]
	}
	for work := []string{id}; len(work) > 0; work = work[1:] {
		for dependent, d := range direct(work[0]) {
			if !seen[dependent] && !d.over {
				seen[dependent] = true
				all = append(all, dependent)
				work = append(work, dependent)
			}
		}
	}
	return all
}

// unfinishedBefore returns the jobs that are not known to be done and that a job
// needs, directly or through others.
func (g *graph) unfinishedBefore(id string) []string {
	seen := map[string]bool{}
	for work := []string{id}; len(work) > 0; work = work[1:] {
		v := g.vertices[work[0]]
		if v == nil {
			continue
		}
		for need := range v.unfinished {
			if !seen[need] {
				seen[need] = true
				work = append(work, need)
			}
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// readiness tells what a job's place in its dependency graph says of it.
func (v *vertex) readiness() Readiness {
	return Readiness{EffectivePriority: v.priority, Ready: len(v.unfinished) == 0, ReadyAt: v.readyAt}
}

// lasts returns the active jobs that need others and that no active job needs.
func (g *graph) lasts() (lasts []*vertex) {
	for _, v := range g.vertices {
		if !v.over && len(v.record.Job.Dependencies) > 0 && !v.needed() {
			lasts = append(lasts, v)
		}
	}
	return lasts
}

// needed tells whether a job that is not over needs this one.
func (v *vertex) needed() bool {
	for _, d := range v.dependents {
		if !d.over {
			return true
		}
	}
	return false
}

// upTo returns a job and all that it needs, directly or through others and also
// those that are over, as far as they are in the graph, in the order in which
// they were accepted.
func (g *graph) upTo(last *vertex) []*vertex {
	seen := map[*vertex]bool{last: true}
	all := []*vertex{last}
	for work := []*vertex{last}; len(work) > 0; work = work[1:] {
		for _, need := range work[0].record.Job.Dependencies {
			if n := g.vertices[need]; n != nil && !seen[n] {
				seen[n] = true
				all = append(all, n)
				work = append(work, n)
			}
		}
	}
	slices.SortFunc(all, func(a, b *vertex) int {
		switch {
		case a.record.Version < b.record.Version:
			return -1
		case a.record.Version > b.record.Version:
			return 1
		}
		return 0
	})
	return all
}
