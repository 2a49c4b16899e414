package cluster

import (
	"context"
	"math"
	"time"

	"heronwick/internal/cluster/peerpb"
)

// peer is what this controller knows of another.
type peer struct {
	node          string
	client        PeerClient
	lastSeen      time.Time // when its last answer came
	incarnation   uint64
	token         uint64       // highest epoch token it has said it knows
	level         FeatureLevel // of its version, as it last said
	stateOK       bool
	workers       uint32
	confirmedAt   time.Time // when it was asked and knew of no newer epoch than ours
	status        *peerpb.Status
	excludedUntil time.Time // no member before then
	replication   replicationQueue
}

// PeerClient is the part of a peer's gRPC interface that this package calls:
// heartbeats, and the replication of cancellations before they are confirmed.
type PeerClient interface {
	Heartbeat(ctx context.Context, mine *peerpb.Status) (*peerpb.Status, error)
	ReplicateCancellations(ctx context.Context, req *peerpb.TellRequest) (*peerpb.TellReply, error)
}

// NoteWorkerHeartbeat notes that a worker sent its heartbeat here although
// another controller leads.
func (c *Cluster) NoteWorkerHeartbeat(machine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workersHeard[machine] = time.Now()
}

// WorkersElsewhere is the largest number of workers that lately came to one
// peer instead of the leader.
func (c *Cluster) WorkersElsewhere() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mostWorkersHeardLocked(nil)
}

// mostWorkersHeardLocked is the largest number of workers that lately came to one
// peer other than the given one.
func (c *Cluster) mostWorkersHeardLocked(except *peer) int {
	most := 0
	for _, p := range c.heardPeersLocked() {
		if p != except {
			most = max(most, int(p.workers))
		}
	}
	return most
}

// StatePeers returns the peers that lately reached the state service.
func (c *Cluster) StatePeers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var nodes []string
	for _, p := range c.heardPeersLocked() {
		if p.stateOK {
			nodes = append(nodes, p.node)
		}
	}
	return nodes
}

// PeersAlive counts the peers heard from lately.
func (c *Cluster) PeersAlive() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.heardPeersLocked())
}

// heardPeersLocked returns the peers that were heard from lately.
func (c *Cluster) heardPeersLocked() []*peer {
	var heard []*peer
	for _, p := range c.peers {
		if p.status != nil && time.Since(p.lastSeen) < c.timeouts.peerSilence {
			heard = append(heard, p)
		}
	}
	return heard
}

// Isolated tells whether this controller has long been cut off from all others
// and is no member: for longer than it takes to lead if they have ended.
func (c *Cluster) Isolated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	lonelyAfter := c.timeouts.leaderTTL + 5*time.Second
	for _, p := range c.peers {
		if time.Since(p.lastSeen) < lonelyAfter {
			return false
		}
	}
	return len(c.peers) > 0 && !c.memberLocked() && time.Since(c.begun) > lonelyAfter
}

// Peers returns what the peers that were heard from lately say of themselves.
func (c *Cluster) Peers() []*peerpb.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*peerpb.Status
	for _, p := range c.heardPeersLocked() {
		all = append(all, p.status)
	}
	return all
}

// HandleHeartbeat answers a peer's heartbeat with this controller's status.
func (c *Cluster) HandleHeartbeat(theirs *peerpb.Status) *peerpb.Status {
	c.mu.Lock()
	if p := c.peers[theirs.Node]; p != nil {
		c.notePeerLocked(p, theirs)
	}
	newer := theirs.Token > c.epoch.Token
	c.mu.Unlock()
	if newer {
		c.poke()
	}
	if len(theirs.Progress) > 0 && c.opts.OnProgress != nil {
		c.opts.OnProgress(theirs.Progress)
	}
	return c.status(theirs.JobsRevision)
}

// notePeerLocked takes what a peer says of itself.
func (c *Cluster) notePeerLocked(p *peer, theirs *peerpb.Status) {
	p.lastSeen, p.status = time.Now(), theirs
	p.incarnation, p.token, p.stateOK, p.workers = theirs.Incarnation, theirs.Token, theirs.StateOk, theirs.WorkersHeard
	p.level = FeatureLevel(theirs.FeatureLevel)
	c.noteAckLocked(p)
}

// status says how this controller is, and names the cancellations that it knows
// after a revision.
func (c *Cluster) status(after uint64) *peerpb.Status {
	s := &peerpb.Status{Node: c.opts.Node, Incarnation: c.incarnation, FeatureLevel: uint32(supportedLevel),
		StateOk: c.opts.Route.DirectHealthy(2 * time.Second)}
	c.opts.Status(s)
	known := c.opts.Cancellations.KnownCancellations(after)
	s.JobsRead, s.JobsRevision, s.JobsBase, s.Cancelled = known.Loaded, known.Revision, known.Base, toPeer(known.Recent)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known {
		s.Token = c.epoch.Token
	}
	now := time.Now()
	for machine, at := range c.workersHeard {
		if now.Sub(at) > 5*time.Second {
			delete(c.workersHeard, machine)
		}
	}
	s.WorkersHeard = uint32(len(c.workersHeard))
	return s
}

// runHeartbeats exchanges status with one peer every heartbeat interval. The
// answers of a majority that know no newer epoch also confirm ours: in an outage of the
// state service that is what keeps workers' leases.
func (c *Cluster) runHeartbeats(ctx context.Context, p *peer) error {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		mine := c.status(math.MaxUint64)
		if c.opts.Progress != nil {
			mine.Progress = c.opts.Progress()
		}
		sent := time.Now()
		bctx, cancel := context.WithTimeout(ctx, c.timeouts.heartbeatTimeout)
		theirs, err := p.client.Heartbeat(bctx, mine)
		cancel()
		if err == nil {
			c.opts.Cancellations.ApplyCancellations(fromPeer(theirs.Cancelled))
			// What the peer cannot name, since it started or forgot, must be
			// known here already: else its word says nothing of cancellations.
			named := mine.JobsRead && theirs.JobsRead && theirs.JobsBase <= mine.JobsRevision
			c.mu.Lock()
			c.notePeerLocked(p, theirs)
			if named && theirs.Token > 0 && theirs.Token <= c.epoch.Token {
				p.confirmedAt = sent
				c.confirmByMajorityLocked()
			}
			newer := theirs.Token > c.epoch.Token
			c.mu.Unlock()
			if newer {
				c.poke()
			}
			if mine.JobsRead && theirs.JobsBase > mine.JobsRevision {
				if err := c.opts.Cancellations.SyncToRevision(ctx, theirs.JobsBase); err != nil {
					c.opts.Log.Debug("reading what a peer cannot name failed", "peer", p.node, "err", err)
				}
			}
		} else {
			c.opts.Log.Debug("beat failed", "peer", p.node, "err", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}
