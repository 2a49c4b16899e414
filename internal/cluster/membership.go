package cluster

import (
	"context"
	"time"
)

// exclusionPeriod is how long a member that could not reach its workers is kept
// from joining again.
const exclusionPeriod = 15 * time.Second

// Membership is the cluster as seen by the scheduler of one membership of this
// controller. A scheduler whose membership is over may take long to end, and
// meanwhile its controller may be a member again, under a newer token: what the
// old scheduler knows is no longer current.
type Membership struct {
	*Cluster
	since uint64 // token of the epoch in which the membership began
}

// FencingToken returns the fencing token of the current epoch, and whether the
// scheduler of this membership may answer workers' heartbeats and command them
// now: both as of the same moment.
func (m *Membership) FencingToken() (token uint64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.epoch.Token, m.canAnswerHeartbeatsLocked() && m.epoch.Members[m.opts.Node].Since == m.since
}

// startMembershipLocked starts RunMembership for a membership that has begun.
func (c *Cluster) startMembershipLocked(ctx context.Context) {
	if !c.isMemberLocked() || c.stopMembership != nil {
		return
	}
	ctx, c.stopMembership = context.WithCancel(ctx)
	previous := c.membershipDone
	c.membershipDone = make(chan struct{})
	go c.runMembership(ctx, &Membership{c, c.epoch.Members[c.opts.Node].Since}, previous, c.membershipDone)
}

// runMembership calls RunMembership once that of the membership before, if any,
// has returned, and closes done afterwards.
func (c *Cluster) runMembership(ctx context.Context, membership *Membership, previous, done chan struct{}) {
	defer close(done)
	if previous != nil {
		<-previous
	}
	c.opts.Log.Info("membership started")
	if err := c.opts.RunMembership(ctx, membership); err != nil && ctx.Err() == nil {
		c.opts.Log.Error("membership failed", "err", err)
	}
}

// endMembershipLocked stops RunMembership, if it runs.
func (c *Cluster) endMembershipLocked() {
	if c.stopMembership == nil {
		return
	}
	c.opts.Log.Info("membership ended", "token", c.epoch.Token, "leader", c.epoch.Leader)
	c.stopMembership()
	c.stopMembership = nil
}

// epochProposal is an epoch that may follow the one whose key has the version.
type epochProposal struct {
	next    Epoch
	version uint64
}

// reconcileMembership keeps the members and the assignment of teams up to date.
// It does nothing on a controller that does not lead.
func (c *Cluster) reconcileMembership(ctx context.Context) {
	weights := c.opts.TeamWeights()
	proposal := c.proposeMembers(weights)
	if proposal == nil {
		return
	}
	proposal.next.assignTeams(weights)
	if err := c.compareAndSwapEpoch(ctx, proposal.next, proposal.version); err != nil {
		c.opts.Log.Info("changing the epoch failed", "err", err)
	}
}

// proposeMembers returns an epoch with the members as they should be now, nil if
// nothing is to be changed. Its teams are not assigned yet.
func (c *Cluster) proposeMembers(weights map[string]float64) *epochProposal {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isLeaderLocked() {
		return nil
	}
	proposal := &epochProposal{next: c.epoch.next(), version: c.version}
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

// updateMemberLocked removes a peer from the members of next or adds it, and
// reports whether it did either. One that restarted is removed and added again.
func (c *Cluster) updateMemberLocked(next *Epoch, p *peer, now time.Time) (changed bool) {
	member := next.Members[p.node].Incarnation // 0: it is none
	alive := !p.lastSeen.IsZero() && now.Sub(p.lastSeen) < c.timeouts.removalTimeout
	if alive && member != 0 && p.status.Cut && p.status.Incarnation == member && c.workersReachOthersLocked(p) {
		p.excludedUntil = now.Add(exclusionPeriod)
	}
	excluded := now.Before(p.excludedUntil)
	if member != 0 && (!alive || p.incarnation != member || excluded) {
		delete(next.Members, p.node)
		c.opts.Log.Info("member removed", "member", p.node, "silent", now.Sub(p.lastSeen), "excluded", excluded)
		member, changed = 0, true
	}
	// Only a peer that knows this epoch is surely still there: the leader
	// before, say, was heard a moment before it ended.
	eligible := alive && p.status.Ready && !p.status.Cut && p.token >= c.epoch.Token && now.After(p.excludedUntil)
	if member == 0 && eligible {
		next.Members[p.node] = Member{Incarnation: p.incarnation, Since: next.Token}
		c.opts.Log.Info("member joins", "member", p.node)
		changed = true
	}
	return changed
}

// workersReachOthersLocked reports whether the workers that a cut-off member
// cannot reach send their heartbeats to other controllers.
func (c *Cluster) workersReachOthersLocked(cut *peer) bool {
	heard := max(len(c.workersHeard), c.maxWorkersHeardByPeerLocked(cut))
	return heard > int(cut.status.Machines)/3
}

// teamsOutdated reports whether a team is owned by a node that is no member, or a
// team of weights by none.
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
