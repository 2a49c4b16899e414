package duty

import (
	"cmp"
	"slices"
	"strings"

	"heronwick/internal/state"
	"heronwick/wire"
)

// openReturn is an open intent to return machines.
type openReturn struct {
	returnRecord
	key     string
	version uint64
}

// OpenRental is an open intent to rent.
type OpenRental struct {
	Requests []wire.RentRequest
	token    uint64
	key      string // "" if it was not recorded because duties are off
	version  uint64
}

// HasReturnIntent reports whether an open intent of any controller returns a machine, so
// that no controller may place tasks on it.
func (c *RecordCache) HasReturnIntent(machine string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machines[machine] != ""
}

// AbandonedReturns returns the machines, sorted, of open intents to return that only the
// leader completes: the node that recorded the intent is no longer a member according to
// isCurrent, or the intent was recorded by an earlier holder of a duty for the fleet.
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
// the fleet. Intents of a shard's duty are never superseded, because the shard's node
// completes them whatever their token is.
func (c *RecordCache) supersededLocked(intent *returnRecord) bool {
	id, err := ParseID(intent.Duty)
	return err == nil && id.Scope == Fleet && c.holders[id].token != intent.Token
}

// OpenIntents are the numbers of open intents.
type OpenIntents struct {
	Returns int // intents to return machines
	Rentals int // intents to rent machines
}

// OpenIntents counts the open intents of all controllers.
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

// openReturns returns the open intents to return, sorted by key.
func (c *RecordCache) openReturns() []openReturn {
	return sortedIntents(c, func(a, b openReturn) int { return strings.Compare(a.key, b.key) },
		func(key string, e entry) (openReturn, bool) {
			if e.returnIntent == nil {
				return openReturn{}, false
			}
			return openReturn{returnRecord: *e.returnIntent, key: key, version: e.version}, true
		})
}

// openRentals returns the open intents to rent, oldest first.
func (c *RecordCache) openRentals() []OpenRental {
	return sortedIntents(c, func(a, b OpenRental) int { return cmp.Compare(a.version, b.version) }, newOpenRental)
}

// sortedIntents converts the entries of the cache and returns the results in the order of
// compare. It omits entries for which convert returns false.
func sortedIntents[T any](c *RecordCache, compare func(a, b T) int, convert func(key string, e entry) (T, bool)) []T {
	c.mu.Lock()
	defer c.mu.Unlock()
	var open []T
	for key, e := range c.entries {
		if intent, ok := convert(key, e); ok {
			open = append(open, intent)
		}
	}
	slices.SortFunc(open, compare)
	return open
}

// newOpenRental returns the intent to rent in an entry, or false if the entry holds none.
func newOpenRental(key string, e entry) (OpenRental, bool) {
	if e.rentalIntent == nil {
		return OpenRental{}, false
	}
	return OpenRental{Requests: e.rentalIntent.Requests, token: e.rentalIntent.Token, key: key, version: e.version}, true
}

// openRental returns the open intent to rent at a key, or false if there is none.
func (c *RecordCache) openRental(key string) (OpenRental, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return newOpenRental(key, c.entries[key])
}

// hasRentalIntent reports whether an open intent to rent includes a request ID.
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
