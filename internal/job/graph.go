package job

import (
	"slices"
	"time"
)

// graph holds the dependencies of the active jobs. A job depends only on jobs that
// were accepted before it, so there are no cycles. Each change costs what it reaches,
// and none recurses, so that long paths do not deepen the stack. Its owner's lock
// guards it.
type graph struct {
	vertices map[string]*vertex // by job
	over     int                // vertices of jobs that are over
	// missing holds, by job that is not in the graph, the vertices that depend on it.
	missing map[string]map[string]*vertex
}

// maxOver bounds the jobs that are kept after their end, for display: a path that
// always grows would keep all that ever came before.
const maxOver = 10_000

func newGraph() *graph {
	return &graph{vertices: map[string]*vertex{}, missing: map[string]map[string]*vertex{}}
}

// add adds an active job and returns the jobs whose priority that changes.
func (g *graph) add(r *Record) (changed []string) {
	v := newVertex(r)
	g.vertices[v.id()] = v
	for id, dependent := range g.missing[v.id()] {
		v.dependents[id] = dependent
		v.inherit(dependent)
	}
	delete(g.missing, v.id())
	for _, dependency := range v.dependencies() {
		g.link(v, dependency)
	}
	return g.spread(v)
}

// link makes a vertex a dependent of one of its dependencies.
func (g *graph) link(v *vertex, dependency string) {
	if d := g.vertices[dependency]; d != nil {
		d.dependents[v.id()] = v
		return
	}
	if g.missing[dependency] == nil {
		g.missing[dependency] = map[string]*vertex{}
	}
	g.missing[dependency][v.id()] = v
}

// unlink removes a vertex from the dependents of its dependencies.
func (g *graph) unlink(v *vertex) {
	for _, dependency := range v.dependencies() {
		if d := g.vertices[dependency]; d != nil {
			delete(d.dependents, v.id())
		}
		delete(g.missing[dependency], v.id())
		if len(g.missing[dependency]) == 0 {
			delete(g.missing, dependency)
		}
	}
}

// spread raises the priorities of the jobs that a vertex depends on, directly or
// through others, and returns those that it changes.
func (g *graph) spread(from *vertex) (changed []string) {
	for work := []*vertex{from}; len(work) > 0; work = work[1:] {
		for _, dependency := range work[0].dependencies() {
			d := g.vertices[dependency]
			if d == nil || d.over || !d.inherit(work[0]) {
				continue
			}
			changed = append(changed, dependency)
			work = append(work, d)
		}
	}
	return changed
}

// done marks a job as done at a time. It returns the jobs that became ready, and those
// whose priority changes since this one depends on nothing any more.
func (g *graph) done(id string, at time.Time) (ready, changed []string) {
	dependents := g.missing[id]
	if v := g.vertices[id]; v != nil {
		dependents = v.dependents
		if !v.over {
			changed = g.end(v)
			if g.over > maxOver {
				g.detach(v)
			}
		}
	}
	for dependent, d := range dependents {
		if d.finish(id, at) {
			ready = append(ready, dependent)
		}
	}
	g.prune([]string{id})
	return ready, changed
}

// remove removes a job that is over and returns the jobs whose priority that changes.
func (g *graph) remove(id string) (changed []string) {
	v := g.vertices[id]
	if v == nil {
		return nil
	}
	changed = g.end(v)
	clear(v.dependents)
	g.prune([]string{id})
	return changed
}

// end marks a vertex as over and returns the jobs whose priority that changes.
func (g *graph) end(v *vertex) (changed []string) {
	if !v.over {
		v.over = true
		g.over++
	}
	return g.relax(v.dependencies())
}

// relax computes the priorities of jobs again that a job has depended on until now,
// and of those before them, and returns the jobs that it changes.
func (g *graph) relax(ids []string) (changed []string) {
	work := slices.Clone(ids)
	queued := map[string]bool{}
	for len(work) > 0 {
		id := work[0]
		work = work[1:]
		delete(queued, id)
		v := g.vertices[id]
		if v == nil || v.over || !v.recomputePriority() {
			continue
		}
		changed = append(changed, id)
		for _, dependency := range v.dependencies() {
			if !queued[dependency] {
				queued[dependency] = true
				work = append(work, dependency)
			}
		}
	}
	return changed
}

// recomputePriority computes the priority from those of the active dependents, and
// reports whether that changed it.
func (v *vertex) recomputePriority() (changed bool) {
	before := v.priority
	v.priority = v.record.ownPriority()
	for _, d := range v.dependents {
		if !d.over {
			v.inherit(d)
		}
	}
	return v.priority != before
}

// prune removes those of the jobs that are over and that no other job depends on any
// more, and then what that makes removable.
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
		g.unlink(v)
		ids = append(ids, v.dependencies()...)
	}
}

// detach removes what came before a job that is done.
func (g *graph) detach(v *vertex) {
	g.unlink(v)
	g.prune(slices.Clone(v.dependencies()))
}
