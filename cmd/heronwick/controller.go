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
	"heronwick/internal/duty"
	"heronwick/internal/job"
	"heronwick/internal/overload"
	"heronwick/internal/remote"
	"heronwick/internal/scheduler"
	"heronwick/internal/server"
	"heronwick/internal/state"
	"heronwick/internal/wait"
)

// machineCloud is the cloud provider from which machines are rented.
type machineCloud interface {
	cloud.Source
	scheduler.Cloud
	duty.Provider
}

// externalServices are the connections of a controller to everything outside its
// process.
type externalServices struct {
	state   state.Transport
	cloud   machineCloud
	workers scheduler.Workers
	peers   map[string]peer // by node name
}

// controller holds the components of one controller and connects them.
type controller struct {
	settings *config.Settings
	external externalServices
	log      *slog.Logger

	transport    *state.FailoverTransport
	budget       *state.Budget
	client       *state.Client
	committer    *state.Committer
	jobs         *job.Store
	machineTypes *cloud.TypeCache
	duties       duties
	members      *cluster.Cluster
	dagMonitor   *dagMonitor
	server       *server.Server

	overload overload.Meter
	latency  func() time.Duration // scheduling latency of this process, measured by overload

	scheduler            atomic.Pointer[scheduler.Scheduler] // nil while this controller is not a member
	placeRequests        remote.RequestHistory               // shared by successive schedulers
	violations           scheduler.Violations                // outlives a scheduler
	progress             atomic.Pointer[[]*peerpb.Progress]  // of the scheduler's jobs, from the last collectProgress
	unusedRates          atomic.Pointer[unusedRates]         // nil before the first balanceRates
	workersUnreachableAt atomic.Int64                        // last time most workers were unreachable, in Unix nanoseconds
}

// newController creates a controller. It does nothing until run and server.Serve are
// called.
func newController(settings *config.Settings, external externalServices, log *slog.Logger) *controller {
	c := &controller{settings: settings, external: external, log: log}
	c.latency = c.overload.Latency
	c.transport = state.NewFailoverTransport(external.state, c.statePeers)
	c.budget = state.NewBudget(settings.StateRequestRate*nonMemberFraction, settings.StateWriteRate*nonMemberFraction, settings.MaxTxnOps)
	c.client = state.NewClient(c.transport, c.budget, state.NewTxnLimits(settings.MaxTxnOps, log))
	c.committer = state.NewCommitter(c.client)
	c.jobs = job.NewStore(job.Options{
		Client:              c.client,
		Committer:           c.committer,
		MaxValueBytes:       settings.MaxValueBytes,
		AcceptsDependencies: func() bool { return c.members.Supports(cluster.LevelDependencies) },
		Log:                 log,
	})
	c.machineTypes = cloud.NewTypeCache(external.cloud, c.client, settings.MaxValueBytes, log)
	c.duties = newDuties(c)
	c.members = newCluster(c)
	c.jobs.SetReplicator(c.members)
	c.dagMonitor = newDAGMonitor(c.jobs, c.ownsJob, log)
	c.server = newServer(c)
	return c
}

// run runs the background work of the controller, including its cluster membership,
// until ctx ends. It does not serve requests; the caller runs the servers.
func (c *controller) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.members.Run(ctx) })
	g.Go(func() error { return c.duties.manager.Run(ctx) })
	g.Go(func() error { return c.jobs.Run(ctx) })
	g.Go(func() error { return c.machineTypes.Run(ctx) })
	g.Go(func() error { return wait.Every(ctx, logUsageInterval, c.logUsage) })
	g.Go(func() error { return wait.Every(ctx, balanceInterval, c.balanceRates) })
	g.Go(func() error { return wait.Every(ctx, progressInterval, c.collectProgress) })
	g.Go(func() error { return wait.Every(ctx, dagCheckInterval, c.dagMonitor.check) })
	return g.Wait()
}
