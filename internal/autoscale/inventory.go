package autoscale

import (
	"time"

	"heronwick/internal/placement"
)

// Inventory keeps track of the booting machines, of the machines that were released to
// the cloud, and of the pools for which the cloud has recently refused rent requests. It
// does no I/O and is not safe for concurrent use.
type Inventory struct {
	booting  map[string]*bootingMachine // by name
	refused  map[placement.Pool]refusal
	released map[string]time.Time // time of release by machine name
}

// bootingMachine is a machine that was rented but whose worker has sent no heartbeat yet.
type bootingMachine struct {
	pool      placement.Pool
	rentedAt  time.Time
	firstSeen time.Time // when it was added to this inventory
}

// refusal is the backoff state of a pool after the cloud has not filled a rent request.
type refusal struct {
	until   time.Time // no rent request is sent before this time
	backoff time.Duration
}

const (
	// initialBackoff is how long no rent request for a pool is sent after the first
	// refusal. Each further refusal doubles the backoff, up to maxBackoff.
	initialBackoff = 5 * time.Second
	maxBackoff     = 40 * time.Second
	// releasedRetention is how long the inventory keeps the name of a released machine:
	// delayed copies of its heartbeats may still arrive, and the cloud's list of machines
	// lags.
	releasedRetention = 10 * time.Minute
)

// NewInventory returns an empty Inventory.
func NewInventory() *Inventory {
	return &Inventory{
		booting:  map[string]*bootingMachine{},
		refused:  map[placement.Pool]refusal{},
		released: map[string]time.Time{},
	}
}

// AddBooting adds a booting machine. It has no effect if the machine was already added.
func (inv *Inventory) AddBooting(name string, pool placement.Pool, rentedAt, now time.Time) {
	if inv.booting[name] == nil {
		inv.booting[name] = &bootingMachine{pool: pool, rentedAt: rentedAt, firstSeen: now}
	}
}

// MarkJoined removes a machine from the booting machines, because its worker sends
// heartbeats to this or to another controller.
func (inv *Inventory) MarkJoined(name string) { delete(inv.booting, name) }

// Booting returns the names of the booting machines, in no particular order.
func (inv *Inventory) Booting() []string {
	names := make([]string, 0, len(inv.booting))
	for name := range inv.booting {
		names = append(names, name)
	}
	return names
}

// Overdue returns the names of the machines that have been booting for longer than the
// timeout of their pool. After a change of leader, a machine may already be up while its
// worker has not sent a heartbeat to the new leader yet. So Overdue omits machines that
// were added to this inventory less than gracePeriod ago.
func (inv *Inventory) Overdue(now time.Time, timeout func(pool placement.Pool) time.Duration, gracePeriod time.Duration) (names []string) {
	for name, m := range inv.booting {
		if now.Sub(m.rentedAt) > timeout(m.pool) && now.Sub(m.firstSeen) > gracePeriod {
			names = append(names, name)
		}
	}
	return names
}

// RecordRentResult records whether the cloud filled a rent request for a pool. Each
// request that is not filled doubles the backoff of the pool; a filled request ends it.
func (inv *Inventory) RecordRentResult(pool placement.Pool, filled bool, now time.Time) {
	if filled {
		delete(inv.refused, pool)
		return
	}
	r := inv.refused[pool]
	r.backoff = min(max(2*r.backoff, initialBackoff), maxBackoff)
	r.until = now.Add(r.backoff)
	inv.refused[pool] = r
}

// InBackoff reports whether no rent request for the pool may be sent now, because the
// cloud has refused an earlier one.
func (inv *Inventory) InBackoff(pool placement.Pool, now time.Time) bool {
	return now.Before(inv.refused[pool].until)
}

// MarkReleased records that a machine was released to the cloud.
func (inv *Inventory) MarkReleased(name string, now time.Time) {
	inv.released[name] = now
	delete(inv.booting, name)
}

// IsReleased reports whether a machine was released to the cloud. It returns false again
// once PruneReleased has removed the machine.
func (inv *Inventory) IsReleased(name string) bool { return !inv.released[name].IsZero() }

// PruneReleased removes the machines that were released more than releasedRetention ago.
func (inv *Inventory) PruneReleased(now time.Time) {
	for name, at := range inv.released {
		if now.Sub(at) > releasedRetention {
			delete(inv.released, name)
		}
	}
}
