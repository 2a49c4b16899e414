package job

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// reachable returns all nodes that can be reached from start, without start itself, in
// breadth-first order. next returns the successors of a node.
func reachable[T comparable](start T, next func(T) iter.Seq[T]) []T {
	seen := map[T]bool{}
	var all []T
	for queue := []T{start}; len(queue) > 0; queue = queue[1:] {
		for to := range next(queue[0]) {
			if !seen[to] {
				seen[to] = true
				all = append(all, to)
				queue = append(queue, to)
			}
		}
	}
	return all
}

// allActiveDependents returns all active jobs that depend on a job, directly or
// transitively.
func (g *graph) allActiveDependents(id string) []string {
	return reachable(id, g.activeDependents)
}

// activeDependents returns the active jobs that depend directly on a job.
func (g *graph) activeDependents(id string) iter.Seq[string] {
	dependents := g.dependentsOfMissing[id]
	if v := g.vertices[id]; v != nil {
		dependents = v.dependents
	}
	return func(yield func(string) bool) {
		for dependent, d := range dependents {
			if !d.ended && !yield(dependent) {
				return
			}
		}
	}
}

// allUnfinishedDependencies returns the jobs that a job depends on, directly or
// transitively, and that are not known to be done. They are sorted by ID.
func (g *graph) allUnfinishedDependencies(id string) []string {
	ids := reachable(id, func(id string) iter.Seq[string] {
		if v := g.vertices[id]; v != nil {
			return maps.Keys(v.unfinished)
		}
		return maps.Keys(map[string]bool(nil))
	})
	slices.Sort(ids)
	return ids
}

// sinks returns the active jobs that have dependencies and no active dependents.
func (g *graph) sinks() []*vertex {
	var sinks []*vertex
	for _, v := range g.vertices {
		if !v.ended && len(v.dependencies()) > 0 && !v.hasActiveDependents() {
			sinks = append(sinks, v)
		}
	}
	return sinks
}

// withAllDependencies returns a vertex and all vertices in the graph that it depends on,
// directly or transitively, including those of ended jobs. They are in the order in
// which the jobs were accepted.
func (g *graph) withAllDependencies(sink *vertex) []*vertex {
	all := append([]*vertex{sink}, reachable(sink, g.dependencyVertices)...)
	slices.SortFunc(all, func(a, b *vertex) int { return cmp.Compare(a.record.Version, b.record.Version) })
	return all
}

// dependencyVertices returns the vertices that a vertex depends on directly.
func (g *graph) dependencyVertices(v *vertex) iter.Seq[*vertex] {
	return func(yield func(*vertex) bool) {
		for _, dependency := range v.dependencies() {
			if d := g.vertices[dependency]; d != nil && !yield(d) {
				return
			}
		}
	}
}
