// Package handover rehearses handovers of single duties: small controllers that hold
// them are frozen, ended and resumed at chosen points of their actions, and a stand-in
// machine service judges every action that it accepts. It runs in one process under a
// fake clock, or with real processes over loopback (cmd/handovers).
package handover

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

// The judge reads the store by itself, apart from the code that it judges.
const (
	prefix          = "cluster/"
	epochKey        = prefix + "epoch"
	workPrefix      = prefix + "work/" // by machine: something is placed on it
	holderOfReturns = "cluster/duty/holder/reclaim/fleet"
	holderOfRentals = "cluster/duty/holder/rent/fleet"
	condemnedKeys   = "cluster/duty/condemned/"
	rentalKeys      = "cluster/duty/rental/"
)

// Verdict counts what a Judge accepted.
type Verdict struct {
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

// Judge stands in for a service that rents machines, and judges what it accepts.
type Judge struct {
	state    *standin.State
	capacity int
	fenced   bool // whether duties are on: else the epoch alone tells who may act

	mu       sync.Mutex
	machines map[string]bool
	answered map[string][]string
	refused  map[string]bool // requests, for capacity
	verdict  Verdict
}

// NewJudge makes a Judge for a fleet of so many machines at most.
func NewJudge(state *standin.State, capacity int, fenced bool) *Judge {
	return &Judge{state: state, capacity: capacity, fenced: fenced, machines: map[string]bool{}, answered: map[string][]string{}, refused: map[string]bool{}}
}

// Verdict returns what was accepted so far.
func (j *Judge) Verdict() Verdict {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.verdict
}

// list lists the machines that there are.
func (j *Judge) list() (machines []wire.Machine) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(j.machines)) {
		machines = append(machines, wire.Machine{ID: name})
	}
	return machines
}

// rent carries out a rental that a controller has sent.
func (j *Judge) rent(sender string, req wire.RentRequest) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	if names, ok := j.answered[req.Request]; ok {
		return names
	}
	var names []string
	for len(names) < req.Count && len(j.machines) < j.capacity {
		j.verdict.Rented++
		names = append(names, fmt.Sprintf("host-%06d", j.verdict.Rented))
		j.machines[names[len(names)-1]] = true
	}
	if len(names) == 0 {
		j.refused[req.Request] = true
		return nil
	}
	j.answered[req.Request] = names
	if j.replaced(sender, holderOfRentals) {
		j.verdict.Late++
		switch {
		case j.named(rentalKeys, req.Request) > 0:
		case j.refused[req.Request]:
			j.verdict.AfterRefusal++
		default:
			j.staleLocked("%s, replaced, rented %v without a record", sender, names)
		}
	}
	return names
}

// giveBack carries out a return that a controller has sent.
func (j *Judge) giveBack(sender string, machines []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	replaced := j.replaced(sender, holderOfReturns)
	for _, name := range machines {
		if !j.machines[name] {
			continue // gone already: nothing is done
		}
		delete(j.machines, name)
		j.verdict.Returned++
		if replaced {
			j.verdict.Late++
		}
		switch condemned := j.named(condemnedKeys, name); {
		case replaced && condemned == 0:
			j.staleLocked("%s, replaced, returned %s without a record", sender, name)
		case j.state.Version(workPrefix+name) > condemned:
			j.staleLocked("%s returned %s, on which work was placed since", sender, name)
		}
	}
}

func (j *Judge) staleLocked(format string, args ...any) {
	j.verdict.Stale++
	j.verdict.Findings = append(j.verdict.Findings, fmt.Sprintf(format, args...))
}

// replaced tells whether a sender is not the holder by the store.
func (j *Judge) replaced(sender, key string) bool {
	if !j.fenced {
		key = epochKey
	}
	return holderIn(j.state, key) != sender
}

// holderIn is whom a record in the store names: a duty's, or the epoch.
func holderIn(state *standin.State, key string) string {
	var record struct {
		Node   string `json:"node"`
		Leader string `json:"leader"`
	}
	_ = json.Unmarshal(state.Get(key), &record)
	return record.Node + record.Leader
}

// named returns the first revision at which a value below a prefix that is still there
// names something, 0 if none does.
func (j *Judge) named(below, name string) (revision uint64) {
	for _, item := range j.state.Items(below) {
		if strings.Contains(string(item.Value), `"`+name+`"`) && (revision == 0 || item.Version < revision) {
			revision = item.Version
		}
	}
	return revision
}
