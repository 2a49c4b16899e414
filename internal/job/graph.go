package job

import (
	"slices"
	"time"
)

// graph holds the dependencies of the active jobs. A job depends only on jobs that were
// accepted before it, so there are no cycles. The cost of a change is proportional to
// the part of the graph that it affects. The traversals are not recursive, so that long
// paths do not need a deep stack. The owner's lock guards the graph.
type graph struct {
	vertices map[string]*vertex // by job ID
	ended    int                // number of vertices of ended jobs
	// dependentsOfMissing holds the vertices that depend on jobs that are not in the
	// graph, by ID of the missing job and of the dependent.
	dependentsOfMissing map[string]map[string]*vertex
}

// maxEndedVertices bounds the ended jobs that are kept for display. Without it, a path
// to which jobs are added forever would keep all its jobs.
const maxEndedVertices = 10_000

func newGraph() *graph {
	return &graph{vertices: map[string]*vertex{}, dependentsOfMissing: map[string]map[string]*vertex{}}
}

// add adds an active job and returns the jobs whose priority changed as a result.
func (g *graph) add(r *Record) (changed []string) {
	v := newVertex(r)
	g.vertices[v.id()] = v
	for id, dependent := range g.dependentsOfMissing[v.id()] {
		v.dependents[id] = dependent
		v.inherit(dependent)
	}
	delete(g.dependentsOfMissing, v.id())
	for _, dependency := range v.dependencies() {
		g.link(v, dependency)
	}
	return g.propagatePriority(v)
}

// link makes a vertex a dependent of one of its dependencies.
func (g *graph) link(v *vertex, dependency string) {
	if d := g.vertices[dependency]; d != nil {
		d.dependents[v.id()] = v
		return
	}
	if g.dependentsOfMissing[dependency] == nil {
		g.dependentsOfMissing[dependency] = map[string]*vertex{}
	}
	g.dependentsOfMissing[dependency][v.id()] = v
}

// unlink removes a vertex from the dependents of its dependencies.
func (g *graph) unlink(v *vertex) {
	for _, dependency := range v.dependencies() {
		if d := g.vertices[dependency]; d != nil {
			delete(d.dependents, v.id())
		}
		delete(g.dependentsOfMissing[dependency], v.id())
		if len(g.dependentsOfMissing[dependency]) == 0 {
			delete(g.dependentsOfMissing, dependency)
		}
	}
}

// propagatePriority raises the priorities of the jobs that a vertex depends on, directly
// or transitively, and returns the jobs whose priority changed.
func (g *graph) propagatePriority(from *vertex) (changed []string) {
	for queue := []*vertex{from}; len(queue) > 0; queue = queue[1:] {
		for _, dependency := range queue[0].dependencies() {
			d := g.vertices[dependency]
			if d == nil || d.ended || !d.inherit(queue[0]) {
				continue
			}
			changed = append(changed, dependency)
			queue = append(queue, d)
		}
	}
	return changed
}

// markDone marks a job as done at a time. It returns the jobs that became ready, and the
// jobs whose priority changed because they no longer inherit it from this job.
func (g *graph) markDone(id string, at time.Time) (ready, changed []string) {
	dependents := g.dependentsOfMissing[id]
	if v := g.vertices[id]; v != nil {
		dependents = v.dependents
		if !v.ended {
			changed = g.markEnded(v)
			if g.ended > maxEndedVertices {
				g.removeDependencies(v)
			}
		}
	}
	for dependent, d := range dependents {
		if d.markDependencyDone(id, at) {
			ready = append(ready, dependent)
		}
	}
	g.prune([]string{id})
	return ready, changed
}

// remove removes a job that has ended and returns the jobs whose priority changed as a
// result.
func (g *graph) remove(id string) (changed []string) {
	v := g.vertices[id]
	if v == nil {
		return nil
	}
	changed = g.markEnded(v)
	clear(v.dependents)
	g.prune([]string{id})
	return changed
}

// markEnded marks the job of a vertex as ended and returns the jobs whose priority
// changed as a result.
func (g *graph) markEnded(v *vertex) (changed []string) {
	if !v.ended {
		v.ended = true
		g.ended++
	}
	return g.recomputePriorities(v.dependencies())
}

// recomputePriorities recomputes the priorities of jobs after one of their dependents has
// ended. Where a priority changes, it continues with the dependencies of that job. It
// returns the jobs whose priority changed.
func (g *graph) recomputePriorities(ids []string) (changed []string) {
	queue := slices.Clone(ids)
	queued := map[string]bool{}
	for len(queue) > 0 {
		id := queue[0]
		queue = queue[1:]
		delete(queued, id)
		v := g.vertices[id]
		if v == nil || v.ended || !v.recomputePriority() {
			continue
		}
		changed = append(changed, id)
		for _, dependency := range v.dependencies() {
			if !queued[dependency] {
				queued[dependency] = true
				queue = append(queue, dependency)
			}
		}
	}
	return changed
}

// recomputePriority computes the job's priority from its own and those of its active
// dependents, and reports whether it changed.
func (v *vertex) recomputePriority() (changed bool) {
	before := v.priority
	v.priority = v.record.ownPriority()
	for _, d := range v.dependents {
		if !d.ended {
			v.inherit(d)
		}
	}
	return v.priority != before
}

// prune removes those of the given jobs that have ended and have no dependents in the
// graph. It continues with the dependencies of the removed jobs.
func (g *graph) prune(ids []string) {
	for len(ids) > 0 {
		id := ids[0]
		ids = ids[1:]
		v := g.vertices[id]
		if v == nil || !v.ended || len(v.dependents) > 0 {
			continue
		}
		delete(g.vertices, id)
		g.ended--
		g.unlink(v)
		ids = append(ids, v.dependencies()...)
	}
}

// removeDependencies detaches a done job from its dependencies and prunes these.
func (g *graph) removeDependencies(v *vertex) {
	g.unlink(v)
	g.prune(slices.Clone(v.dependencies()))
}
