package cluster

import (
	"slices"
	"time"
)

// minConfirmationTTL is the shortest useful confirmation TTL: a few heartbeat
// intervals.
const minConfirmationTTL = 2500 * time.Millisecond

// leaseExpirySlack returns the time after the expiry of its lease within which a
// worker has stopped its tasks. It allows for the drift of the worker's clock and
// for the interval at which the worker checks its lease.
func leaseExpirySlack(lease time.Duration) time.Duration { return lease/1000 + 500*time.Millisecond }

// confirmationTTLFor returns how long a controller may answer heartbeats after a
// confirmation that its epoch is current. This is a quarter of a worker lease, or
// less if necessary: once the confirmation has expired, the workers' leases must
// still expire within cancelTimeout, when the tasks of a cancelled job must have
// stopped. fits is false if even the shortest useful TTL is too long for that.
func confirmationTTLFor(lease, cancelTimeout time.Duration) (ttl time.Duration, fits bool) {
	ttl = lease / 4
	available := cancelTimeout - lease - leaseExpirySlack(lease)
	if available < min(ttl, minConfirmationTTL) {
		return min(ttl, minConfirmationTTL), false
	}
	return min(ttl, available), true
}

// CanAnswerHeartbeats reports whether this controller may answer workers'
// heartbeats now: it is a member, and it requested the last confirmation of its
// epoch less than the confirmation TTL ago. Without this limit, a controller that
// is partitioned from everything except some workers would renew their leases
// indefinitely, and no other controller could treat these leases as expired.
func (c *Cluster) CanAnswerHeartbeats() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.canAnswerHeartbeatsLocked()
}

func (c *Cluster) canAnswerHeartbeatsLocked() bool {
	return c.isMemberLocked() && time.Since(c.confirmedAt) < c.confirmationTTL
}

// confirmByMajorityLocked confirms the epoch as of the latest time at which a
// majority of the controllers, including this one, knew no newer epoch. A peer that
// has not read the epoch since it started does not count: it may have known a newer
// epoch before its restart.
func (c *Cluster) confirmByMajorityLocked() {
	needed := (len(c.peers) + 1) / 2 // peers that form a majority together with this controller
	if !c.isMemberLocked() || needed == 0 {
		return
	}
	var times []time.Time
	for _, p := range c.peers {
		times = append(times, p.confirmedAt)
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	c.confirmLocked(times[needed-1])
}

// confirmLocked records that the epoch was current at the given time, which is when
// the confirmation was requested.
func (c *Cluster) confirmLocked(at time.Time) {
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

// logConfirmationLocked logs when this controller, as a member, stops answering
// workers because its confirmation has expired, and when it resumes.
func (c *Cluster) logConfirmationLocked() {
	expired := c.isMemberLocked() && !c.confirmedAt.IsZero() && !c.canAnswerHeartbeatsLocked()
	if expired == c.confirmationExpired {
		return
	}
	c.confirmationExpired = expired
	if expired {
		c.opts.Log.Warn("epoch confirmation expired: worker heartbeats are not answered until the key-value store or a majority of controllers confirms the epoch again",
			"token", c.epoch.Token, "age", time.Since(c.confirmedAt), "live_peers", len(c.livePeersLocked()))
	} else {
		c.opts.Log.Info("epoch confirmed again, or no longer a member", "token", c.epoch.Token)
	}
}
