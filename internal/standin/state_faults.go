package standin

import (
	"slices"
	"time"
)

// LowerLimits lowers the limits of a value and of a transaction's changes. What is
// stored stays readable.
func (s *State) LowerLimits(valueBytes, ops int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ValueBytes, s.Ops, s.TooLarge = valueBytes, ops, 0
}

// SetOutage starts or ends an outage. When it is over, every lease has its
// full time again.
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

// RejectNode answers one node with 503, or serves it again.
func (s *State) RejectNode(node string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[node] = on
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

// ReleaseTransactions carries out what was held back, late, and returns the statuses
// that nobody gets to see.
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

// maxPast bounds the transactions that can be repeated.
const maxPast = 100

// ReplayTransactions carries out again, late, what was carried out a while ago.
func (s *State) ReplayTransactions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, txn := range slices.Clone(s.applied) {
		s.txnLocked(txn)
	}
}

// DelayResponses has answers arrive so much later than they were true; 0 ends that.
func (s *State) DelayResponses(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responseDelay = by
}
