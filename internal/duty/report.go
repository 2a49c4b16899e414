package duty

import (
	"slices"
	"strings"

	"heronwick/wire"
)

// Report tells an operator what this controller knows of the duties.
func (k *Keeper) Report() wire.Duties {
	report := wire.Duties{Node: k.opts.Node, Active: k.Active(), LeaseS: k.opts.Lease.Seconds(),
		Duties: []wire.Duty{}, Returns: []wire.ReturnIntent{}, Rentals: []wire.RentalIntent{}, Events: []wire.DutyEvent{}, Counts: map[string]int{}}
	for id, h := range k.opts.Ledger.allHolders() {
		report.Duties = append(report.Duties, wire.Duty{ID: id.String(), Holder: h.Node, Token: h.token, Corrupt: h.damaged, Leader: k.check(id, h.token) == nil})
	}
	slices.SortFunc(report.Duties, func(a, b wire.Duty) int { return strings.Compare(a.ID, b.ID) })
	for _, open := range k.opts.Ledger.condemnations() {
		report.Returns = append(report.Returns, wire.ReturnIntent{Key: open.key, Token: open.Token, Reason: open.Why, Machines: open.Machines})
	}
	for _, open := range k.opts.Ledger.rentals() {
		intent := wire.RentalIntent{Key: open.key, Token: open.token}
		for _, r := range open.Requests {
			intent.Requests = append(intent.Requests, r.Request)
		}
		report.Rentals = append(report.Rentals, intent)
	}
	for _, e := range k.opts.History.Events() {
		report.Events = append(report.Events, wire.DutyEvent{At: e.At, Kind: string(e.Kind), Duty: e.Duty, Node: e.Node, Token: e.Token, Count: e.Count, TookS: e.Took.Seconds()})
	}
	for _, kind := range Kinds() {
		report.Counts[string(kind)] = k.opts.History.Count(kind)
	}
	return report
}

// Held counts the duties that this controller may act for.
func (k *Keeper) Held() (held int) {
	for id, h := range k.opts.Ledger.allHolders() {
		if k.check(id, h.token) == nil {
			held++
		}
	}
	return held
}

// OpenIntents counts the intents that are not closed, of all controllers.
func (l *Ledger) OpenIntents() (condemnations, rentals int) {
	return len(l.condemnations()), len(l.rentals())
}
