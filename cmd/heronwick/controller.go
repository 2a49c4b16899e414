package main

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"heronwick/internal/cloud"
	"heronwick/internal/cluster"
	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/config"
	"heronwick/internal/duty"
	"heronwick/internal/job"
	"heronwick/internal/overload"
	"heronwick/internal/remote"
	"heronwick/internal/scheduler"
	"heronwick/internal/server"
	"heronwick/internal/state"
	"heronwick/internal/wait"
	"heronwick/wire"
)

// cutFor is how long a controller that could not reach its workers says so.
const cutFor = 15 * time.Second

// peer is another controller, as the wiring uses it.
type peer interface {
	cluster.PeerClient
	state.Transport
	Place(ctx context.Context, req *peerpb.PlaceRequest) (*peerpb.PlaceReply, error)
	Settle(ctx context.Context, req *peerpb.SettleRequest) (*peerpb.SettleReply, error)
}

// machineCloud is the cloud that rents machines.
type machineCloud interface {
	cloud.Source
	scheduler.Cloud
	duty.Provider
}

// outside is everything beyond this process.
type outside struct {
	state   state.Transport
	cloud   machineCloud
	workers scheduler.Workers
	peers   map[string]peer
}

// controller wires one controller together.
type controller struct {
	settings *config.Settings
	out      outside
	log      *slog.Logger

	route     *state.FailoverTransport
	budget    *state.Budget
	client    *state.Client
	committer *state.Committer
	catalog   *job.Store
	offers    *cloud.TypeCache
	members   *cluster.Cluster
	overload  overload.Meter
	latency   func() time.Duration // of scheduling in this process, as overload measures it
	front     *server.Server
	share     atomic.Pointer[scheduler.Scheduler]
	spare     atomic.Pointer[spare]
	told      atomic.Pointer[[]*peerpb.Progress] // progress
	requests  remote.RequestHistory
	cutAt     atomic.Int64 // when the share last could not reach most workers
	chains    *chainWatch
	duties    duties
}

// peerShares are the other controllers' shares.
type peerShares map[string]peer

var errNoPeer = errors.New("no such peer")

// Place implements scheduler.Peers.
func (p peerShares) Place(ctx context.Context, node string, req *peerpb.PlaceRequest) (*peerpb.PlaceReply, error) {
	if p[node] == nil {
		return nil, errNoPeer
	}
	return p[node].Place(ctx, req)
}

// Settle implements scheduler.Peers.
func (p peerShares) Settle(ctx context.Context, node string, req *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	if p[node] == nil {
		return nil, errNoPeer
	}
	return p[node].Settle(ctx, req)
}

func newController(settings *config.Settings, out outside, log *slog.Logger) *controller {
	c := &controller{settings: settings, out: out, log: log}
	c.latency = c.overload.Latency
	c.route = state.NewFailoverTransport(out.state, c.statePeers)
	c.budget = state.NewBudget(settings.StateRPS*otherPart, settings.StateWriteRPS*otherPart, settings.TxnOps)
	c.client = state.NewClient(c.route, c.budget)
	c.committer = state.NewCommitter(c.client, settings.TxnOps)
	c.catalog = job.NewStore(job.Options{
		Client: c.client, Committer: c.committer, MaxValue: settings.ValueBytes, Log: log,
		AcceptsDependencies: func() bool { return c.members.Supports(cluster.LevelDependencies) },
	})
	c.offers = cloud.NewTypeCache(out.cloud, c.client, settings.ValueBytes, log)
	beaters := map[string]cluster.PeerClient{}
	for node, p := range out.peers {
		beaters[node] = p
	}
	var teams []string
	for _, t := range settings.Teams {
		teams = append(teams, t.Name)
	}
	c.duties = newDuties(c)
	c.members = cluster.New(cluster.Options{
		Teams: teams, MaxValue: settings.ValueBytes,
		Node: settings.Node, Client: c.client, Route: c.route, Peers: beaters,
		LeaseFor: settings.LeaseFor, CancelIn: settings.CancelIn, Cancellations: c.catalog, Slowness: settings.Slowness(),
		RunMembership: c.runShare, Status: c.status, Changed: c.changed, Weights: c.weights,
		Progress: c.progress, OnProgress: c.takeProgress, WatchHandler: c.duties.ledger, Cleanup: c.duties.cleanupConditions, Log: log,
	})
	c.catalog.SetReplicator(c.members)
	c.chains = newChainWatch(c.catalog, c.owns, log)
	c.front = server.New(server.Options{
		Settings: settings, Jobs: c.catalog, MachineTypes: c.offers.Types, HandleHeartbeat: c.checkin, Ready: c.ready,
		SchedulingLatency: func() time.Duration { return c.latency() }, Gauges: c.gauges(), Log: log,
		DependencyGraphs: func() []wire.DAG { return c.catalog.DependencyGraphs(time.Now()) },
		DutyReport:       c.dutyReport, HandOverDuty: c.handOver, ClearDuty: c.clearDuty,
	})
	return c
}

