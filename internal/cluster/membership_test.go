package cluster

import (
	"testing"
	"time"
)

// A controller that sent heartbeats but does not know the current epoch may have
// failed before the epoch began, so it must not become a member.
func TestOnlyPeersWithCurrentEpochJoin(t *testing.T) {
	withLeader(t, func(t *testing.T, c *leader) {
		c.b.setStatus(0, true)
		time.Sleep(3 * time.Second)
		if epoch := c.View().Epoch; len(epoch.Members) != 1 {
			t.Errorf("a peer that does not know the epoch is a member: %v", epoch.Members)
		}
		c.b.setStatus(1, true)
		time.Sleep(3 * time.Second)
		if epoch := c.View().Epoch; len(epoch.Members) != 2 {
			t.Errorf("a peer that knows the epoch does not join: %v", epoch.Members)
		}
	})
}
