// Package handover rehearses handovers of single duties: small controllers that hold
// them are frozen, ended and resumed at chosen points of their actions, and a stand-in
// machine service judges every action that it accepts. It runs in one process under a
// fake clock, or with real processes over loopback (cmd/handovers).
package handover

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"

	"heronwick/internal/standin"
	"heronwick/wire"
)

// Keys that the rehearsal adds to those of the duties.
const (
	prefix     = "cluster/"
	epochKey   = prefix + "epoch"
	workPrefix = prefix + "work/" // by machine: something is placed on it
)

// The judge reads the store by itself, apart from the code that it judges.
const (
	holderOfReturns = "cluster/duty/holder/reclaim/fleet"
	holderOfRentals = "cluster/duty/holder/rent/fleet"
	condemnedKeys   = "cluster/duty/condemned/"
	rentalKeys      = "cluster/duty/rental/"
)

// Verdict counts what a Judge accepted.
type Verdict struct {
	Returned, Rented int // machines
	// Late counts the requests that were accepted from a holder already replaced.
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
	next     int
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
	v := j.verdict
	v.Findings = slices.Clone(v.Findings)
	return v
}

// Machines lists the machines that there are.
func (j *Judge) Machines() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var names []string
	for name := range j.machines {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Rent carries out a rental that a controller has sent.
func (j *Judge) Rent(sender string, req wire.RentRequest) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	if names, ok := j.answered[req.Request]; ok {
		return names
	}
	var names []string
	for range req.Count {
		if len(j.machines) == j.capacity {
			break
		}
		j.next++
		name := fmt.Sprintf("host-%06d", j.next)
		j.machines[name] = true
		names = append(names, name)
	}
	if len(names) == 0 {
		j.refused[req.Request] = true
		return nil
	}
	j.answered[req.Request] = names
	j.verdict.Rented += len(names)
	if j.replaced(sender, holderOfRentals) {
		j.verdict.Late++
		switch {
		case j.named(rentalKeys, req.Request):
		case j.refused[req.Request]:
			j.verdict.AfterRefusal++
		default:
			j.staleLocked("%s, replaced, rented %v without a record", sender, names)
		}
	}
	return names
}

// Return carries out a return that a controller has sent.
func (j *Judge) Return(sender string, machines []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	replaced := j.replaced(sender, holderOfReturns)
	for _, name := range machines {
		if !j.machines[name] {
			continue // gone already: nothing is done
		}
		delete(j.machines, name)
		j.verdict.Returned++
		condemned := j.condemnedAt(name)
		if replaced {
			j.verdict.Late++
		}
		switch work := j.state.Version(workPrefix + name); {
		case replaced && condemned == 0:
			j.staleLocked("%s, replaced, returned %s without a record", sender, name)
		case work > condemned:
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
	var holder struct {
		Node   string `json:"node"`
		Leader string `json:"leader"`
	}
	if !j.fenced {
		key = epochKey
	}
	_ = json.Unmarshal(j.state.Get(key), &holder)
	return holder.Node+holder.Leader != sender
}

// named tells whether a value below a prefix names something.
func (j *Judge) named(below, name string) bool {
	return slices.ContainsFunc(j.state.Items(below), func(item wire.Item) bool { return strings.Contains(string(item.Value), `"`+name+`"`) })
}

// condemnedAt returns the revision at which a machine was condemned, 0 if it was not.
func (j *Judge) condemnedAt(machine string) (revision uint64) {
	for _, item := range j.state.Items(condemnedKeys) {
		if strings.Contains(string(item.Value), `"`+machine+`"`) && (revision == 0 || item.Version < revision) {
			revision = item.Version
		}
	}
	return revision
}

// Open counts the intents that are not closed.
func (j *Judge) Open() int {
	return len(j.state.Items(condemnedKeys)) + len(j.state.Items(rentalKeys))
}
