package standin

import (
	"slices"
	"time"
)

// LowerLimits sets MaxValueBytes and MaxTxnOps, and resets TooLarge. Stored values that are
// larger stay readable.
func (s *State) LowerLimits(valueBytes, ops int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.MaxValueBytes, s.MaxTxnOps, s.TooLarge = valueBytes, ops, 0
}

// SetOutage starts or ends an outage. During an outage, requests get status 503, open
// watches stay open without events, and no lease expires. At its end the full TTL of every
// lease starts again.
func (s *State) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	for _, l := range s.leases {
		if on {
			l.timer.Stop()
		} else {
			l.timer.Reset(l.ttl)
		}
	}
}

// RejectNode starts or stops rejecting the requests of one node with status 503. Meanwhile
// the node's open watches stay open without events.
func (s *State) RejectNode(node string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejectedNodes[node] = on
}

// DropResponses carries out the next n transactions but drops their responses.
func (s *State) DropResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropResponses = n
}

// HoldTransactions holds back the next n transactions, whose senders get no response.
func (s *State) HoldTransactions(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdTransactions = n
}

// ReleaseTransactions carries out the transactions that are held back, and returns their HTTP
// statuses, which their senders do not see.
func (s *State) ReleaseTransactions() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var statuses []int
	for _, txn := range s.heldTransactions {
		status, _ := s.txnLocked(txn)
		statuses = append(statuses, status)
	}
	s.heldTransactions = nil
	return statuses
}

// maxReplayedTransactions is the maximum number of transactions that ReplayTransactions
// repeats.
const maxReplayedTransactions = 100

// ReplayTransactions repeats the most recent transactions that were carried out.
func (s *State) ReplayTransactions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, txn := range slices.Clone(s.applied) {
		s.txnLocked(txn)
	}
}

// DelayResponses delays each response after its request has been carried out; 0 ends the
// delay.
func (s *State) DelayResponses(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responseDelay = delay
}

// DelayNodeResponses delays each response to one node after its request has been carried
// out; 0 ends the delay.
func (s *State) DelayNodeResponses(node string, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodeDelays[node] = delay
}

// watchKey identifies the watches of one node under one prefix.
type watchKey struct{ node, prefix string }

// DelayWatch delays the events that a node's watches under a prefix deliver; 0 ends the delay.
// Reads and the node's other watches are not delayed.
func (s *State) DelayWatch(node, prefix string, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchDelays[watchKey{node, prefix}] = delay
}
