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

// Keys that the checker reads from the store by itself, apart from the code under test.
const (
	clusterPrefix    = "cluster/"
	epochKey         = clusterPrefix + "epoch"
	workPrefix       = clusterPrefix + "work/" // by machine: something is placed on it
	reclaimHolderKey = "cluster/duty/holder/reclaim/fleet"
	rentHolderKey    = "cluster/duty/holder/rent/fleet"
	condemnedPrefix  = "cluster/duty/condemned/"
	rentalPrefix     = "cluster/duty/rental/"
)

// CheckCounts counts what a Checker accepted.
type CheckCounts struct {
	Returned, Rented int // machines
	// Late counts the actions that were accepted from a holder already replaced.
	Late int
	// AfterRefusal counts those among them that rented under a request that was refused
	// for capacity before: the cloud allows one more try, and no record can cover it,
	// since it was answered. Its machines are found in the list.
	AfterRefusal int
	// Stale counts those among them that no intent covers that the successor knows, and
	// returns of machines on which somebody has placed something since.
	Stale    int
	Findings []string // what the stale ones were
}

// Checker is a fake machine service: it carries out rentals and returns, and checks each
// one it accepts against the store.
type Checker struct {
	state    *standin.State
	capacity int
	fenced   bool // whether duties are on: else the epoch alone tells who may act

	mu       sync.Mutex
	machines map[string]bool
	answered map[string][]string
	refused  map[string]bool // requests, for capacity
	counts   CheckCounts
}

// NewChecker makes a Checker for a fleet of at most capacity machines; fenced tells
// whether duties are on.
func NewChecker(state *standin.State, capacity int, fenced bool) *Checker {
	return &Checker{state: state, capacity: capacity, fenced: fenced, machines: map[string]bool{}, answered: map[string][]string{}, refused: map[string]bool{}}
}

// Counts returns what was accepted so far.
func (c *Checker) Counts() CheckCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// list lists the machines that there are.
func (c *Checker) list() (machines []wire.Machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(c.machines)) {
		machines = append(machines, wire.Machine{ID: name})
	}
	return machines
}

// rent carries out a rental that a controller has sent.
func (c *Checker) rent(sender string, req wire.RentRequest) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if names, ok := c.answered[req.Request]; ok {
		return names
	}
	var names []string
	for len(names) < req.Count && len(c.machines) < c.capacity {
		c.counts.Rented++
		names = append(names, fmt.Sprintf("host-%06d", c.counts.Rented))
		c.machines[names[len(names)-1]] = true
	}
	if len(names) == 0 {
		c.refused[req.Request] = true
		return nil
	}
	c.answered[req.Request] = names
	if c.replaced(sender, rentHolderKey) {
		c.counts.Late++
		switch {
		case c.firstRevisionNaming(rentalPrefix, req.Request) > 0:
		case c.refused[req.Request]:
			c.counts.AfterRefusal++
		default:
			c.recordStaleLocked("%s, replaced, rented %v without a record", sender, names)
		}
	}
	return names
}

// returnMachines carries out a return that a controller has sent.
func (c *Checker) returnMachines(sender string, machines []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	replaced := c.replaced(sender, reclaimHolderKey)
	for _, name := range machines {
		if !c.machines[name] {
			continue // gone already: nothing is done
		}
		delete(c.machines, name)
		c.counts.Returned++
		if replaced {
			c.counts.Late++
		}
		switch condemned := c.firstRevisionNaming(condemnedPrefix, name); {
		case replaced && condemned == 0:
			c.recordStaleLocked("%s, replaced, returned %s without a record", sender, name)
		case c.state.Version(workPrefix+name) > condemned:
			c.recordStaleLocked("%s returned %s, on which work was placed since", sender, name)
		}
	}
}

func (c *Checker) recordStaleLocked(format string, args ...any) {
	c.counts.Stale++
	c.counts.Findings = append(c.counts.Findings, fmt.Sprintf(format, args...))
}

// replaced tells whether a sender is not the holder by the store.
func (c *Checker) replaced(sender, key string) bool {
	if !c.fenced {
		key = epochKey
	}
	return holderOf(c.state, key) != sender
}

// holderOf is whom a record in the store names: a duty's, or the epoch.
func holderOf(state *standin.State, key string) string {
	var record struct {
		Node   string `json:"node"`
		Leader string `json:"leader"`
	}
	_ = json.Unmarshal(state.Get(key), &record)
	return record.Node + record.Leader
}

// firstRevisionNaming returns the first revision at which a value below a prefix that is still there
// names something, 0 if none does.
func (c *Checker) firstRevisionNaming(below, name string) (revision uint64) {
	for _, item := range c.state.Items(below) {
		if strings.Contains(string(item.Value), `"`+name+`"`) && (revision == 0 || item.Version < revision) {
			revision = item.Version
		}
	}
	return revision
}
