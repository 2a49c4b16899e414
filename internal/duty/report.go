package duty

import (
	"slices"
	"strings"

	"heronwick/wire"
)

// Report returns this controller's view of the duties for an operator. Its lists are never
// nil.
func (k *Keeper) Report() wire.Duties {
	report := wire.Duties{
		Node: k.opts.Node, Active: k.Active(), LeaseS: k.opts.Lease.Seconds(),
		Duties: k.reportDuties(), Returns: k.opts.Cache.reportReturns(), Rentals: k.opts.Cache.reportRentals(),
		Events: k.opts.History.Events(), Counts: map[string]int{},
	}
	for _, kind := range Kinds() {
		report.Counts[string(kind)] = k.opts.History.Count(kind)
	}
	return report
}

// reportDuties lists the duties by ID.
func (k *Keeper) reportDuties() []wire.Duty {
	duties := []wire.Duty{}
	for id, h := range k.opts.Cache.allHolders() {
		duties = append(duties, wire.Duty{ID: id.String(), Holder: h.Node, Token: h.token, Corrupt: h.corrupt, Leader: k.check(id, h.token) == nil})
	}
	slices.SortFunc(duties, func(a, b wire.Duty) int { return strings.Compare(a.ID, b.ID) })
	return duties
}

// reportReturns lists the open intents to return, by key.
func (c *RecordCache) reportReturns() []wire.ReturnIntent {
	intents := []wire.ReturnIntent{}
	for _, open := range c.openReturns() {
		intents = append(intents, wire.ReturnIntent{Key: open.key, Token: open.Token, Reason: open.Reason, Machines: open.Machines})
	}
	return intents
}

// reportRentals lists the open intents to rent, the oldest first.
func (c *RecordCache) reportRentals() []wire.RentalIntent {
	intents := []wire.RentalIntent{}
	for _, open := range c.openRentals() {
		intent := wire.RentalIntent{Key: open.key, Token: open.token}
		for _, request := range open.Requests {
			intent.Requests = append(intent.Requests, request.Request)
		}
		intents = append(intents, intent)
	}
	return intents
}

// Held counts the duties that this controller may act for now.
func (k *Keeper) Held() int {
	held := 0
	for id, h := range k.opts.Cache.allHolders() {
		if k.check(id, h.token) == nil {
			held++
		}
	}
	return held
}
