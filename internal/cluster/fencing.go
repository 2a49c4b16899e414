package cluster

import (
	"slices"
	"time"
)

// fence collects, for the current epoch, the acknowledgements that show that
// no controller answers heartbeats under an older one.
type fence struct {
	acked      map[string]bool // peers that know this epoch
	majorityAt time.Time
	allAt      time.Time
}

// fenceRecord says that from at on, no controller answers heartbeats under an
// epoch older than token.
type fenceRecord struct {
	token uint64
	at    time.Time
}

// minConfirmationTTL is the shortest confirmation TTL: a few heartbeat intervals.
const minConfirmationTTL = 2500 * time.Millisecond

// leaseExpirySlack is how long after its lease expiry a worker has surely
// ended its tasks: its clock drifts, and it checks the lease periodically.
func leaseExpirySlack(lease time.Duration) time.Duration { return lease/1000 + 500*time.Millisecond }

// confirmationTTLFor is how long a controller may answer heartbeats after one
// confirmation that its epoch is current: a quarter of a worker lease, and no
// longer than leaves time for a lease expiry before a cancelled job's tasks
// must be gone. fits is false if the settings leave no such time.
func confirmationTTLFor(lease, cancelIn time.Duration) (ttl time.Duration, fits bool) {
	ttl = lease / 4
	room := cancelIn - lease - leaseExpirySlack(lease)
	if room < min(ttl, minConfirmationTTL) {
		return min(ttl, minConfirmationTTL), false
	}
	return min(ttl, room), true
}

// CanAnswerHeartbeats tells whether this controller may answer workers'
// heartbeats now: it is a member, and a confirmation that its epoch is current
// was asked for within the confirmation TTL. Without the bound, a controller cut off from everything but some
// workers would renew their leases for ever, and nobody could ever count them
// as expired.
func (c *Cluster) CanAnswerHeartbeats() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.canAnswerHeartbeatsLocked()
}

func (c *Cluster) canAnswerHeartbeatsLocked() bool {
	return c.memberLocked() && time.Since(c.confirmed) < c.confirmationTTL
}

// Membership is the cluster as seen by the scheduler of one membership. A
// scheduler whose membership is over may take long to end, and meanwhile its
// controller may be a member again, under a newer token: what the old
// scheduler knows is no longer current.
type Membership struct {
	*Cluster
	since uint64
}

// FencingToken returns the fencing token of the current epoch, and whether the
// scheduler of this membership may answer workers' heartbeats and command them
// now: both as of the same moment.
func (m *Membership) FencingToken() (token uint64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.epoch.Token, m.canAnswerHeartbeatsLocked() && m.epoch.Members[m.opts.Node].Since == m.since
}

// FencedSince returns since when surely no controller has answered a worker under
// an epoch older than token, if that is proven. See docs/design.md, "Fencing".
func (c *Cluster) FencedSince(token uint64) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteFenceLocked()
	for _, p := range c.fenceRecords {
		if p.token >= token {
			return p.at, true
		}
	}
	return time.Time{}, false
}

// noteAckLocked counts a peer that knows the current epoch: it will neither
// answer workers under an older one nor confirm one.
func (c *Cluster) noteAckLocked(p *peer) {
	if !c.memberLocked() || p.token < c.epoch.Token {
		return
	}
	if c.fence.acked == nil {
		c.fence.acked = map[string]bool{}
	}
	c.fence.acked[p.node] = true
	c.noteFenceLocked()
}

func (c *Cluster) noteFenceLocked() {
	if !c.memberLocked() || len(c.fenceRecords) > 0 && c.fenceRecords[len(c.fenceRecords)-1].token >= c.epoch.Token {
		return
	}
	now := time.Now()
	if c.fence.majorityAt.IsZero() && 2*(len(c.fence.acked)+1) > len(c.peers)+1 {
		c.fence.majorityAt = now
	}
	if c.fence.allAt.IsZero() && len(c.fence.acked) == len(c.peers) {
		c.fence.allAt = now
	}
	at := c.fence.allAt
	if !c.fence.majorityAt.IsZero() {
		// Clocks of two machines drift apart by up to 0.05%.
		bound := c.fence.majorityAt.Add(c.confirmationTTL + c.confirmationTTL/1000)
		if at.IsZero() || bound.Before(at) {
			at = bound
		}
	}
	if at.IsZero() || now.Before(at) {
		return
	}
	// Proof for this epoch is proof for all older ones; a few are kept so
	// that a machine taken under an older epoch keeps its earlier date.
	c.fenceRecords = append(c.fenceRecords, fenceRecord{token: c.epoch.Token, at: at})
	if len(c.fenceRecords) > 64 {
		c.fenceRecords = c.fenceRecords[1:]
	}
}

// confirmByMajorityLocked confirms the epoch as of the latest time at which a
// majority, this controller included, knew of no newer one. A peer that has
// not read the epoch since it started does not count: it may have forgotten a
// newer one.
func (c *Cluster) confirmByMajorityLocked() {
	if !c.memberLocked() {
		return
	}
	var times []time.Time
	for _, p := range c.peers {
		times = append(times, p.confirmedAt)
	}
	needed := (len(c.peers) + 1) / 2 // besides this controller
	if needed == 0 {
		return
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	c.confirmLocked(times[needed-1])
}

// confirmLocked notes a confirmation, asked for at a time, that the epoch was current.
func (c *Cluster) confirmLocked(at time.Time) {
	if at.After(c.confirmed) {
		c.confirmed = at
	}
}
