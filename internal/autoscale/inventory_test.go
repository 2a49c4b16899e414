package autoscale

import (
	"slices"
	"testing"
	"time"

	"heronwick/internal/placement"
)

// The backoff of a pool doubles with each refusal of a rent request, up to a maximum, and
// ends once a request is filled. It does not affect other pools.
func TestRefusalsBackOff(t *testing.T) {
	inv, now, pool := NewInventory(), time.Now(), placement.Pool{Type: "m", Zone: "z"}
	for _, want := range []time.Duration{5, 10, 20, 40, 40} {
		inv.RecordRentResult(pool, false, now)
		if want *= time.Second; !inv.InBackoff(pool, now.Add(want-1)) || inv.InBackoff(pool, now.Add(want)) {
			t.Errorf("want a backoff of %v, got %+v", want, inv.refused[pool])
		}
	}
	if inv.InBackoff(placement.Pool{Type: "m", Zone: "y"}, now) {
		t.Error("other pool: got it in backoff, want it not")
	}
	inv.RecordRentResult(pool, true, now)
	if inv.InBackoff(pool, now) {
		t.Error("after a filled request: got the pool in backoff, want it not")
	}
	inv.RecordRentResult(pool, false, now)
	if inv.InBackoff(pool, now.Add(6*time.Second)) {
		t.Error("refusal after a filled request: got a longer backoff, want the initial one")
	}
}

// A booting machine is overdue after the boot timeout of its pool, but not before it has
// been in the inventory for the grace period. A released machine stays known for
// releasedRetention.
func TestOverdueAndReleasedMachines(t *testing.T) {
	inv, now := NewInventory(), time.Now()
	inv.AddBooting("old", placement.Pool{Type: "slow"}, now.Add(-time.Minute), now)
	inv.AddBooting("old", placement.Pool{Type: "slow"}, now, now.Add(time.Hour)) // no effect: the machine was already added
	inv.AddBooting("new", placement.Pool{Type: "slow"}, now, now)
	overdue := func(after time.Duration) []string {
		return inv.Overdue(now.Add(after), func(placement.Pool) time.Duration { return 30 * time.Second }, 10*time.Second)
	}
	if names := overdue(5 * time.Second); len(names) > 0 {
		t.Errorf("within the grace period: got overdue machines %v, want none", names)
	}
	if names := overdue(11 * time.Second); !slices.Equal(names, []string{"old"}) {
		t.Errorf("after the grace period: got overdue machines %v, want only old", names)
	}
	inv.MarkReleased("old", now)
	if names := overdue(time.Minute); !slices.Equal(names, []string{"new"}) || !inv.IsReleased("old") {
		t.Errorf("after the release of old: got overdue machines %v, want only new, and old to be released", names)
	}
	if inv.PruneReleased(now.Add(releasedRetention)); !inv.IsReleased("old") {
		t.Error("after exactly releasedRetention: got the released machine removed, want it kept")
	}
	if inv.PruneReleased(now.Add(releasedRetention + 1)); inv.IsReleased("old") {
		t.Error("after more than releasedRetention: got the released machine kept, want it removed")
	}
}
