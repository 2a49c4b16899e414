package cluster

import (
	"slices"
	"time"
)

// minConfirmationTTL is the shortest confirmation TTL: a few heartbeat intervals.
const minConfirmationTTL = 2500 * time.Millisecond

// leaseExpirySlack is how long after its lease expiry a worker has surely ended
// its tasks: its clock drifts, and it checks the lease periodically.
func leaseExpirySlack(lease time.Duration) time.Duration { return lease/1000 + 500*time.Millisecond }

// confirmationTTLFor returns how long a controller may answer heartbeats after
// one confirmation that its epoch is current: a quarter of a worker lease, and no
// longer than leaves time for a lease expiry before a cancelled job's tasks must
// be gone. fits is false if the settings leave no such time.
func confirmationTTLFor(lease, cancelTimeout time.Duration) (ttl time.Duration, fits bool) {
	ttl = lease / 4
	room := cancelTimeout - lease - leaseExpirySlack(lease)
	if room < min(ttl, minConfirmationTTL) {
		return min(ttl, minConfirmationTTL), false
	}
	return min(ttl, room), true
}

// CanAnswerHeartbeats reports whether this controller may answer workers'
// heartbeats now: it is a member, and a confirmation that its epoch is current
// was requested within the confirmation TTL. Without that bound, a controller cut
// off from everything but some workers would renew their leases for ever, and
// nobody could ever count them as expired.
func (c *Cluster) CanAnswerHeartbeats() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.canAnswerHeartbeatsLocked()
}

func (c *Cluster) canAnswerHeartbeatsLocked() bool {
	return c.isMemberLocked() && time.Since(c.confirmedAt) < c.confirmationTTL
}

// confirmByMajorityLocked confirms the epoch as of the latest time at which a
// majority, this controller included, knew of no newer one. A peer that has not
// read the epoch since it started does not count: it may have forgotten a newer
// one.
func (c *Cluster) confirmByMajorityLocked() {
	needed := (len(c.peers) + 1) / 2 // peers; with this controller a majority
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

// confirmLocked records a confirmation, requested at a time, that the epoch was
// current.
func (c *Cluster) confirmLocked(at time.Time) {
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

// logConfirmationLocked logs when this controller, a member, begins or ceases to
// answer no worker for want of a confirmation.
func (c *Cluster) logConfirmationLocked() {
	expired := c.isMemberLocked() && !c.confirmedAt.IsZero() && !c.canAnswerHeartbeatsLocked()
	if expired == c.confirmationExpired {
		return
	}
	c.confirmationExpired = expired
	if expired {
		c.opts.Log.Warn("epoch confirmation expired: no worker is answered until the key-value store or a majority confirms the epoch again",
			"token", c.epoch.Token, "since", time.Since(c.confirmedAt), "peers_heard", len(c.livePeersLocked()))
	} else {
		c.opts.Log.Info("epoch confirmed again, or no longer a member", "token", c.epoch.Token)
	}
}