// run takes part in the cluster until ctx ends. Serving is the caller's.
func (c *controller) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.members.Run(ctx) })
	g.Go(func() error { return c.duties.keeper.Run(ctx) })
	g.Go(func() error { return c.catalog.Run(ctx) })
	g.Go(func() error { return c.offers.Run(ctx) })
	g.Go(func() error { return wait.Every(ctx, logUsageEvery, c.logUsage) })
	g.Go(func() error { return wait.Every(ctx, balanceEvery, c.balance) })
	g.Go(func() error { return wait.Every(ctx, progressEvery, c.takeOwnProgress) })
	g.Go(func() error { return wait.Every(ctx, chainsEvery, c.chains.look) })
	return g.Wait()
}

// logUsageEvery is how often the use of the state service is logged.
const logUsageEvery = 10 * time.Second

// logUsage tells an operator which work waits for the state service's limits.
func (c *controller) logUsage() {
	for p, u := range c.budget.Usage() {
		if u.Requests > 0 {
			c.log.Info("state use", "work", state.Priority(p), "requests", u.Requests, "writes", u.Writes,
				"mean_wait", u.Waited/time.Duration(u.Requests), "longest_wait", u.Longest)
		}
	}
}

// statePeers returns the peers through which the state service can be reached.
func (c *controller) statePeers() []state.Transport {
	var doers []state.Transport
	for _, node := range c.members.StatePeers() {
		doers = append(doers, c.out.peers[node])
	}
	return doers
}

// changed follows the epoch.
func (c *controller) changed() {
	c.setRates()
	c.duties.keeper.Poke()
	if s := c.share.Load(); s != nil {
		s.Changed()
	}
}

// runShare runs the share while this controller is a member.
func (c *controller) runShare(ctx context.Context, membership *cluster.Membership) error {
	if err := c.offers.Wait(ctx); err != nil {
		return err
	}
	if err := c.catalog.Wait(ctx); err != nil {
		return err
	}
	s := scheduler.New(scheduler.Options{
		Node: c.settings.Node, Settings: c.settings, Authority: membership, Workers: c.out.workers, Cloud: c.out.cloud, Actions: c.duties.actions,
		Peers: peerShares(c.out.peers), PlaceRequests: &c.requests, Jobs: c.catalog, Records: c.client, Committer: c.committer, Types: c.offers.Types(),
		Resign: c.members.StepDown, Elsewhere: c.members.WorkersElsewhere, Latency: c.latency, Log: c.log,
	})
	c.share.Store(s)
	// At once when its membership ends: its last work may take long to end.
	defer context.AfterFunc(ctx, func() { c.share.CompareAndSwap(s, nil) })()
	defer c.share.CompareAndSwap(s, nil)
	return s.Run(ctx)
}

// status fills in what the peers are told of this controller.
func (c *controller) status(status *peerpb.Status) {
	status.Ready = c.catalog.Ready() && c.offers.Types() != nil
	if s := c.share.Load(); s != nil {
		s.Status(status)
	}
	if mine := c.spare.Load(); mine != nil {
		status.SpareRequests, status.SpareWrites, status.Short, status.Late = mine.requests, mine.writes, mine.short, mine.late
	}
	if status.Cut {
		c.cutAt.Store(time.Now().UnixNano())
	}
	// It stays so for a while after its share has ended for it.
	status.Cut = time.Since(time.Unix(0, c.cutAt.Load())) < cutFor
}

// weights tells how much work each team has: what it is guaranteed and what
// its jobs take.
func (c *controller) weights() map[string]float64 {
	weights := map[string]float64{}
	active := c.catalog.Weights()
	for _, t := range c.settings.Teams {
		weights[t.Name] = 1 + t.CPUs + active[t.Name]
	}
	return weights
}

// owns tells whether a job is of this controller's share.
func (c *controller) owns(id string) bool {
	r := c.catalog.Active(id)
	epoch, _, member := c.members.Current()
	return member && r != nil && epoch.OwnerOf(r.Job.Team, id) == c.settings.Node
}

