package state

import (
	"slices"
	"time"
)

// writeQueue holds queued writes of one of two kinds: comparisons, which have
// conditions only, and writes with changes. The kinds have separate queues and
// transactions for two reasons. A comparison that fails would make the changes in its
// transaction fail too, and their retry would take write budget once more. And
// comparisons take no write budget, so they need not wait for it.
type writeQueue struct {
	writes         []*queuedWrite // within a priority ordered by QueuedAt, oldest first
	inFlight       int            // number of transactions in flight or waiting for budget
	awaitingBudget bool           // one of them is waiting for the budget of its first attempt
}

// insert puts a write behind those of its priority that were queued at the same time or
// earlier, and before those that were queued later.
func (q *writeQueue) insert(w *queuedWrite) {
	position := len(q.writes)
	for i, other := range slices.Backward(q.writes) {
		if other.Priority != w.Priority {
			continue
		}
		if !other.QueuedAt.After(w.QueuedAt) {
			break
		}
		position = i
	}
	q.writes = slices.Insert(q.writes, position, w)
}

// dropStale removes the writes that must not be sent, because they are outdated or exceed
// the limits by themselves, and ends them with an error.
func (q *writeQueue) dropStale(limits *TxnLimits) {
	q.writes = slices.DeleteFunc(q.writes, func(w *queuedWrite) bool {
		reason := w.dropReason(limits)
		if reason != nil {
			w.end(commitResult{err: reason})
		}
		return reason != nil
	})
}

// peekBatch returns the writes of a transaction within the limits and leaves them in
// the queue.
func (q *writeQueue) peekBatch(maxChanges, maxConditions int) []*queuedWrite {
	batch, _ := q.selectBatch(newBatchBuilder(maxChanges, maxConditions))
	return batch
}

// takeBatch removes the writes of a transaction within the limits from the queue and
// returns them.
func (q *writeQueue) takeBatch(maxChanges, maxConditions int) []*queuedWrite {
	batch, rest := q.selectBatch(newBatchBuilder(maxChanges, maxConditions))
	q.writes = rest
	return batch
}

// selectBatch selects the writes of the next transaction, the most urgent first, and
// returns them and the other writes.
func (q *writeQueue) selectBatch(b *batchBuilder) (batch, rest []*queuedWrite) {
	for p := range priorities {
		for _, w := range q.writes {
			if w.Priority != p {
				continue
			}
			if b.accepts(w) {
				b.add(w)
			} else {
				rest = append(rest, w)
			}
		}
	}
	return b.batch, rest
}

// longestWait returns the longest time that any write in the queue of priority p or a
// more important one has waited.
func (q *writeQueue) longestWait(p Priority, now time.Time) (longest time.Duration) {
	for _, w := range q.writes {
		if w.Priority <= p {
			longest = max(longest, now.Sub(w.QueuedAt))
		}
	}
	return longest
}

// batchBuilder gathers the writes of one transaction.
type batchBuilder struct {
	maxChanges, maxConditions  int
	batch                      []*queuedWrite
	changedKeys                map[string]bool
	changes, conditions, bytes int
}

func newBatchBuilder(maxChanges, maxConditions int) *batchBuilder {
	return &batchBuilder{maxChanges: maxChanges, maxConditions: maxConditions, changedKeys: map[string]bool{}}
}

// accepts reports whether the write may be added to the batch. A transaction must
// have the same effect as its writes one after the other, so a write must wait if one
// in the batch changes a key that it changes too or is conditional on. In the same
// transaction the conditions of both would be checked against the old version of the
// key. Because of that, a job was once recorded as both cancelled and done.
func (b *batchBuilder) accepts(w *queuedWrite) bool {
	first := len(b.batch) == 0
	if !first && (w.sendAlone || b.batch[0].sendAlone) {
		return false
	}
	return b.fits(w) && !w.dependsOn(b.changedKeys)
}

func (b *batchBuilder) fits(w *queuedWrite) bool {
	return b.changes+len(w.Then) <= b.maxChanges &&
		b.conditions+len(w.If) <= b.maxConditions &&
		b.bytes+w.bytes() <= maxTxnBytes
}

func (b *batchBuilder) add(w *queuedWrite) {
	for _, change := range w.Then {
		b.changedKeys[changedKey(change)] = true
	}
	b.changes += len(w.Then)
	b.conditions += len(w.If)
	b.bytes += w.bytes()
	b.batch = append(b.batch, w)
}
