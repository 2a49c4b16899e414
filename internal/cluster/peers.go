package cluster

import (
	"context"
	"math"
	"time"

	"heronwick/internal/cluster/peerpb"
)

const (
	// directHealthyWindow is how recently this controller must have reached the store
	// directly for peers to send their requests through it.
	directHealthyWindow = 2 * time.Second
	// workerHeartbeatWindow is how long a worker counts as heard, see
	// MaxWorkersHeardByPeer, after its last heartbeat.
	workerHeartbeatWindow = 5 * time.Second
	// isolationSlack is how much longer than the leader lease a controller must have
	// received nothing from its peers before it counts as isolated.
	isolationSlack = 5 * time.Second
)

// peer is the known state of another controller.
type peer struct {
	node          string
	client        PeerClient
	lastSeen      time.Time      // when its last heartbeat or response was received
	status        *peerpb.Status // last received status; nil until the first one
	incarnation   uint64
	token         uint64       // highest epoch token that it has reported
	level         FeatureLevel // highest feature level that its version supports
	stateOK       bool         // whether it recently reached the store directly
	workersHeard  uint32       // number of workers that recently sent heartbeats to it instead of the leader
	confirmedAt   time.Time    // when the last heartbeat was sent whose response confirmed the epoch
	excludedUntil time.Time    // until then it may not become a member
	replication   replicationQueue
}

// PeerClient is the part of a peer's gRPC interface that this package calls: it
// exchanges heartbeats and replicates cancellations before they are confirmed to
// users.
type PeerClient interface {
	Heartbeat(ctx context.Context, ownStatus *peerpb.Status) (*peerpb.Status, error)
	ReplicateCancellations(ctx context.Context, req *peerpb.TellRequest) (*peerpb.TellReply, error)
}

// RecordWorkerHeartbeat records that a worker sent its heartbeat to this controller
// although another controller is the leader.
func (c *Cluster) RecordWorkerHeartbeat(machine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workersHeard[machine] = time.Now()
}

// livePeersLocked returns the peers whose last heartbeat or response is not older than
// livenessTimeout. Their statuses are not nil.
func (c *Cluster) livePeersLocked() []*peer {
	var live []*peer
	for _, p := range c.peers {
		if p.status != nil && time.Since(p.lastSeen) < c.timeouts.livenessTimeout {
			live = append(live, p)
		}
	}
	return live
}

// Isolated reports whether this controller is not a member and has received nothing
// from its peers for so long that it would have become the leader if all of them
// had failed.
func (c *Cluster) Isolated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isolatedAfter := c.timeouts.leaderTTL + isolationSlack
	for _, p := range c.peers {
		if time.Since(p.lastSeen) < isolatedAfter {
			return false
		}
	}
	return len(c.peers) > 0 && !c.isMemberLocked() && time.Since(c.startedAt) > isolatedAfter
}

// HandleHeartbeat processes a heartbeat of a peer and returns this controller's
// status.
func (c *Cluster) HandleHeartbeat(peerStatus *peerpb.Status) *peerpb.Status {
	if c.recordHeartbeat(peerStatus) {
		c.triggerElectionRound()
	}
	if len(peerStatus.Progress) > 0 && c.opts.OnProgress != nil {
		c.opts.OnProgress(peerStatus.Progress)
	}
	return c.status(peerStatus.JobsRevision)
}

// recordHeartbeat records a heartbeat from a peer and reports whether the peer knows
// a newer epoch.
func (c *Cluster) recordHeartbeat(peerStatus *peerpb.Status) (outdated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[peerStatus.Node]; p != nil {
		c.recordStatusLocked(p, peerStatus)
	}
	return peerStatus.Token > c.epoch.Token
}

// recordStatusLocked records the status that a peer has sent.
func (c *Cluster) recordStatusLocked(p *peer, peerStatus *peerpb.Status) {
	p.lastSeen, p.status = time.Now(), peerStatus
	p.incarnation, p.token = peerStatus.Incarnation, peerStatus.Token
	p.level = FeatureLevel(peerStatus.FeatureLevel)
	p.stateOK, p.workersHeard = peerStatus.StateOk, peerStatus.WorkersHeard
	c.recordAckLocked(p)
}

