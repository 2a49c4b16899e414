package job

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"heronwick/wire"
)

// DependencyGraphs describes, as of the time now, every DAG of dependencies that has an
// active job. DAGs in danger of missing their deadline come first; within each group, DAGs
// are sorted by deadline.
func (s *Store) DependencyGraphs(now time.Time) []wire.DAG {
	s.mu.Lock()
	defer s.mu.Unlock()
	var dags []wire.DAG
	for _, sink := range s.graph.sinks() {
		dags = append(dags, s.dependencyGraphLocked(sink, now))
	}
	slices.SortFunc(dags, func(a, b wire.DAG) int {
		return cmp.Or(compareDanger(a, b), compareDeadlines(a.LeftS, b.LeftS), cmp.Compare(a.Sink, b.Sink))
	})
	return dags
}

// compareDanger orders DAGs in danger of missing their deadline before others.
func compareDanger(a, b wire.DAG) int {
	switch {
	case a.InDanger == b.InDanger:
		return 0
	case a.InDanger:
		return -1
	}
	return 1
}

// compareDeadlines orders deadlines, with nil last.
func compareDeadlines(a, b *float64) int {
	switch {
	case a != nil && b != nil:
		return cmp.Compare(*a, *b)
	case a != nil:
		return -1
	case b != nil:
		return 1
	}
	return 0
}

// dependencyGraphLocked describes the DAG with the given sink.
func (s *Store) dependencyGraphLocked(sink *vertex, now time.Time) wire.DAG {
	id := sink.id()
	dag := wire.DAG{Sink: id}
	expected := map[string]time.Time{} // expected completion time by job ID
	for _, v := range s.graph.withAllDependencies(sink) {
		progress := s.progress[v.id()]
		expected[v.id()] = v.expectedDone(now, expected, progress)
		dag.Jobs = append(dag.Jobs, v.dagJob(progress))
	}
	dag.ExpectedS = expected[id].Sub(now).Seconds()
	if due := sink.priority.Due; !due.IsZero() {
		left := due.Sub(now).Seconds()
		dag.Deadline, dag.LeftS = &due, &left
		dag.InDanger = expected[id].After(due)
	}
	return dag
}

// expectedDone returns when the job is expected to be done, from its estimate and the
// expected completion times of its dependencies. A job that has started is assumed to
// have started as soon as it could.
func (v *vertex) expectedDone(now time.Time, dependencies map[string]time.Time, p Progress) time.Time {
	if v.ended {
		return now
	}
	if p.Running > 0 || p.Done > 0 {
		begin := later(time.UnixMilli(v.record.AcceptedMs), v.readyAt)
		return later(now, begin.Add(v.estimate()))
	}
	start := now
	for id := range v.unfinished {
		start = later(start, dependencies[id])
	}
	return start.Add(v.estimate())
}

// later returns the later of two times, or a if they are equal.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// dagJob describes the job as a member of a DAG.
func (v *vertex) dagJob(p Progress) wire.DAGJob {
	j := &v.record.Job
	shown := wire.DAGJob{ID: j.ID, Class: j.Class, State: p.state(), Tasks: j.Tasks, Done: p.Done, Running: p.Running}
	if v.ended {
		shown.State, shown.Done, shown.Running = wire.JobDone, j.Tasks, 0
	}
	shown.WaitsFor = slices.Sorted(maps.Keys(v.unfinished))
	return shown
}
