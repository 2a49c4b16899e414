package cluster

import (
	"testing"
	"time"
)

// The confirmation TTL of the others counts only from when a majority knows the new
// epoch.
func TestFencedSinceMajorityAfterConfirmationTTL(t *testing.T) {
	withLeader(t, func(t *testing.T, c *leader) {
		time.Sleep(time.Minute)
		if _, ok := c.FencedSince(1); ok {
			t.Error("fenced without any acknowledgement")
		}
		c.b.setStatus(0, false)
		time.Sleep(time.Minute)
		if _, ok := c.FencedSince(1); ok {
			t.Error("fenced by a peer that has not read the epoch")
		}
		c.b.setStatus(1, false)
		time.Sleep(2 * time.Second)
		if _, ok := c.FencedSince(1); ok {
			t.Error("fenced before the confirmation of the third has expired")
		}
		time.Sleep(5 * time.Second)
		if _, ok := c.FencedSince(1); !ok {
			t.Error("not fenced by a majority and the confirmation TTL")
		}
		if _, ok := c.FencedSince(2); ok {
			t.Error("fenced for an epoch that has not begun")
		}
	})
}

// Once all others know the epoch, no confirmation TTL is waited for.
func TestFencedSinceAllPeersAcknowledge(t *testing.T) {
	withLeader(t, func(t *testing.T, c *leader) {
		c.b.setStatus(1, false)
		c.d.setStatus(1, false)
		time.Sleep(1500 * time.Millisecond)
		if _, ok := c.FencedSince(1); !ok {
			t.Error("not fenced though all know the epoch")
		}
	})
}
