package cluster

import (
	"context"
	"time"
)

// exclusionPeriod is how long a member that was removed because it could not reach
// its workers may not join again.
const exclusionPeriod = 15 * time.Second

// Membership is the view of the cluster for the scheduler that runs during one
// membership of this controller. A scheduler may take long to stop after its
// membership has ended, and its controller may have joined again under a newer
// token meanwhile. The state of the old scheduler is then outdated, so it must not
// act under the new membership.
type Membership struct {
	*Cluster
	since uint64 // token of the epoch in which this controller joined, see Member.Since
}

// FencingToken returns the fencing token of the current epoch. ok reports whether the
// scheduler of this membership may answer heartbeats of workers and command them
// now. Both are read atomically.
func (m *Membership) FencingToken() (token uint64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.epoch.Token, m.canAnswerHeartbeatsLocked() && m.epoch.Members[m.opts.Node].Since == m.since
}

// startMembershipLocked starts RunMembership if this controller is a member and it is
// not running yet.
func (c *Cluster) startMembershipLocked(ctx context.Context) {
	if !c.isMemberLocked() || c.stopMembership != nil {
		return
	}
	ctx, c.stopMembership = context.WithCancel(ctx)
	previous := c.membershipDone
	c.membershipDone = make(chan struct{})
	go c.runMembership(ctx, &Membership{c, c.epoch.Members[c.opts.Node].Since}, previous, c.membershipDone)
}

// runMembership calls RunMembership after that of the previous membership, if any,
// has returned, and closes done when it returns.
func (c *Cluster) runMembership(ctx context.Context, membership *Membership, previous, done chan struct{}) {
	defer close(done)
	if previous != nil {
		<-previous
	}
	c.opts.Log.Info("membership started")
	if err := c.opts.RunMembership(ctx, membership); err != nil && ctx.Err() == nil {
		c.opts.Log.Error("scheduler of the membership failed", "err", err)
	}
}

// endMembershipLocked stops RunMembership if it is running.
func (c *Cluster) endMembershipLocked() {
	if c.stopMembership == nil {
		return
	}
	c.opts.Log.Info("membership ended", "token", c.epoch.Token, "leader", c.epoch.Leader)
	c.stopMembership()
	c.stopMembership = nil
}

// epochProposal is a candidate for the next epoch. version is the version of the
// epoch key that it replaces.
type epochProposal struct {
	next    Epoch
	version uint64
}

// reconcileMembership updates the members and the assignment of teams in the epoch.
// It does nothing if this controller is not the leader.
func (c *Cluster) reconcileMembership(ctx context.Context) {
	weights := c.opts.TeamWeights()
	proposal := c.proposeMembers(weights)
	if proposal == nil {
		return
	}
	proposal.next.assignTeams(weights)
	if err := c.compareAndSwapEpoch(ctx, proposal.next, proposal.version); err != nil {
		c.opts.Log.Info("failed to update the members or teams of the epoch", "err", err)
	}
}

// proposeMembers returns a proposal with the members as they should be now, or nil if
// neither members nor teams need a change. The teams are not assigned yet.
func (c *Cluster) proposeMembers(weights map[string]float64) *epochProposal {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isLeaderLocked() {
		return nil
	}
	proposal := &epochProposal{next: c.epoch.next(), version: c.version}
	proposal.next.beginAssignment()
	now := time.Now()
	changed := false
	for _, p := range c.peers {
		if c.updateMemberLocked(&proposal.next, p, now) {
			changed = true
		}
	}
	if !changed && !proposal.next.teamsOutdated(weights) {
		return nil
	}
	return proposal
}

// updateMemberLocked adds a peer to the members of next or removes it, and reports
// whether it changed them. A peer that has restarted is removed and may be added
// again.
func (c *Cluster) updateMemberLocked(next *Epoch, p *peer, now time.Time) (changed bool) {
	member := next.Members[p.node].Incarnation // 0 if the peer is not a member
	alive := !p.lastSeen.IsZero() && now.Sub(p.lastSeen) < c.timeouts.removalTimeout
	if alive && member != 0 && p.status.Cut && p.status.Incarnation == member && c.workersReachOthersLocked(p) {
		p.excludedUntil = now.Add(exclusionPeriod)
	}
	excluded := now.Before(p.excludedUntil)
	if member != 0 && (!alive || p.incarnation != member || excluded) {
		delete(next.Members, p.node)
		c.opts.Log.Info("member removed", "peer", p.node, "last_heard_ago", now.Sub(p.lastSeen), "excluded", excluded)
		member, changed = 0, true
	}
	// A peer joins only if it knows the current epoch, which proves that it was
	// alive after the epoch began. A recent heartbeat alone is no proof: the
	// previous leader, for example, may have sent it just before it failed.
	eligible := alive && p.status.Ready && !p.status.Cut && p.token >= c.epoch.Token && now.After(p.excludedUntil)
	if member == 0 && eligible {
		next.Members[p.node] = Member{Incarnation: p.incarnation, Since: next.Token}
		c.opts.Log.Info("member joins", "peer", p.node)
		changed = true
	}
	return changed
}

// workersReachOthersLocked reports whether workers that a partitioned member cannot
// reach send their heartbeats to other controllers: more than a third as many as
// the member has machines.
func (c *Cluster) workersReachOthersLocked(partitioned *peer) bool {
	heard := max(len(c.workersHeard), c.maxWorkersHeardByPeerLocked(partitioned))
	return heard > int(partitioned.status.Machines)/3
}

// teamsOutdated reports whether a team is owned by a node that is not a member, or a
// team in weights has no owner.
func (e *Epoch) teamsOutdated(weights map[string]float64) bool {
	for _, node := range e.Teams {
		if e.Members[node].Since == 0 {
			return true
		}
	}
	for team := range weights {
		if e.Teams[team] == "" {
			return true
		}
	}
	return false
}
