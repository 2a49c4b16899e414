package standin

import (
	"slices"
	"time"

	"heronwick/wire"
)

// Limits of a transaction besides State.MaxTxnOps, which limits its changes.
const (
	conditionsPerOp = 4        // maximum number of conditions, as a multiple of State.MaxTxnOps
	maxTxnBytes     = 64 << 10 // maximum size of the encoded transaction
)

// rateExceededLocked reports whether a request with the given number of changes exceeds the
// rate limits. If it does not, the request is added to the leaky buckets.
func (s *State) rateExceededLocked(writes int) bool {
	if s.RequestRate == 0 {
		return false
	}
	now := time.Now()
	elapsed := now.Sub(s.levelsUpdatedAt).Seconds()
	s.levelsUpdatedAt = now
	s.requestLevel = max(0, s.requestLevel-elapsed*s.RequestRate) + 1
	s.writeLevel = max(0, s.writeLevel-elapsed*s.WriteRate) + float64(writes)
	if s.requestLevel <= s.RequestRate && s.writeLevel <= s.WriteRate {
		return false
	}
	s.requestLevel, s.writeLevel = s.requestLevel-1, s.writeLevel-float64(writes)
	s.RateLimited++
	return true
}

// tooLargeLocked reports whether a transaction exceeds a size limit.
func (s *State) tooLargeLocked(txn wire.Txn) bool {
	if s.MaxTxnOps > 0 && (len(txn.Then) > s.MaxTxnOps || len(txn.If) > conditionsPerOp*s.MaxTxnOps || len(encode(txn)) > maxTxnBytes) {
		return true
	}
	return s.MaxValueBytes > 0 && slices.ContainsFunc(txn.Then, func(c wire.Change) bool { return len(c.Value) > s.MaxValueBytes })
}

// LargestValue returns the key of the largest value and the size of the value in bytes.
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
