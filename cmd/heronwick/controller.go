package main

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"heronwick/internal/cloud"
	"heronwick/internal/cluster"
	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/config"
	"heronwick/internal/job"
	"heronwick/internal/scheduler"
	"heronwick/internal/server"
	"heronwick/internal/state"
	"heronwick/wire"
)

// leaderPart is the leader's part of the state service's limits; the others
// divide the rest. It places and records, they accept and answer.
const leaderPart = 0.5

// peer is another controller, as the wiring uses it.
type peer interface {
	cluster.Beater
	state.Doer
}

// outside is everything beyond this process.
type outside struct {
	state   state.Doer
	cloud   scheduler.Cloud
	workers scheduler.Workers
	peers   map[string]peer
}

// controller wires one controller together.
type controller struct {
	settings *config.Settings
	out      outside
	log      *slog.Logger

	route     *state.Route
	budget    *state.Budget
	client    *state.Client
	committer *state.Committer
	catalog   *job.Catalog
	offers    *cloud.Offers
	members   *cluster.Cluster
	front     *server.Server
	share     atomic.Pointer[scheduler.Share]
}

// authority adapts the cluster to what a share needs.
type authority struct{ *cluster.Cluster }

// Token implements scheduler.Authority.
func (a authority) Token() uint64 {
	epoch, _, _ := a.Current()
	return epoch.Token
}

func newController(settings *config.Settings, out outside, log *slog.Logger) *controller {
	c := &controller{settings: settings, out: out, log: log}
	c.route = state.NewRoute(out.state, c.statePeers)
	requests, writes := c.rates(false)
	c.budget = state.NewBudget(requests, writes, settings.TxnOps)
	c.client = state.NewClient(c.route, c.budget)
	c.committer = state.NewCommitter(c.client, settings.TxnOps)
	c.catalog = job.NewCatalog(c.client, c.committer, log)
	c.offers = cloud.NewOffers(out.cloud, c.client, log)
	beaters := map[string]cluster.Beater{}
	for node, p := range out.peers {
		beaters[node] = p
	}
	c.members = cluster.New(cluster.Options{
		Node: settings.Node, Client: c.client, Route: c.route, Peers: beaters, LeaseFor: settings.LeaseFor,
		Lead: c.lead, Progress: c.progress, OnProgress: c.takeProgress, Log: log,
	})
	c.front = server.New(server.Options{
		Settings: settings, Jobs: c.catalog, Types: c.offers.Types, Checkin: c.checkin, Ready: c.ready, Log: log,
	})
	return c
}

// run takes part in the cluster until ctx ends. Serving is the caller's.
func (c *controller) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.members.Run(ctx) })
	g.Go(func() error { return c.catalog.Run(ctx) })
	g.Go(func() error { return c.offers.Run(ctx) })
	return g.Wait()
}

// statePeers returns the peers through which the state service can be reached.
func (c *controller) statePeers() []state.Doer {
	var doers []state.Doer
	for _, node := range c.members.StatePeers() {
		doers = append(doers, c.out.peers[node])
	}
	return doers
}

// rates is this controller's part of the state service's limits.
func (c *controller) rates(leading bool) (requests, writes float64) {
	part := (1 - leaderPart) / float64(max(1, len(c.settings.Peers)))
	if leading {
		part = leaderPart
	}
	return c.settings.StateRPS * part, c.settings.StateWriteRPS * part
}

func (c *controller) setRates(leading bool) {
	requests, writes := c.rates(leading)
	c.budget.SetRates(requests, writes, c.settings.TxnOps)
}

// lead runs the share while this controller leads.
func (c *controller) lead(ctx context.Context) error {
	if err := c.offers.Wait(ctx); err != nil {
		return err
	}
	if err := c.catalog.Wait(ctx); err != nil {
		return err
	}
	c.setRates(true)
	defer c.setRates(false)
	s := scheduler.New(scheduler.Options{
		Settings: c.settings, Authority: authority{c.members}, Workers: c.out.workers, Cloud: c.out.cloud,
		Jobs: c.catalog, Records: c.client, Committer: c.committer, Types: c.offers.Types(),
		Resign: c.members.Resign, Elsewhere: c.members.WorkersElsewhere, Log: c.log,
	})
	c.share.Store(s)
	defer c.share.CompareAndSwap(s, nil)
	return s.Run(ctx)
}

func (c *controller) progress() []*peerpb.Progress {
	s := c.share.Load()
	if s == nil {
		return nil
	}
	var all []*peerpb.Progress
	for id, p := range s.Progress() {
		c.catalog.SetProgress(id, p)
		all = append(all, &peerpb.Progress{Job: id, Done: uint32(p.Done), Running: uint32(p.Running)})
	}
	return all
}

func (c *controller) takeProgress(all []*peerpb.Progress) {
	for _, p := range all {
		c.catalog.SetProgress(p.Job, job.Progress{Done: int(p.Done), Running: int(p.Running)})
	}
}

// checkin answers a worker's report if this controller may, and else says who
// does.
func (c *controller) checkin(r *wire.Report) (*wire.ReportReply, string) {
	if s := c.share.Load(); s != nil {
		if reply := s.Checkin(r); reply != nil {
			return reply, ""
		}
	}
	leader := c.members.Leader()
	if leader == c.settings.Node {
		return nil, ""
	}
	c.members.HeardWorker(r.Machine)
	return nil, leader
}

// ready tells whether this controller can take requests. In an outage of the
// state service all stay ready, since being removed costs more than the
// outage; one that alone cannot reach it does not.
func (c *controller) ready() bool {
	if !c.catalog.Ready() || c.offers.Types() == nil {
		return false
	}
	if c.route.OK(3 * time.Second) {
		return true
	}
	return c.members.PeersAlive() > 0 && len(c.members.StatePeers()) == 0
}
