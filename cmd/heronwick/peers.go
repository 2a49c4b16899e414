package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"heronwick/internal/cluster"
	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/job"
	"heronwick/internal/state"
)

// peer is a connection to another controller.
type peer interface {
	cluster.PeerClient
	state.Transport
	Place(ctx context.Context, req *peerpb.PlaceRequest) (*peerpb.PlaceReply, error)
	Settle(ctx context.Context, req *peerpb.SettleRequest) (*peerpb.SettleReply, error)
}

// peerSchedulers implements scheduler.Peers by the connections to the other
// controllers.
type peerSchedulers map[string]peer

var errNoPeer = errors.New("no such peer")

// Place implements scheduler.Peers.
func (p peerSchedulers) Place(ctx context.Context, node string, req *peerpb.PlaceRequest) (*peerpb.PlaceReply, error) {
	if p[node] == nil {
		return nil, fmt.Errorf("%w: %q", errNoPeer, node)
	}
	return p[node].Place(ctx, req)
}

// Settle implements scheduler.Peers.
func (p peerSchedulers) Settle(ctx context.Context, node string, req *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	if p[node] == nil {
		return nil, fmt.Errorf("%w: %q", errNoPeer, node)
	}
	return p[node].Settle(ctx, req)
}

// Place implements cluster.PlacementHandler.
func (c *controller) Place(req *peerpb.PlaceRequest) *peerpb.PlaceReply {
	if s := c.scheduler.Load(); s != nil {
		return s.Place(req)
	}
	// A late copy of the request must not be accepted by a scheduler that starts
	// after it was refused here.
	c.placeRequests.Accept(req)
	return &peerpb.PlaceReply{}
}

// Settle implements cluster.PlacementHandler.
func (c *controller) Settle(req *peerpb.SettleRequest) *peerpb.SettleReply {
	if s := c.scheduler.Load(); s != nil {
		return s.Settle(req)
	}
	return &peerpb.SettleReply{}
}

// statePeers returns the peers through which the key-value store can be reached.
func (c *controller) statePeers() []state.Transport {
	var transports []state.Transport
	for _, node := range c.members.PeersReachingStore() {
		transports = append(transports, c.external.peers[node])
	}
	return transports
}

// workersUnreachableHoldTime is how long a controller that could not reach its workers
// tells its peers so.
const workersUnreachableHoldTime = 15 * time.Second

// fillStatus fills in what the heartbeats to the peers say of this controller.
func (c *controller) fillStatus(status *peerpb.Status) {
	status.Ready = c.jobs.Ready() && c.machineTypes.Types() != nil
	if s := c.scheduler.Load(); s != nil {
		s.Status(status)
	}
	if unused := c.unusedRates.Load(); unused != nil {
		status.SpareRequests, status.SpareWrites = unused.requests, unused.writes
		status.Short, status.Late = unused.short, unused.late
	}
	if status.Cut {
		c.workersUnreachableAt.Store(time.Now().UnixNano())
	}
	// It stays so for a while after its scheduler has ended for it.
	status.Cut = time.Since(time.Unix(0, c.workersUnreachableAt.Load())) < workersUnreachableHoldTime
}

// progressInterval is how often the progress of jobs is collected, for display.
const progressInterval = time.Second

// collectProgress takes the progress of the scheduler's jobs, for this
// controller's users and for the peers.
func (c *controller) collectProgress() {
	var all []*peerpb.Progress
	if s := c.scheduler.Load(); s != nil {
		for id, progress := range s.Progress() {
			c.jobs.SetProgress(id, progress)
			all = append(all, &peerpb.Progress{Job: id, Done: uint32(progress.Done), Running: uint32(progress.Running)})
		}
	}
	c.progress.Store(&all)
}

// lastProgress returns the progress that was last collected, for the peers.
func (c *controller) lastProgress() []*peerpb.Progress {
	if all := c.progress.Load(); all != nil {
		return *all
	}
	return nil
}

// recordPeerProgress records the progress of a peer's jobs.
func (c *controller) recordPeerProgress(all []*peerpb.Progress) {
	for _, progress := range all {
		c.jobs.SetProgress(progress.Job, job.Progress{Done: int(progress.Done), Running: int(progress.Running)})
	}
}
