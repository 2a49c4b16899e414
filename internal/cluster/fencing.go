package cluster

import "time"

// maxFenceRecords is the maximum number of fence records that are kept. Older records
// are kept so that FencedSince returns the earlier time for a machine that was
// adopted under an older epoch.
const maxFenceRecords = 64

// clockDrift returns an upper bound of how far the clocks of two machines diverge
// within d. It is 0.1%, twice the expected 0.05%.
func clockDrift(d time.Duration) time.Duration { return d / 1000 }

// fence collects the acknowledgements of the current epoch by peers. Together they
// prove that no controller answers heartbeats under an older epoch.
type fence struct {
	acked      map[string]bool // peers that know this epoch
	majorityAt time.Time       // when a majority, including this controller, was first known to have it
	allAt      time.Time       // when all controllers were first known to have it
}

// fenceRecord states that from the time at onwards, no controller answers heartbeats
// under an epoch older than token.
type fenceRecord struct {
	token uint64
	at    time.Time
}

// FencedSince returns a time from which it is proven that no controller answers
// workers under an epoch older than token; ok is false if there is no proof yet.
// See docs/design.md, "Fencing".
func (c *Cluster) FencedSince(token uint64) (since time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordFenceLocked()
	for _, record := range c.fenceRecords {
		if record.token >= token {
			return record.at, true
		}
	}
	return time.Time{}, false
}

// recordAckLocked records the acknowledgement of a peer that knows the current
// epoch. Such a peer neither answers workers under an older epoch nor confirms an
// older epoch to other controllers.
func (c *Cluster) recordAckLocked(p *peer) {
	if !c.isMemberLocked() || p.token < c.epoch.Token {
		return
	}
	if c.fence.acked == nil {
		c.fence.acked = map[string]bool{}
	}
	c.fence.acked[p.node] = true
	c.recordFenceLocked()
}

// recordFenceLocked adds a fence record for the current epoch once the proof is
// complete. A proof for one epoch also holds for all older epochs.
func (c *Cluster) recordFenceLocked() {
	if !c.isMemberLocked() || c.fenceProvenLocked() {
		return
	}
	now := time.Now()
	c.recordAckTimesLocked(now)
	at := c.fence.provenAt(c.confirmationTTL)
	if at.IsZero() || now.Before(at) {
		return
	}
	c.fenceRecords = append(c.fenceRecords, fenceRecord{token: c.epoch.Token, at: at})
	if len(c.fenceRecords) > maxFenceRecords {
		c.fenceRecords = c.fenceRecords[1:]
	}
}

// fenceProvenLocked reports whether there is a fence record for the current epoch.
func (c *Cluster) fenceProvenLocked() bool {
	return len(c.fenceRecords) > 0 && c.fenceRecords[len(c.fenceRecords)-1].token >= c.epoch.Token
}

// recordAckTimesLocked records the times at which a majority and all of the
// controllers were first known to have the current epoch.
func (c *Cluster) recordAckTimesLocked(now time.Time) {
	if c.fence.majorityAt.IsZero() && 2*(len(c.fence.acked)+1) > len(c.peers)+1 {
		c.fence.majorityAt = now
	}
	if c.fence.allAt.IsZero() && len(c.fence.acked) == len(c.peers) {
		c.fence.allAt = now
	}
}

// provenAt returns the time from which no controller answers heartbeats under an
// older epoch, or the zero time if that is not known yet. It is the earlier of two
// times: when all controllers know the current epoch, and when every confirmation
// of an older epoch has expired. A majority confirms an older epoch only until a
// majority knows the current one, so the last of these confirmations expires one
// confirmation TTL plus clock drift later.
func (f *fence) provenAt(confirmationTTL time.Duration) time.Time {
	if f.majorityAt.IsZero() {
		return f.allAt
	}
	expired := f.majorityAt.Add(confirmationTTL + clockDrift(confirmationTTL))
	if f.allAt.IsZero() || expired.Before(f.allAt) {
		return expired
	}
	return f.allAt
}
