package main

import (
	"log/slog"
	"sync/atomic"
	"time"

	"heronwick/internal/job"
	"heronwick/wire"
)

// dagCheckInterval is how often the dependency graphs of jobs are checked.
const dagCheckInterval = time.Second

// dagMonitor warns operators of dependency graphs of jobs that are expected to
// miss their deadlines. Its method check must not be called concurrently.
type dagMonitor struct {
	jobs    *job.Store
	ownsJob func(id string) bool
	log     *slog.Logger
	warned  map[string]bool // by the graph's sink

	live, inDanger atomic.Int64 // graphs, at the last check
	endangered     atomic.Int64 // graphs that were warned of since the start
}

func newDAGMonitor(jobs *job.Store, ownsJob func(id string) bool, log *slog.Logger) *dagMonitor {
	return &dagMonitor{jobs: jobs, ownsJob: ownsJob, log: log, warned: map[string]bool{}}
}

// check finds the graphs that are in danger of missing their deadlines. Each is
// logged once, by the owner of its sink.
func (m *dagMonitor) check() {
	graphs := m.jobs.DependencyGraphs(time.Now())
	warned := map[string]bool{}
	inDanger := int64(0)
	for i := range graphs {
		graph := &graphs[i]
		alreadyWarned := m.warned[graph.Sink]
		if graph.InDanger {
			inDanger++
			if !alreadyWarned && m.ownsJob(graph.Sink) {
				m.warn(graph)
				alreadyWarned = true
			}
		}
		if alreadyWarned {
			warned[graph.Sink] = true
		}
	}
	m.warned = warned
	m.live.Store(int64(len(graphs)))
	m.inDanger.Store(inDanger)
}

// warn logs a graph that is in danger, with the jobs that are not done yet.
func (m *dagMonitor) warn(graph *wire.DAG) {
	m.endangered.Add(1)
	var unfinished []string
	for _, j := range graph.Jobs {
		if j.State != wire.JobDone {
			unfinished = append(unfinished, j.ID)
		}
	}
	// Operators know these graphs as chains, from the path and the metrics.
	m.log.Warn("a chain of jobs is in danger of missing its deadline", "last", graph.Sink, "left_s", *graph.LeftS,
		"expected_s", graph.ExpectedS, "unfinished", unfinished)
}
