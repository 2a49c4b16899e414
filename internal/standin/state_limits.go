package standin

import (
	"slices"
	"time"

	"heronwick/wire"
)

// Limits of a transaction besides State.MaxTxnOps, which applies to its changes.
const (
	conditionsPerOp = 4        // conditions, as a multiple of State.MaxTxnOps
	maxTxnBytes     = 64 << 10 // of the encoded transaction
)

// rateExceededLocked takes a request with so many changes of the burst, and reports whether
// it exceeds the rate limits; then nothing is taken.
func (s *State) rateExceededLocked(writes int) bool {
	if s.RequestRate == 0 {
		return false
	}
	now := time.Now()
	elapsed := now.Sub(s.refilled).Seconds()
	s.refilled = now
	s.requestsTaken = max(0, s.requestsTaken-elapsed*s.RequestRate) + 1
	s.writesTaken = max(0, s.writesTaken-elapsed*s.WriteRate) + float64(writes)
	if s.requestsTaken <= s.RequestRate && s.writesTaken <= s.WriteRate {
		return false
	}
	s.requestsTaken, s.writesTaken = s.requestsTaken-1, s.writesTaken-float64(writes)
	s.RateLimited++
	return true
}

// tooLargeLocked reports whether a transaction exceeds the limits of size.
func (s *State) tooLargeLocked(txn wire.Txn) bool {
	if s.MaxTxnOps > 0 && (len(txn.Then) > s.MaxTxnOps || len(txn.If) > conditionsPerOp*s.MaxTxnOps || len(encode(txn)) > maxTxnBytes) {
		return true
	}
	return s.MaxValueBytes > 0 && slices.ContainsFunc(txn.Then, func(c wire.Change) bool { return len(c.Value) > s.MaxValueBytes })
}

// LargestValue returns the key of the largest value and its size in bytes.
func (s *State) LargestValue() (key string, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for candidate, item := range s.items {
		if len(item.Value) > size {
			key, size = candidate, len(item.Value)
		}
	}
	return key, size
}
