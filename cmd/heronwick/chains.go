package main

import (
	"log/slog"
	"sync/atomic"
	"time"

	"heronwick/internal/job"
	"heronwick/wire"
)

// chainsEvery is how often chains of jobs are looked at.
const chainsEvery = time.Second

// chainWatch tells operators of chains of jobs that come into danger. Only its own
// loop calls look.
type chainWatch struct {
	catalog *job.Store
	owns    func(id string) bool
	log     *slog.Logger
	warned  map[string]bool // by the chain's last job

	live, inDanger atomic.Int64 // chains, at the last look
	endangered     atomic.Int64 // chains that have come into danger
}

func newChainWatch(catalog *job.Store, owns func(id string) bool, log *slog.Logger) *chainWatch {
	return &chainWatch{catalog: catalog, owns: owns, log: log, warned: map[string]bool{}}
}

// look finds the chains that are in danger. Each is logged once, by the owner of
// its last job.
func (w *chainWatch) look() {
	chains := w.catalog.DependencyGraphs(time.Now())
	warned := map[string]bool{}
	inDanger := int64(0)
	for i := range chains {
		chain := &chains[i]
		before := w.warned[chain.Sink]
		if chain.InDanger {
			inDanger++
			if !before && w.owns(chain.Sink) {
				w.warn(chain)
				before = true
			}
		}
		if before {
			warned[chain.Sink] = true
		}
	}
	w.warned = warned
	w.live.Store(int64(len(chains)))
	w.inDanger.Store(inDanger)
}

func (w *chainWatch) warn(chain *wire.DAG) {
	w.endangered.Add(1)
	var unfinished []string
	for _, j := range chain.Jobs {
		if j.State != wire.JobDone {
			unfinished = append(unfinished, j.ID)
		}
	}
	w.log.Warn("a chain of jobs is in danger of missing its deadline", "last", chain.Sink, "left_s", *chain.LeftS,
		"expected_s", chain.ExpectedS, "unfinished", unfinished)
}
