package main

import (
	"context"
	"errors"
	"time"

	"heronwick/internal/cluster"
	"heronwick/internal/scheduler"
)

// newCluster makes the membership of a controller whose client, jobs and duties
// are there.
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

// runScheduler runs a scheduler for as long as this controller is a member.
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
		Jobs:           c.jobs,
		Records:        c.client,
		Committer:      c.committer,
		Types:          c.machineTypes.Types(),
		Resign:         c.members.StepDown,
		WorkersAtPeers: c.members.MaxWorkersHeardByPeer,
		Latency:        c.latency,
		Log:            c.log,
	})
	c.scheduler.Store(s)
	// As soon as the membership ends: the scheduler's last work may take long.
	defer context.AfterFunc(ctx, func() { c.scheduler.CompareAndSwap(s, nil) })()
	defer c.scheduler.CompareAndSwap(s, nil)
	return s.Run(ctx)
}

// epochChanged is called when the epoch or a machine's owner has changed.
func (c *controller) epochChanged() {
	c.setRates()
	c.duties.manager.TriggerReconcile()
	if s := c.scheduler.Load(); s != nil {
		s.EpochChanged()
	}
}

// teamWeights returns how much work each team has: what it is guaranteed and
// what its jobs take.
func (c *controller) teamWeights() map[string]float64 {
	weights := map[string]float64{}
	active := c.jobs.ActiveCPUsByTeam()
	for _, team := range c.settings.Teams {
		weights[team.Name] = 1 + team.CPUs + active[team.Name]
	}
	return weights
}

// ownsJob reports whether this controller schedules a job.
func (c *controller) ownsJob(id string) bool {
	record := c.jobs.Active(id)
	view := c.members.View()
	return view.Member && record != nil && view.Epoch.OwnerOf(record.Job.Team, id) == c.settings.Node
}

// errShutdown ends a controller that was asked to end.
var errShutdown = errors.New("asked to end")

// resignOnShutdown waits until shutdown is closed, gives up leading and returns
// errShutdown. It returns nil if ctx ends before.
func (c *controller) resignOnShutdown(ctx context.Context, shutdown <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return nil
	case <-shutdown:
		c.resign(ctx)
		return errShutdown
	}
}

// resignTimeout bounds what a controller does before it ends.
const resignTimeout = 2 * time.Second

// resign gives up leading before this controller ends. Whoever claims the epoch
// ends its membership, and so takes the duties of the fleet without waiting for a
// lease.
func (c *controller) resign(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	c.log.Info("shutting down")
	c.members.StepDown(ctx)
}
