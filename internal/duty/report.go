package duty

import (
	"slices"
	"strings"

	"heronwick/wire"
)

// Report returns this controller's view of the duties for operators. The lists in it are
// never nil.
func (mgr *Manager) Report() wire.Duties {
	report := wire.Duties{
		Node: mgr.opts.Node, Active: mgr.Active(), LeaseS: mgr.opts.Lease.Seconds(),
		Duties: mgr.reportDuties(), Returns: mgr.opts.RecordCache.reportReturns(), Rentals: mgr.opts.RecordCache.reportRentals(),
		Events: mgr.opts.History.Events(), Counts: map[string]int{},
	}
	for _, kind := range EventKinds() {
		report.Counts[string(kind)] = mgr.opts.History.Count(kind)
	}
	return report
}

// reportDuties lists the duties, sorted by ID.
func (mgr *Manager) reportDuties() []wire.Duty {
	duties := []wire.Duty{}
	for id, h := range mgr.opts.RecordCache.allHolders() {
		duties = append(duties, wire.Duty{ID: id.String(), Holder: h.Node, Token: h.token, Corrupt: h.corrupt, Leader: mgr.check(id, h.token) == nil})
	}
	slices.SortFunc(duties, func(a, b wire.Duty) int { return strings.Compare(a.ID, b.ID) })
	return duties
}

// reportReturns lists the open intents to return, sorted by key.
func (c *RecordCache) reportReturns() []wire.ReturnIntent {
	intents := []wire.ReturnIntent{}
	for _, open := range c.openReturns() {
		intents = append(intents, wire.ReturnIntent{Key: open.key, Token: open.Token, Reason: open.Reason, Machines: open.Machines})
	}
	return intents
}

// reportRentals lists the open intents to rent, oldest first.
func (c *RecordCache) reportRentals() []wire.RentalIntent {
	intents := []wire.RentalIntent{}
	for _, open := range c.openRentals() {
		intent := wire.RentalIntent{Key: open.key, Token: open.token}
		for _, request := range open.Requests {
			intent.Requests = append(intent.Requests, request.RequestID)
		}
		intents = append(intents, intent)
	}
	return intents
}

// HeldCount returns the number of duties that this controller may act for now.
func (mgr *Manager) HeldCount() int {
	held := 0
	for id, h := range mgr.opts.RecordCache.allHolders() {
		if mgr.check(id, h.token) == nil {
			held++
		}
	}
	return held
}
