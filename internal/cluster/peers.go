package cluster

import (
	"context"
	"math"
	"time"

	"heronwick/internal/cluster/peerpb"
)

const (
	// directHealthyWindow is how lately this controller must have reached the
	// store by itself for peers to send requests through it.
	directHealthyWindow = 2 * time.Second
	// workerHeartbeatWindow is how long a worker's heartbeat counts for
	// MaxWorkersHeardByPeer.
	workerHeartbeatWindow = 5 * time.Second
	// isolationSlack is how much longer than the leader's lease a controller must
	// be cut off before it counts as isolated.
	isolationSlack = 5 * time.Second
)

// peer is what this controller knows of another one.
type peer struct {
	node          string
	client        PeerClient
	lastSeen      time.Time      // when its last heartbeat or answer came
	status        *peerpb.Status // as last received; nil: none yet
	incarnation   uint64
	token         uint64       // highest epoch token that it has said it knows
	level         FeatureLevel // that its version supports
	stateOK       bool         // it lately reached the store by itself
	workersHeard  uint32       // that lately sent it heartbeats instead of the leader
	confirmedAt   time.Time    // when the last request was sent to which it knew no newer epoch
	excludedUntil time.Time    // it may not join before then
	replication   replicationQueue
}

// PeerClient is the part of a peer's gRPC interface that this package calls:
// heartbeats, and the replication of cancellations before they are confirmed.
type PeerClient interface {
	Heartbeat(ctx context.Context, mine *peerpb.Status) (*peerpb.Status, error)
	ReplicateCancellations(ctx context.Context, req *peerpb.TellRequest) (*peerpb.TellReply, error)
}

// RecordWorkerHeartbeat records that a worker sent its heartbeat here although
// another controller leads.
func (c *Cluster) RecordWorkerHeartbeat(machine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workersHeard[machine] = time.Now()
}

// livePeersLocked returns the peers that were heard from lately. Their status is
// not nil.
func (c *Cluster) livePeersLocked() []*peer {
	var heard []*peer
	for _, p := range c.peers {
		if p.status != nil && time.Since(p.lastSeen) < c.timeouts.livenessTimeout {
			heard = append(heard, p)
		}
	}
	return heard
}

// Isolated reports whether this controller is no member and has been cut off from
// all others for longer than it takes to become the leader if they have ended.
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

// HandleHeartbeat answers a peer's heartbeat with this controller's status.
func (c *Cluster) HandleHeartbeat(theirs *peerpb.Status) *peerpb.Status {
	if c.recordHeartbeat(theirs) {
		c.triggerElectionRound()
	}
	if len(theirs.Progress) > 0 && c.opts.OnProgress != nil {
		c.opts.OnProgress(theirs.Progress)
	}
	return c.status(theirs.JobsRevision)
}

// recordHeartbeat records a heartbeat that a peer sent and reports whether the
// peer knows a newer epoch.
func (c *Cluster) recordHeartbeat(theirs *peerpb.Status) (outdated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[theirs.Node]; p != nil {
		c.recordStatusLocked(p, theirs)
	}
	return theirs.Token > c.epoch.Token
}

// recordStatusLocked records a peer's status.
func (c *Cluster) recordStatusLocked(p *peer, theirs *peerpb.Status) {
	p.lastSeen, p.status = time.Now(), theirs
	p.incarnation, p.token = theirs.Incarnation, theirs.Token
	p.level = FeatureLevel(theirs.FeatureLevel)
	p.stateOK, p.workersHeard = theirs.StateOk, theirs.WorkersHeard
	c.recordAckLocked(p)
}

// status returns this controller's status, with the cancellations that it knows
// after a revision of the store.
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

// runHeartbeats exchanges status with one peer every heartbeat interval until ctx
// ends.
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

// exchangeStatus sends one heartbeat to a peer and takes its answer.
func (c *Cluster) exchangeStatus(ctx context.Context, p *peer) {
	mine := c.status(math.MaxUint64)
	if c.opts.Progress != nil {
		mine.Progress = c.opts.Progress()
	}
	sent := time.Now()
	theirs, err := c.sendHeartbeat(ctx, p, mine)
	if err != nil {
		c.opts.Log.Debug("heartbeat to peer failed", "peer", p.node, "err", err)
		return
	}
	c.opts.Cancellations.ApplyCancellations(decodeCancellations(theirs.Cancelled))
	if c.recordHeartbeatResponse(p, mine, theirs, sent) {
		c.triggerElectionRound()
	}
	if mine.JobsRead && theirs.JobsBase > mine.JobsRevision {
		if err := c.opts.Cancellations.SyncToRevision(ctx, theirs.JobsBase); err != nil {
			c.opts.Log.Debug("reading what a peer cannot name failed", "peer", p.node, "err", err)
		}
	}
}

func (c *Cluster) sendHeartbeat(ctx context.Context, p *peer, mine *peerpb.Status) (*peerpb.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeouts.heartbeatTimeout)
	defer cancel()
	return p.client.Heartbeat(ctx, mine)
}

// recordHeartbeatResponse records a peer's answer to a heartbeat that was sent at a time and
// reports whether the peer knows a newer epoch. The answers of a majority that
// know no newer one confirm ours: in an outage of the store that is what keeps
// workers' leases.
func (c *Cluster) recordHeartbeatResponse(p *peer, mine, theirs *peerpb.Status, sent time.Time) (outdated bool) {
	// What the peer cannot name, since it restarted or forgot, must be known here
	// already: else its answer says nothing of cancellations.
	knowsCancellations := mine.JobsRead && theirs.JobsRead && theirs.JobsBase <= mine.JobsRevision
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordStatusLocked(p, theirs)
	if knowsCancellations && theirs.Token > 0 && theirs.Token <= c.epoch.Token {
		p.confirmedAt = sent
		c.confirmByMajorityLocked()
	}
	return theirs.Token > c.epoch.Token
}
