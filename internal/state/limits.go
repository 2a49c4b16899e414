package state

import (
	"errors"
	"log/slog"
	"sync"

	"heronwick/internal/config"
	"heronwick/wire"
)

// maxTxnBytes is the maximum size of the changes and conditions of a transaction.
// The store's limit is 64 KiB; the difference is for the JSON around them.
const maxTxnBytes = 56 << 10

// conditionsPerChange is the ratio of the maximum number of conditions in a
// transaction to the maximum number of changes.
const conditionsPerChange = 4

// TxnLimits are the limits of a transaction: those of the settings, or lower ones once
// the store has rejected a transaction for its size. All code that builds a transaction of
// variable size keeps to them. They are safe for concurrent use.
type TxnLimits struct {
	log        *slog.Logger
	minChanges int // lowest value of changes

	mu            sync.Mutex
	changes       int
	rejections    uint64
	loggedChanges int // value of changes when a rejection was last logged
}

// NewTxnLimits returns limits with the given number of changes in a transaction.
func NewTxnLimits(maxChanges int, log *slog.Logger) *TxnLimits {
	return &TxnLimits{log: log, minChanges: min(maxChanges, config.MinTxnOps), changes: maxChanges}
}

// Changes returns the maximum number of changes in a transaction.
func (l *TxnLimits) Changes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changes
}

// Conditions returns the maximum number of conditions in a transaction.
func (l *TxnLimits) Conditions() int { return conditionsPerChange * l.Changes() }

// Rejections returns how many transactions the store has rejected for their size.
func (l *TxnLimits) Rejections() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rejections
}

// allows reports whether the write fits into a transaction of its own.
func (l *TxnLimits) allows(w *Write) bool {
	return len(w.Then) <= l.Changes() && len(w.If) <= l.Conditions() && w.bytes() <= maxTxnBytes
}

// recordRejection counts a transaction that the store has rejected for its size. It is
// logged once for each value of the limits.
func (l *TxnLimits) recordRejection(txn *wire.Txn, reason error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rejections++
	if l.loggedChanges != l.changes {
		l.loggedChanges = l.changes
		l.log.Error("the store rejects a transaction", "changes", len(txn.Then), "conditions", len(txn.If),
			"max_changes", l.changes, "max_conditions", conditionsPerChange*l.changes, "err", reason)
	}
}

// lowerBelow reduces the limits after a transaction with this number of changes and
// conditions was rejected for one of these numbers.
func (l *TxnLimits) lowerBelow(changes, conditions int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	size := max(changes, (conditions+conditionsPerChange-1)/conditionsPerChange)
	lowered := max(l.minChanges, min(l.changes, size)/2)
	if lowered < l.changes {
		l.log.Error("transactions are made smaller, since the store rejects them", "max_changes_before", l.changes, "max_changes", lowered)
		l.changes = lowered
	}
}

// isSizeRejection reports whether err means that the store has rejected a transaction
// because it exceeds a limit.
func isSizeRejection(err error) bool {
	return errors.Is(err, ErrRejected) && !errors.Is(err, ErrNotFound)
}

// rejectedBatch tracks the writes of a rejected transaction, which are sent again in
// transactions of their own. If the store rejects none of these, it has rejected the
// number of changes or conditions, and not a value.
type rejectedBatch struct {
	limits              *TxnLimits
	changes, conditions int

	mu       sync.Mutex
	pending  int // writes without a result
	rejected bool
}

// record records the result of one of the writes.
func (b *rejectedBatch) record(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending--
	b.rejected = b.rejected || errors.Is(err, ErrRejected)
	if b.pending == 0 && !b.rejected {
		b.limits.lowerBelow(b.changes, b.conditions)
	}
}
