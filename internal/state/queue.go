package state

import (
	"slices"
	"time"
)

// maxTxnBytes leaves room for the envelope below the service's 64 KiB.
const maxTxnBytes = 56 << 10

// conditionsPerChange is how many conditions a transaction may hold for each
// change that it may hold.
const conditionsPerChange = 4

// writeQueue holds the waiting writes of one of two kinds: those that only
// compare, and those that change something. The kinds are sent apart: a
// comparison that fails would cost a transaction's changes once more, and need
// not wait for their limit.
type writeQueue struct {
	writes   []*queuedWrite // the one that has waited longest first
	inFlight int            // transactions
	waiting  bool           // a transaction is waiting for budget
}

// insert puts a write behind those that have waited as long or longer.
func (q *writeQueue) insert(w *queuedWrite) {
	i := len(q.writes)
	for i > 0 && q.writes[i-1].QueuedAt.After(w.QueuedAt) {
		i--
	}
	q.writes = slices.Insert(q.writes, i, w)
}

// dropStale ends the writes that must not be sent any more.
func (q *writeQueue) dropStale() {
	q.writes = slices.DeleteFunc(q.writes, func(w *queuedWrite) bool {
		reason := w.dropReason()
		if reason != nil {
			w.done <- commitResult{err: reason}
		}
		return reason != nil
	})
}

// peek returns the writes of a transaction with at most maxChanges changes and
// leaves them in the queue. The first one is among them even if it is too large.
func (q *writeQueue) peek(maxChanges, maxConditions int) []*queuedWrite {
	batch, _ := q.split(newBatchBuilder(maxChanges, maxConditions, true))
	return batch
}

// take removes the writes of a transaction with at most maxChanges changes from
// the queue and returns them.
func (q *writeQueue) take(maxChanges, maxConditions int) []*queuedWrite {
	batch, rest := q.split(newBatchBuilder(maxChanges, maxConditions, false))
	q.writes = rest
	return batch
}

// split chooses the writes of the next transaction, the most urgent first.
func (q *writeQueue) split(b *batchBuilder) (batch, rest []*queuedWrite) {
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

// longestWait returns how long the write that has waited longest has waited, of
// priority p and more important ones.
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
	allowOversized             bool // accept a first write that exceeds the limits
	batch                      []*queuedWrite
	changedKeys                map[string]bool
	changes, conditions, bytes int
}

func newBatchBuilder(maxChanges, maxConditions int, allowOversized bool) *batchBuilder {
	return &batchBuilder{maxChanges: maxChanges, maxConditions: maxConditions, allowOversized: allowOversized,
		changedKeys: map[string]bool{}}
}

// accepts reports whether the write may go with those of the batch. Together
// they must do what they would do one after the other: a write waits if one
// before it changes a key that it changes too or depends on. In one transaction
// both would find the key as it was: a job was cancelled and done at once.
func (b *batchBuilder) accepts(w *queuedWrite) bool {
	first := len(b.batch) == 0
	if !first && (w.sendAlone || b.batch[0].sendAlone) {
		return false
	}
	oversizedAllowed := first && b.allowOversized
	return (oversizedAllowed || b.fits(w)) && !w.dependsOn(b.changedKeys)
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
