package job

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// reachable returns what can be reached from start along the edges that next returns,
// without start itself, breadth first.
func reachable[T comparable](start T, next func(T) iter.Seq[T]) []T {
	seen := map[T]bool{}
	var all []T
	for work := []T{start}; len(work) > 0; work = work[1:] {
		for to := range next(work[0]) {
			if !seen[to] {
				seen[to] = true
				all = append(all, to)
				work = append(work, to)
			}
		}
	}
	return all
}

// after returns all active jobs that depend on a job, directly or through others.
func (g *graph) after(id string) []string {
	return reachable(id, g.activeDependents)
}

// activeDependents returns the active jobs that depend directly on a job.
func (g *graph) activeDependents(id string) iter.Seq[string] {
	dependents := g.missing[id]
	if v := g.vertices[id]; v != nil {
		dependents = v.dependents
	}
	return func(yield func(string) bool) {
		for dependent, d := range dependents {
			if !d.over && !yield(dependent) {
				return
			}
		}
	}
}

// unfinishedBefore returns the jobs that are not known to be done and that a job
// depends on, directly or through others, by id.
func (g *graph) unfinishedBefore(id string) []string {
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
		if !v.over && len(v.dependencies()) > 0 && !v.hasActiveDependents() {
			sinks = append(sinks, v)
		}
	}
	return sinks
}

// upTo returns a vertex and all that it depends on, directly or through others, as far
// as they are in the graph and also those that are over, in the order in which the
// jobs were accepted.
func (g *graph) upTo(sink *vertex) []*vertex {
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
