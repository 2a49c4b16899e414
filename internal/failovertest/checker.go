package failovertest

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"heronwick/internal/standin"
	"heronwick/wire"
)

// Keys in the store. The checker declares them itself, so that it does not depend on the code
// under test.
const (
	clusterPrefix    = "cluster/"
	epochKey         = clusterPrefix + "epoch"
	workPrefix       = clusterPrefix + "work/" // followed by a machine name; the key exists while work is placed on the machine
	reclaimHolderKey = "cluster/duty/holder/reclaim/fleet"
	rentHolderKey    = "cluster/duty/holder/rent/fleet"
	returnPrefix     = "cluster/duty/condemned/"
	rentalPrefix     = "cluster/duty/rental/"
)

// CheckCounts counts the actions that a Checker accepted.
type CheckCounts struct {
	Returned, Rented int // machines
	// Late counts the accepted actions of controllers that were no longer the holder.
	Late int
	// AfterRefusal counts the late rentals whose request was refused for lack of capacity
	// before. The cloud allows such a request to be repeated, and its intent may be closed
	// already, because the refusal was a response to the request. The successor finds the
	// machines in the cloud's list.
	AfterRefusal int
	// Stale counts the other late actions without an intent in the store, and the returns of
	// machines on which work was placed after the intent.
	Stale    int
	Findings []string // a description of each stale action
}

// add adds the counts of another Checker.
func (c *CheckCounts) add(other CheckCounts) {
	c.Returned += other.Returned
	c.Rented += other.Rented
	c.Late += other.Late
	c.AfterRefusal += other.AfterRefusal
	c.Stale += other.Stale
	c.Findings = append(c.Findings, other.Findings...)
}

// Checker is a fake machine service. It carries out rentals and returns, and checks each of
// them against the store. It is safe for concurrent use.
type Checker struct {
	state    *standin.State
	capacity int
	fenced   bool // duties are on; otherwise only the epoch's leader may act

	mu              sync.Mutex
	machines        map[string]bool
	rentedByRequest map[string][]string // machine names by request ID
	refusedRequests map[string]bool     // IDs of requests that were refused for lack of capacity
	counts          CheckCounts
}

// NewChecker returns a Checker for a fleet of at most capacity machines; fenced means that
// duties are on.
func NewChecker(state *standin.State, capacity int, fenced bool) *Checker {
	return &Checker{
		state: state, capacity: capacity, fenced: fenced,
		machines: map[string]bool{}, rentedByRequest: map[string][]string{}, refusedRequests: map[string]bool{},
	}
}

// Counts returns the counts so far.
func (c *Checker) Counts() CheckCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// list returns the rented machines, sorted by name.
func (c *Checker) list() (machines []wire.Machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(c.machines)) {
		machines = append(machines, wire.Machine{ID: name})
	}
	return machines
}

// rent carries out a rental that a controller requests, and returns the names of the machines,
// or none if there is no capacity.
func (c *Checker) rent(sender string, req wire.RentRequest) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if names, ok := c.rentedByRequest[req.RequestID]; ok {
		return names
	}
	names := c.addMachinesLocked(req.Count)
	if len(names) == 0 {
		c.refusedRequests[req.RequestID] = true
		return nil
	}
	c.rentedByRequest[req.RequestID] = names
	if c.wasReplaced(sender, rentHolderKey) {
		c.counts.Late++
		switch {
		case c.firstVersionContaining(rentalPrefix, req.RequestID) > 0:
		case c.refusedRequests[req.RequestID]:
			c.counts.AfterRefusal++
		default:
			c.recordStaleLocked("%s rented %v without an intent after it was replaced", sender, names)
		}
	}
	return names
}

// addMachinesLocked adds up to count machines within the capacity.
func (c *Checker) addMachinesLocked(count int) (names []string) {
	for len(names) < count && len(c.machines) < c.capacity {
		c.counts.Rented++
		name := fmt.Sprintf("host-%06d", c.counts.Rented)
		c.machines[name] = true
		names = append(names, name)
	}
	return names
}

// returnMachines carries out a return that a controller requests.
func (c *Checker) returnMachines(sender string, machines []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasReplaced := c.wasReplaced(sender, reclaimHolderKey)
	for _, name := range machines {
		if !c.machines[name] {
			continue // already returned
		}
		delete(c.machines, name)
		c.counts.Returned++
		if wasReplaced {
			c.counts.Late++
		}
		switch recorded := c.firstVersionContaining(returnPrefix, name); {
		case wasReplaced && recorded == 0:
			c.recordStaleLocked("%s returned %s without an intent after it was replaced", sender, name)
		case c.state.Version(workPrefix+name) > recorded:
			c.recordStaleLocked("%s returned %s after work was placed on it", sender, name)
		}
	}
}

func (c *Checker) recordStaleLocked(format string, args ...any) {
	c.counts.Stale++
	c.counts.Findings = append(c.counts.Findings, fmt.Sprintf(format, args...))
}

// wasReplaced reports whether a holder record in the store names a controller other than the
// sender. With duties off, the record is the epoch.
func (c *Checker) wasReplaced(sender, holderKey string) bool {
	if !c.fenced {
		holderKey = epochKey
	}
	return holderOf(c.state, holderKey) != sender
}

// holderOf returns the node that a record in the store names: the holder of a duty or the
// leader of the epoch.
func holderOf(state *standin.State, key string) string {
	var record struct {
		Node   string `json:"node"`
		Leader string `json:"leader"`
	}
	_ = json.Unmarshal(state.Get(key), &record)
	return record.Node + record.Leader
}

// firstVersionContaining returns the lowest version among the keys with a prefix whose values
// contain a name, or 0 if there is none.
func (c *Checker) firstVersionContaining(prefix, name string) (lowest uint64) {
	for _, item := range c.state.Items(prefix) {
		if strings.Contains(string(item.Value), `"`+name+`"`) && (lowest == 0 || item.Version < lowest) {
			lowest = item.Version
		}
	}
	return lowest
}
