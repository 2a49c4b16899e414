package cluster

import "time"

// maxFenceRecords bounds the proofs that are kept, so that a machine taken under
// an older epoch keeps its earlier date.
const maxFenceRecords = 64

// clockDrift bounds how far the clocks of two machines drift apart within d: twice
// the 0.05% that is to be expected.
func clockDrift(d time.Duration) time.Duration { return d / 1000 }

// fence collects, for the current epoch, the acknowledgements that show that no
// controller answers heartbeats under an older one.
type fence struct {
	acked      map[string]bool // peers that know this epoch
	majorityAt time.Time       // when a majority knew it, this controller included
	allAt      time.Time       // when all knew it
}

// fenceRecord says that from at on, no controller answers heartbeats under an
// epoch older than token.
type fenceRecord struct {
	token uint64
	at    time.Time
}

// FencedSince returns since when surely no controller has answered a worker under
// an epoch older than token, if that is proven. See docs/design.md, "Fencing".
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

// recordAckLocked counts a peer that knows the current epoch: it will neither
// answer workers under an older one nor confirm one.
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

// recordFenceLocked records the proof for the current epoch once it is complete.
// Proof for one epoch is proof for all older ones.
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

// fenceProvenLocked reports whether the proof for the current epoch is recorded.
func (c *Cluster) fenceProvenLocked() bool {
	return len(c.fenceRecords) > 0 && c.fenceRecords[len(c.fenceRecords)-1].token >= c.epoch.Token
}

// recordAckTimesLocked notes when a majority and when all were first seen to know the
// epoch.
func (c *Cluster) recordAckTimesLocked(now time.Time) {
	if c.fence.majorityAt.IsZero() && 2*(len(c.fence.acked)+1) > len(c.peers)+1 {
		c.fence.majorityAt = now
	}
	if c.fence.allAt.IsZero() && len(c.fence.acked) == len(c.peers) {
		c.fence.allAt = now
	}
}

// provenAt returns from when on no controller answers heartbeats under an older
// epoch: once all know this one, or once the last confirmation has expired that a
// majority can have given before it knew this one. Zero: not known yet.
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
