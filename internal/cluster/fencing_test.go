package cluster

import (
	"testing"
	"time"
)

// The wait for the confirmation TTL of the other controllers starts only when a
// majority knows the new epoch.
func TestFencedSinceMajorityAfterConfirmationTTL(t *testing.T) {
	withLeader(t, func(t *testing.T, c *leader) {
		time.Sleep(time.Minute)
		if _, ok := c.FencedSince(1); ok {
			t.Error("fenced without any acknowledgement")
		}
		c.b.setStatus(0, false)
		time.Sleep(time.Minute)
		if _, ok := c.FencedSince(1); ok {
			t.Error("fenced after the response of a peer that has not read the epoch")
		}
		c.b.setStatus(1, false)
		time.Sleep(2 * time.Second)
		if _, ok := c.FencedSince(1); ok {
			t.Error("fenced before the confirmation of the third controller has expired")
		}
		time.Sleep(5 * time.Second)
		if _, ok := c.FencedSince(1); !ok {
			t.Error("not fenced although a majority acknowledged the epoch and the confirmation TTL has passed")
		}
		if _, ok := c.FencedSince(2); ok {
			t.Error("fenced for an epoch that does not exist yet")
		}
	})
}

// Once all peers know the epoch, there is no wait for the confirmation TTL.
func TestFencedSinceAllPeersAcknowledge(t *testing.T) {
	withLeader(t, func(t *testing.T, c *leader) {
		c.b.setStatus(1, false)
		c.d.setStatus(1, false)
		time.Sleep(1500 * time.Millisecond)
		if _, ok := c.FencedSince(1); !ok {
			t.Error("not fenced although all peers know the epoch")
		}
	})
}
