package standin

import (
	"slices"
	"time"
)

// LowerLimits sets the limits of a value's size and of a transaction's changes, and resets
// TooLarge. Larger values that are stored stay readable.
func (s *State) LowerLimits(valueBytes, ops int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.MaxValueBytes, s.MaxTxnOps, s.TooLarge = valueBytes, ops, 0
}

// SetOutage starts or ends an outage, in which requests are answered 503, watches stay open
// without events, and no lease expires. When it is over, every lease has its full TTL
// again.
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

// RejectNode answers the requests of one node with 503, or serves it again. Its watches stay
// open, without events.
func (s *State) RejectNode(node string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejectedNodes[node] = on
}

// DropResponses carries out the next n transactions without a response.
func (s *State) DropResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropResponses = n
}

// HoldTransactions holds back the next n transactions, without a response.
func (s *State) HoldTransactions(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdTransactions = n
}

// ReleaseTransactions carries out the transactions that were held back, and returns their
// HTTP statuses, which no caller sees.
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

// maxReplayed bounds the transactions that can be replayed.
const maxReplayed = 100

// ReplayTransactions carries out again the last transactions that were carried out.
func (s *State) ReplayTransactions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, txn := range slices.Clone(s.applied) {
		s.txnLocked(txn)
	}
}

// DelayResponses delays every response after its request is carried out; 0 ends that.
func (s *State) DelayResponses(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responseDelay = delay
}