// Place implements cluster.Host.
func (c *controller) Place(req *peerpb.PlaceRequest) *peerpb.PlaceReply {
	if s := c.share.Load(); s != nil {
		return s.Place(req)
	}
	c.requests.Accept(req) // it has come: refused, and so for ever
	return &peerpb.PlaceReply{}
}

// Settle implements cluster.Host.
func (c *controller) Settle(req *peerpb.SettleRequest) *peerpb.SettleReply {
	if s := c.share.Load(); s != nil {
		return s.Settle(req)
	}
	return &peerpb.SettleReply{}
}

// gauges are what the metrics tell of the share.
func (c *controller) gauges() []server.Gauge {
	of := func(value func(*peerpb.Status) float64) func() float64 {
		return func() float64 {
			var status peerpb.Status
			c.status(&status)
			return value(&status)
		}
	}
	return append(c.duties.gauges(), []server.Gauge{
		{Name: "heronwick_share_machines", Help: "Machines of this controller's share.",
			Value: of(func(s *peerpb.Status) float64 { return float64(s.Machines) })},
		{Name: "heronwick_share_idle_machines", Help: "Usable machines of the share without tasks.",
			Value: of(func(s *peerpb.Status) float64 { return float64(s.Idle) })},
		{Name: "heronwick_share_cpus", Help: "CPUs of the share's usable machines.",
			Value: of(func(s *peerpb.Status) float64 { return s.Cpus })},
		{Name: "heronwick_share_free_cpus", Help: "Free CPUs of the share's usable machines.",
			Value: of(func(s *peerpb.Status) float64 { return s.FreeCpus })},
		{Name: "heronwick_token", Help: "Token of the epoch that this controller knows.",
			Value: func() float64 { return float64(c.members.Token()) }},
		{Name: "heronwick_feature_level", Help: "What all controllers support, as recorded; 1: jobs may need others.",
			Value: func() float64 { return float64(c.members.FeatureLevel()) }},
		{Name: "heronwick_chains", Help: "Chains of jobs that are live.",
			Value: func() float64 { return float64(c.chains.live.Load()) }},
		{Name: "heronwick_chains_in_danger", Help: "Live chains whose last job misses its deadline by estimates.",
			Value: func() float64 { return float64(c.chains.inDanger.Load()) }},
		{Name: "heronwick_chains_endangered", Help: "Chains that have come into danger since this controller started, of those whose last job is its own.",
			Value: func() float64 { return float64(c.chains.endangered.Load()) }},
		{Name: "heronwick_permitted", Help: "1 while this controller may answer workers.",
			Value: func() float64 {
				if c.members.CanAnswerHeartbeats() {
					return 1
				}
				return 0
			}},
	}...)
}

// progressEvery is how often the progress of jobs is taken, for display.
const progressEvery = time.Second

// takeOwnProgress takes the progress of the share's jobs, also where there is no
// peer to tell.
func (c *controller) takeOwnProgress() {
	var all []*peerpb.Progress
	if s := c.share.Load(); s != nil {
		for id, p := range s.Progress() {
			c.catalog.SetProgress(id, p)
			all = append(all, &peerpb.Progress{Job: id, Done: uint32(p.Done), Running: uint32(p.Running)})
		}
	}
	c.told.Store(&all)
}

// progress is what the peers are told.
func (c *controller) progress() []*peerpb.Progress {
	if all := c.told.Load(); all != nil {
		return *all
	}
	return nil
}

func (c *controller) takeProgress(all []*peerpb.Progress) {
	for _, p := range all {
		c.catalog.SetProgress(p.Job, job.Progress{Done: int(p.Done), Running: int(p.Running)})
	}
}

// checkin answers a worker's report if this controller may, and else says who
// does.
func (c *controller) checkin(r *wire.Heartbeat) (*wire.HeartbeatReply, string) {
	if s := c.share.Load(); s != nil {
		if reply := s.HandleHeartbeat(r); reply != nil {
			return reply, ""
		}
	}
	home, _ := c.members.HeartbeatTarget(r.Machine)
	if home == c.settings.Node {
		return nil, ""
	}
	c.members.NoteWorkerHeartbeat(r.Machine)
	return nil, home
}

// ready tells whether this controller can take requests. In an outage of the
// state service all stay ready, since being removed costs more than the
// outage; one that alone cannot reach it does not. Nor does one that hears no
// other and is no member: it can confirm no cancellation, while others can.
func (c *controller) ready() bool {
	if !c.catalog.Ready() || c.offers.Types() == nil {
		return false
	}
	if c.route.Healthy(3 * time.Second) {
		return !c.members.Isolated()
	}
	return c.members.PeersAlive() > 0 && len(c.members.StatePeers()) == 0
}
