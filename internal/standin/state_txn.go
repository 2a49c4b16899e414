package standin

import (
	"net/http"
	"slices"

	"heronwick/wire"
)

// txnLocked carries out a transaction and returns its HTTP status and reply. A transaction
// whose conditions fail gets 409 with their keys; one that is too large or names a lease that
// does not exist gets 400, whatever the conditions.
func (s *State) txnLocked(txn wire.Txn) (int, wire.TxnReply) {
	s.Writes += len(txn.Then)
	if s.tooLargeLocked(txn) {
		s.TooLarge++
		return http.StatusBadRequest, wire.TxnReply{}
	}
	if s.leaseMissingLocked(txn) {
		return http.StatusBadRequest, wire.TxnReply{}
	}
	if failed := s.failedConditionsLocked(txn.If); len(failed) > 0 {
		return http.StatusConflict, wire.TxnReply{Failed: failed, Revision: s.revision}
	}
	if len(txn.Then) == 0 {
		return http.StatusOK, wire.TxnReply{Revision: s.revision}
	}
	s.applyLocked(txn)
	return http.StatusOK, wire.TxnReply{Revision: s.revision}
}

// leaseMissingLocked reports whether a transaction attaches a key to a lease that does not
// exist.
func (s *State) leaseMissingLocked(txn wire.Txn) bool {
	return slices.ContainsFunc(txn.Then, func(c wire.Change) bool { return c.Lease != 0 && s.leases[c.Lease] == nil })
}

// failedConditionsLocked returns the keys of the conditions that do not hold.
func (s *State) failedConditionsLocked(conditions []wire.Condition) (failed []string) {
	for _, condition := range conditions {
		if s.items[condition.Key].Version != condition.Version {
			failed = append(failed, condition.Key)
		}
	}
	return failed
}

// applyLocked applies a transaction's changes at a new revision and wakes the watches.
func (s *State) applyLocked(txn wire.Txn) {
	s.revision++
	s.applied = append(s.applied, txn)
	s.applied = s.applied[max(0, len(s.applied)-maxReplayedTransactions):]
	for _, change := range txn.Then {
		if change.Put != "" {
			s.items[change.Put] = wire.Item{Key: change.Put, Value: change.Value, Version: s.revision, Lease: change.Lease}
			s.events = append(s.events, wire.Event{Put: change.Put, Value: change.Value, Version: s.revision})
		} else {
			delete(s.items, change.Delete)
			s.events = append(s.events, wire.Event{Delete: change.Delete, Version: s.revision})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}
