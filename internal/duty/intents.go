package duty

import (
	"cmp"
	"slices"
	"strings"

	"heronwick/internal/state"
	"heronwick/wire"
)

// openReturn is an intent to return machines that is not closed.
type openReturn struct {
	returnRecord
	key     string
	version uint64
}

// OpenRental is an intent to rent that is not closed.
type OpenRental struct {
	Requests []wire.RentRequest
	token    uint64
	key      string // "": it was not recorded, since duties are off
	version  uint64
}

// HasReturnIntent reports whether an open intent returns a machine: no controller may place on it.
func (c *RecordCache) HasReturnIntent(machine string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machines[machine] != ""
}

// AbandonedReturns returns, sorted, the machines of open intents to return that only the leader
// completes: their node is no longer a member, as current tells of a membership, or they
// were recorded by an earlier holder of a duty for the fleet.
func (c *RecordCache) AbandonedReturns(isCurrent func(node string, since uint64) bool) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var machines []string
	for machine, key := range c.machines {
		owner, ok := state.OwnerOfKey(returnPrefix, key)
		if !ok || !isCurrent(owner.Node, owner.Since) || c.supersededLocked(c.entries[key].returnIntent) {
			machines = append(machines, machine)
		}
	}
	slices.Sort(machines)
	return machines
}

// supersededLocked reports whether an intent was recorded by an earlier holder of a duty for
// the fleet. A shard completes its own intents, whatever their token.
func (c *RecordCache) supersededLocked(intent *returnRecord) bool {
	id, err := ParseID(intent.Duty)
	return err == nil && id.Scope == Fleet && c.holders[id].token != intent.Token
}

// OpenIntents counts intents that are not closed.
type OpenIntents struct {
	Returns int // of machines
	Rentals int
}

// OpenIntents counts the intents of all controllers that are not closed.
func (c *RecordCache) OpenIntents() OpenIntents {
	c.mu.Lock()
	defer c.mu.Unlock()
	var open OpenIntents
	for _, e := range c.entries {
		if e.returnIntent != nil {
			open.Returns++
		}
		if e.rentalIntent != nil {
			open.Rentals++
		}
	}
	return open
}

// openReturns returns the open intents to return, by key.
func (c *RecordCache) openReturns() []openReturn {
	return sortedIntents(c, func(a, b openReturn) int { return strings.Compare(a.key, b.key) },
		func(key string, e entry) (openReturn, bool) {
			if e.returnIntent == nil {
				return openReturn{}, false
			}
			return openReturn{returnRecord: *e.returnIntent, key: key, version: e.version}, true
		})
}

// openRentals returns the open intents to rent, the oldest first.
func (c *RecordCache) openRentals() []OpenRental {
	return sortedIntents(c, func(a, b OpenRental) int { return cmp.Compare(a.version, b.version) }, newOpenRental)
}

// sortedIntents returns, in the order of compare, what convert makes of the ledger's
// entries; it leaves out those for which convert returns false.
func sortedIntents[T any](l *RecordCache, compare func(a, b T) int, convert func(key string, e entry) (T, bool)) []T {
	l.mu.Lock()
	defer l.mu.Unlock()
	var open []T
	for key, e := range l.entries {
		if intent, ok := convert(key, e); ok {
			open = append(open, intent)
		}
	}
	slices.SortFunc(open, compare)
	return open
}

// newOpenRental returns the intent to rent that an entry holds, if it holds one.
func newOpenRental(key string, e entry) (OpenRental, bool) {
	if e.rentalIntent == nil {
		return OpenRental{}, false
	}
	return OpenRental{Requests: e.rentalIntent.Requests, token: e.rentalIntent.Token, key: key, version: e.version}, true
}

// openRental returns the open intent to rent at a key, if there is one.
func (c *RecordCache) openRental(key string) (OpenRental, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return newOpenRental(key, c.entries[key])
}

// hasRentalIntent reports whether a request is part of an open intent to rent.
func (c *RecordCache) hasRentalIntent(request string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.entries {
		if e.rentalIntent != nil && slices.ContainsFunc(e.rentalIntent.Requests, func(r wire.RentRequest) bool { return r.RequestID == request }) {
			return true
		}
	}
	return false
}
