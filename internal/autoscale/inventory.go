package autoscale

import (
	"time"

	"heronwick/internal/placement"
)

// Inventory knows the machines that were rented and whose workers have sent no
// heartbeat yet, those that were released, and what the cloud has lately
// refused. It does no I/O and is not safe for concurrent use.
type Inventory struct {
	booting  map[string]*bootingMachine
	refused  map[placement.Pool]refusal
	released map[string]time.Time // when each machine was released
}

// bootingMachine is a machine that was rented and whose worker has sent no heartbeat yet.
type bootingMachine struct {
	place     placement.Pool
	rentedAt  time.Time
	firstSeen time.Time // when this inventory first knew of it
}

// refusal remembers that the cloud had no such machine.
type refusal struct {
	until   time.Time // no request goes out before then
	backoff time.Duration
}

const (
	// firstBackoff is how long no request for a place goes out after its first
	// refusal; each further refusal doubles it.
	firstBackoff = 5 * time.Second
	// maxBackoff bounds that.
	maxBackoff = 40 * time.Second
	// releasedMemory is how long a released machine is remembered: copies of
	// its heartbeats may come, and the cloud's list lags.
	releasedMemory = 10 * time.Minute
)

// NewInventory returns an empty Inventory.
func NewInventory() *Inventory {
	return &Inventory{
		booting:  map[string]*bootingMachine{},
		refused:  map[placement.Pool]refusal{},
		released: map[string]time.Time{},
	}
}

// AddBooting adds a booting machine; one that is known already stays as it is.
func (inv *Inventory) AddBooting(name string, place placement.Pool, rentedAt, now time.Time) {
	if inv.booting[name] == nil {
		inv.booting[name] = &bootingMachine{place: place, rentedAt: rentedAt, firstSeen: now}
	}
}

// MarkJoined removes a machine from the booting ones: its worker sends heartbeats,
// here or to another controller.
func (inv *Inventory) MarkJoined(name string) { delete(inv.booting, name) }

// Booting returns the names of the booting machines, in no order.
func (inv *Inventory) Booting() []string {
	names := make([]string, 0, len(inv.booting))
	for name := range inv.booting {
		names = append(names, name)
	}
	return names
}

// Overdue returns the booting machines that are older than the limit of their
// place. They may be up already, and only their workers have not come to a new
// leader yet, so each must also have been known here for longer than patience.
func (inv *Inventory) Overdue(now time.Time, limit func(place placement.Pool) time.Duration, patience time.Duration) (names []string) {
	for name, m := range inv.booting {
		if now.Sub(m.rentedAt) > limit(m.place) && now.Sub(m.firstSeen) > patience {
			names = append(names, name)
		}
	}
	return names
}

// RecordRentResult notes whether the cloud filled a request for a place. Requests
// that are not filled back off exponentially.
func (inv *Inventory) RecordRentResult(place placement.Pool, filled bool, now time.Time) {
	if filled {
		delete(inv.refused, place)
		return
	}
	r := inv.refused[place]
	r.backoff = min(max(2*r.backoff, firstBackoff), maxBackoff)
	r.until = now.Add(r.backoff)
	inv.refused[place] = r
}

// InBackoff reports whether a place is backing off after a refusal.
func (inv *Inventory) InBackoff(place placement.Pool, now time.Time) bool {
	return now.Before(inv.refused[place].until)
}

// MarkReleased notes that a machine was released to the cloud.
func (inv *Inventory) MarkReleased(name string, now time.Time) {
	inv.released[name] = now
	delete(inv.booting, name)
}

// IsReleased reports whether a machine is known to be released.
func (inv *Inventory) IsReleased(name string) bool { return !inv.released[name].IsZero() }

// PruneReleased forgets machines that were released long ago.
func (inv *Inventory) PruneReleased(now time.Time) {
	for name, at := range inv.released {
		if now.Sub(at) > releasedMemory {
			delete(inv.released, name)
		}
	}
}