// status returns this controller's status, including the known cancellations after a
// revision of the store.
func (c *Cluster) status(after uint64) *peerpb.Status {
	s := &peerpb.Status{Node: c.opts.Node, Incarnation: c.incarnation, FeatureLevel: uint32(supportedLevel),
		StateOk: c.opts.Transport.DirectHealthy(directHealthyWindow)}
	c.opts.FillStatus(s)
	known := c.opts.Cancellations.KnownCancellations(after)
	s.JobsRead, s.JobsRevision, s.JobsBase = known.Loaded, known.Revision, known.Base
	s.Cancelled = encodeCancellations(known.Recent)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.epochLoaded {
		s.Token = c.epoch.Token
	}
	c.removeExpiredWorkerHeartbeatsLocked()
	s.WorkersHeard = uint32(len(c.workersHeard))
	return s
}

func (c *Cluster) removeExpiredWorkerHeartbeatsLocked() {
	now := time.Now()
	for machine, heardAt := range c.workersHeard {
		if now.Sub(heardAt) > workerHeartbeatWindow {
			delete(c.workersHeard, machine)
		}
	}
}

// runHeartbeats exchanges statuses with a peer every heartbeatInterval until ctx ends.
func (c *Cluster) runHeartbeats(ctx context.Context, p *peer) error {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		c.exchangeStatus(ctx, p)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// exchangeStatus sends one heartbeat to a peer and processes the response.
func (c *Cluster) exchangeStatus(ctx context.Context, p *peer) {
	ownStatus := c.status(math.MaxUint64)
	if c.opts.Progress != nil {
		ownStatus.Progress = c.opts.Progress()
	}
	sent := time.Now()
	peerStatus, err := c.sendHeartbeat(ctx, p, ownStatus)
	if err != nil {
		c.opts.Log.Debug("failed to send a heartbeat to a peer", "peer", p.node, "err", err)
		return
	}
	c.opts.Cancellations.ApplyCancellations(decodeCancellations(peerStatus.Cancelled))
	if c.recordHeartbeatResponse(p, ownStatus, peerStatus, sent) {
		c.triggerElectionRound()
	}
	if ownStatus.JobsRead && peerStatus.JobsBase > ownStatus.JobsRevision {
		if err := c.opts.Cancellations.SyncToRevision(ctx, peerStatus.JobsBase); err != nil {
			c.opts.Log.Debug("failed to read the cancellations that a peer no longer keeps", "peer", p.node, "err", err)
		}
	}
}

func (c *Cluster) sendHeartbeat(ctx context.Context, p *peer, ownStatus *peerpb.Status) (*peerpb.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeouts.heartbeatTimeout)
	defer cancel()
	return p.client.Heartbeat(ctx, ownStatus)
}

// recordHeartbeatResponse records a peer's response to a heartbeat, which was sent at
// the time sent, and reports whether the peer knows a newer epoch. Responses of a
// majority that knows no newer epoch confirm the current one. During an outage of
// the store, only these confirmations allow controllers to renew workers' leases.
func (c *Cluster) recordHeartbeatResponse(p *peer, ownStatus, peerStatus *peerpb.Status, sent time.Time) (outdated bool) {
	// The response lists the peer's known cancellations only after JobsBase. Older
	// ones, which the peer has dropped or lost in a restart, must already be known
	// here; otherwise the response does not show that all cancellations are known.
	knowsCancellations := ownStatus.JobsRead && peerStatus.JobsRead && peerStatus.JobsBase <= ownStatus.JobsRevision
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordStatusLocked(p, peerStatus)
	if knowsCancellations && peerStatus.Token > 0 && peerStatus.Token <= c.epoch.Token {
		p.confirmedAt = sent
		c.confirmByMajorityLocked()
	}
	return peerStatus.Token > c.epoch.Token
}
