package main

import (
	"log/slog"
	"sync/atomic"
	"time"

	"heronwick/internal/job"
	"heronwick/wire"
)

// dagCheckInterval is the time between two checks of the dependency graphs of jobs.
const dagCheckInterval = time.Second

// dagMonitor logs a warning for each dependency graph of jobs that is expected to miss
// its deadline. Calls of check must not overlap.
type dagMonitor struct {
	jobs    *job.Store
	ownsJob func(id string) bool
	log     *slog.Logger
	warned  map[string]bool // sinks of the graphs that were logged and are still live

	live, inDanger atomic.Int64 // numbers of graphs at the last check
	endangered     atomic.Int64 // number of warnings since the start
}

func newDAGMonitor(jobs *job.Store, ownsJob func(id string) bool, log *slog.Logger) *dagMonitor {
	return &dagMonitor{jobs: jobs, ownsJob: ownsJob, log: log, warned: map[string]bool{}}
}

// check counts the live graphs and those that are in danger of missing their deadlines.
// The owner of a graph's sink logs the graph once when it comes into danger.
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

// warn logs a graph that is in danger, with its unfinished jobs.
func (m *dagMonitor) warn(graph *wire.DAG) {
	m.endangered.Add(1)
	var unfinished []string
	for _, j := range graph.Jobs {
		if j.State != wire.JobDone {
			unfinished = append(unfinished, j.ID)
		}
	}
	// The operator interface, that is the path /chains and the metrics, calls these
	// graphs chains, so the message does too.
	m.log.Warn("a chain of jobs is in danger of missing its deadline", "last", graph.Sink, "left_s", *graph.LeftS,
		"expected_s", graph.ExpectedS, "unfinished", unfinished)
}
