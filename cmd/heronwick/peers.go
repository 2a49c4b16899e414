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

// peerSchedulers implements scheduler.Peers with the connections to the other
// controllers, by node name.
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
	// Record the request, so that a scheduler that starts later rejects a delayed
	// duplicate of it: the sender places the refused tasks elsewhere.
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

// statePeers returns the connections to the peers that can reach the key-value store.
func (c *controller) statePeers() []state.Transport {
	var transports []state.Transport
	for _, node := range c.members.PeersReachingStore() {
		transports = append(transports, c.external.peers[node])
	}
	return transports
}

// workersUnreachableHoldTime is how long a controller keeps reporting to its peers that it
// cannot reach most of its workers, counted from when that was last the case.
const workersUnreachableHoldTime = 15 * time.Second

// fillStatus fills in the status that this controller sends to its peers in heartbeats.
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
	// Keep reporting it for a while after the scheduler, which detects it, has been
	// stopped because of it.
	status.Cut = time.Since(time.Unix(0, c.workersUnreachableAt.Load())) < workersUnreachableHoldTime
}

// progressInterval is the time between two collections of job progress, which is only
// displayed.
const progressInterval = time.Second

// collectProgress stores the progress of the scheduler's jobs for status queries at this
// controller and for the heartbeats to the peers.
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

// lastProgress returns the progress that collectProgress stored last, for the heartbeats
// to the peers.
func (c *controller) lastProgress() []*peerpb.Progress {
	if all := c.progress.Load(); all != nil {
		return *all
	}
	return nil
}

// recordPeerProgress stores the progress of a peer's jobs for status queries at this
// controller.
func (c *controller) recordPeerProgress(all []*peerpb.Progress) {
	for _, progress := range all {
		c.jobs.SetProgress(progress.Job, job.Progress{Done: int(progress.Done), Running: int(progress.Running)})
	}
}
