package main

import (
	"context"
	"errors"
	"time"

	"heronwick/internal/cluster"
	"heronwick/internal/scheduler"
)

// newCluster creates the cluster membership of a controller. Its client, transport, jobs
// and duties must be set.
func newCluster(c *controller) *cluster.Cluster {
	peers := map[string]cluster.PeerClient{}
	for node, p := range c.external.peers {
		peers[node] = p
	}
	var teams []string
	for _, team := range c.settings.Teams {
		teams = append(teams, team.Name)
	}
	return cluster.New(cluster.Options{
		Node:              c.settings.Node,
		Client:            c.client,
		Teams:             teams,
		MaxValueBytes:     c.settings.MaxValueBytes,
		Transport:         c.transport,
		Peers:             peers,
		LeaseDuration:     c.settings.LeaseDuration,
		CancelTimeout:     c.settings.CancelTimeout,
		Cancellations:     c.jobs,
		TimeoutFactor:     c.settings.TimeoutFactor(),
		RunMembership:     c.runScheduler,
		FillStatus:        c.fillStatus,
		OnChange:          c.epochChanged,
		TeamWeights:       c.teamWeights,
		Progress:          c.lastProgress,
		OnProgress:        c.recordPeerProgress,
		WatchHandler:      c.duties.recordCache,
		CleanupConditions: c.duties.cleanupConditions,
		Log:               c.log,
	})
}

// runScheduler waits until the jobs and machine types are loaded and then runs a
// scheduler until ctx ends. ctx ends when this controller is no longer a member.
func (c *controller) runScheduler(ctx context.Context, membership *cluster.Membership) error {
	if err := c.machineTypes.WaitUntilLoaded(ctx); err != nil {
		return err
	}
	if err := c.jobs.WaitUntilReady(ctx); err != nil {
		return err
	}
	s := scheduler.New(scheduler.Options{
		Node:           c.settings.Node,
		Settings:       c.settings,
		Authority:      membership,
		Workers:        c.external.workers,
		Cloud:          c.external.cloud,
		Actions:        c.duties.actions,
		Peers:          peerSchedulers(c.external.peers),
		PlaceRequests:  &c.placeRequests,
		Violations:     &c.violations,
		Jobs:           c.jobs,
		Records:        c.client,
		Committer:      c.committer,
		TxnLimits:      c.client.Limits(),
		Types:          c.machineTypes.Types(),
		Resign:         c.members.StepDown,
		WorkersAtPeers: c.members.MaxWorkersHeardByPeer,
		Latency:        c.latency,
		Log:            c.log,
	})
	c.scheduler.Store(s)
	// Clear the pointer as soon as the membership ends, not only when Run returns: the
	// scheduler may take long to stop.
	defer context.AfterFunc(ctx, func() { c.scheduler.CompareAndSwap(s, nil) })()
	defer c.scheduler.CompareAndSwap(s, nil)
	return s.Run(ctx)
}

// epochChanged is called when the epoch or the owner of a machine has changed.
func (c *controller) epochChanged() {
	c.setRates()
	c.duties.manager.TriggerReconcile()
	if s := c.scheduler.Load(); s != nil {
		s.EpochChanged()
	}
}

// teamWeights returns an estimate of each team's work: 1 plus its guaranteed CPUs plus
// the CPUs of its active jobs.
func (c *controller) teamWeights() map[string]float64 {
	weights := map[string]float64{}
	active := c.jobs.ActiveCPUsByTeam()
	for _, team := range c.settings.Teams {
		weights[team.Name] = 1 + team.CPUs + active[team.Name]
	}
	return weights
}

// ownsJob reports whether this controller is a member and owns an active job.
func (c *controller) ownsJob(id string) bool {
	record := c.jobs.Active(id)
	view := c.members.View()
	return view.Member && record != nil && view.Epoch.OwnerOf(record.Job.Team, id) == c.settings.Node
}

// errShutdown is returned by serve after a requested shutdown.
var errShutdown = errors.New("shutdown requested")

// resignOnShutdown waits until shutdown is closed, gives up leadership and returns
// errShutdown. It returns nil if ctx ends first.
func (c *controller) resignOnShutdown(ctx context.Context, shutdown <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return nil
	case <-shutdown:
		c.resign(ctx)
		return errShutdown
	}
}

// resignTimeout limits how long a controller takes to resign before it exits.
const resignTimeout = 2 * time.Second

// resign gives up leadership before this controller exits. The next leader starts an
// epoch without this controller's membership, so it acquires the fleet's duties without
// waiting for their lease to expire.
func (c *controller) resign(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	c.log.Info("shutting down")
	c.members.StepDown(ctx)
}
