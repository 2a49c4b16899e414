package job

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"heronwick/wire"
)

// DependencyGraphs describes every live DAG of dependencies, those in danger first, then by
// deadline.
func (c *Store) DependencyGraphs(now time.Time) []wire.DAG {
	c.mu.Lock()
	defer c.mu.Unlock()
	var chains []wire.DAG
	for _, last := range c.graph.lasts() {
		chains = append(chains, c.dependencyGraphLocked(last, now))
	}
	slices.SortFunc(chains, func(a, b wire.DAG) int {
		return cmp.Or(compareDanger(a, b), compareDeadlines(a.LeftS, b.LeftS), cmp.Compare(a.Sink, b.Sink))
	})
	return chains
}

func compareDanger(a, b wire.DAG) int {
	switch {
	case a.InDanger == b.InDanger:
		return 0
	case a.InDanger:
		return -1
	}
	return 1
}

// compareDeadlines puts what is due sooner first, and what is not due last.
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

// dependencyGraphLocked describes the dependency graph whose last job is last.
func (c *Store) dependencyGraphLocked(last *vertex, now time.Time) wire.DAG {
	id := last.record.Job.ID
	chain := wire.DAG{Sink: id}
	expected := map[string]time.Time{} // when each should be done
	for _, v := range c.graph.upTo(last) {
		progress := c.progress[v.record.Job.ID]
		expected[v.record.Job.ID] = v.expectedDone(now, expected, progress)
		chain.Jobs = append(chain.Jobs, v.graphJob(progress))
	}
	chain.ExpectedS = expected[id].Sub(now).Seconds()
	if due := last.priority.Due; !due.IsZero() {
		left := due.Sub(now).Seconds()
		chain.Deadline, chain.LeftS = &due, &left
		chain.InDanger = expected[id].After(due)
	}
	return chain
}

// expectedDone is when the job should be done by its estimate, given when those
// that it needs should be. One that runs is taken to have begun when it could.
func (v *vertex) expectedDone(now time.Time, needs map[string]time.Time, p Progress) time.Time {
	if v.over {
		return now
	}
	if p.Running > 0 || p.Done > 0 {
		begin := time.UnixMilli(v.record.AcceptedMs)
		if v.readyAt.After(begin) {
			begin = v.readyAt
		}
		if done := begin.Add(v.expected()); done.After(now) {
			return done
		}
		return now
	}
	start := now
	for id := range v.unfinished {
		if needs[id].After(start) {
			start = needs[id]
		}
	}
	return start.Add(v.expected())
}

func (v *vertex) graphJob(p Progress) wire.DAGJob {
	j := &v.record.Job
	shown := wire.DAGJob{ID: j.ID, Class: j.Class, State: p.state(), Tasks: j.Tasks, Done: p.Done, Running: p.Running}
	if v.over {
		shown.State, shown.Done, shown.Running = wire.JobDone, j.Tasks, 0
	}
	shown.WaitsFor = slices.Sorted(maps.Keys(v.unfinished))
	return shown
}
