package state

import (
	"context"
	"errors"
	"sync"
	"time"

	"heronwick/wire"
)

const (
	// maxInFlight is the maximum number of transactions of each queue that are in
	// flight at the same time. It is more than one so that a slow response delays
	// only part of the writes.
	maxInFlight = 3
	// commitTimeout bounds one attempt of a transaction, and the reading back of one
	// write.
	commitTimeout = 10 * time.Second
	// A transaction without a definite result is retried after minBackoff. The
	// backoff doubles with each attempt, up to maxBackoff.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// Committer groups writes into transactions (group commit). Writes that arrive
// while transactions are in flight or wait for budget are gathered in the next
// transaction: at low load writes are not delayed, and at high load few
// transactions are needed. It is safe for concurrent use.
type Committer struct {
	client *Client

	mu          sync.Mutex
	comparisons writeQueue
	changes     writeQueue
}

// NewCommitter returns a Committer whose transactions keep to the limits of the client.
func NewCommitter(client *Client) *Committer { return &Committer{client: client} }

// Commit carries out a write, in one transaction with other queued writes, and
// returns its revision. The error is a *Conflict with the keys of this write's
// conditions that failed, ErrUnavailable, ErrUnknown or ErrRejected. An attempt
// that had no response may be carried out after a retry, so the conditions of a
// write must fail once the write has been made.
func (c *Committer) Commit(ctx context.Context, w Write) (revision uint64, err error) {
	if w.QueuedAt.IsZero() {
		w.QueuedAt = time.Now()
	}
	queued := &queuedWrite{Write: w, ctx: ctx, done: make(chan commitResult, 1)}
	c.enqueue(queued)
	select {
	case result := <-queued.done:
		return result.revision, result.err
	case <-ctx.Done():
		return 0, errors.Join(ErrUnknown, ctx.Err())
	}
}

func (c *Committer) enqueue(w *queuedWrite) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := &c.comparisons
	if len(w.Then) > 0 {
		q = &c.changes
	}
	q.insert(w)
	c.startLocked(q)
}

// LongestWait returns the longest time that any queued write of priority p or a more
// important one has waited.
func (c *Committer) LongestWait(p Priority) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return max(c.comparisons.longestWait(p, now), c.changes.longestWait(p, now))
}

// startLocked starts a transaction if the queue has writes, fewer than maxInFlight
// transactions are in flight, and none is waiting for budget.
func (c *Committer) startLocked(q *writeQueue) {
	if q.inFlight < maxInFlight && len(q.writes) > 0 && !q.awaitingBudget {
		q.inFlight++
		q.awaitingBudget = true
		go c.run(q)
	}
}

// run sends one transaction, and retries it until each of its writes has a result or
// is back in the queue.
func (c *Committer) run(q *writeQueue) {
	batch := c.nextBatch(q)
	defer c.endTransaction(q)
	backoff := minBackoff
	for len(batch) > 0 {
		revision, err := c.send(batch)
		var conflict *Conflict
		switch {
		case err == nil:
			for _, w := range batch {
				w.end(commitResult{revision: revision})
			}
			return
		case errors.As(err, &conflict):
			batch = c.resolveConflict(batch, conflict)
		case errors.Is(err, ErrRejected):
			c.splitRejected(q, batch, err)
			return
		default:
			batch = keepRetryable(batch, err)
			if len(batch) > 0 {
				time.Sleep(backoff)
				backoff = min(2*backoff, maxBackoff)
			}
		}
		if len(batch) > 0 && c.acquireBudget(batch) != nil {
			return
		}
	}
}

func (c *Committer) endTransaction(q *writeQueue) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q.inFlight--
	c.startLocked(q)
}

// nextBatch waits for budget and returns the writes of the next transaction. It
// chooses them only after the wait, so that those that are most urgent by then go
// first. The result is empty if the queue has become empty.
func (c *Committer) nextBatch(q *writeQueue) []*queuedWrite {
	for {
		planned := c.planBatch(q)
		if len(planned) == 0 {
			return nil
		}
		priority, maxWrites := budgetFor(planned)
		granted, err := c.client.budget.AcquireUpTo(context.Background(), priority, len(planned[0].Then), maxWrites)
		if err != nil {
			continue // cannot happen, since the context never ends
		}
		return c.takeBatch(q, granted)
	}
}

// planBatch returns the writes that the next transaction would contain at this
// moment. If there are none, it clears awaitingBudget, since the caller then does not
// wait for budget.
func (c *Committer) planBatch(q *writeQueue) []*queuedWrite {
	c.mu.Lock()
	defer c.mu.Unlock()
	q.dropStale(c.client.limits)
	planned := q.peekBatch(c.client.limits.Changes(), c.client.limits.Conditions())
	if len(planned) == 0 {
		q.awaitingBudget = false
	}
	return planned
}

// takeBatch removes the writes of the next transaction from the queue and returns
// them. maxChanges is the number of changes for which budget was granted. The
// transaction after it may then wait for its own budget.
func (c *Committer) takeBatch(q *writeQueue, maxChanges int) []*queuedWrite {
	c.mu.Lock()
	defer c.mu.Unlock()
	q.dropStale(c.client.limits)
	batch := q.takeBatch(maxChanges, c.client.limits.Conditions())
	q.awaitingBudget = false
	c.startLocked(q)
	return batch
}

// acquireBudget waits for the budget that a transaction of the writes needs. It
// cannot fail, since its context never ends.
func (c *Committer) acquireBudget(batch []*queuedWrite) error {
	priority, changes := budgetFor(batch)
	return c.client.budget.Acquire(context.Background(), priority, changes)
}

// budgetFor returns the budget that a transaction of the writes needs: the priority
// of the most urgent write, and the number of changes of all writes.
func budgetFor(batch []*queuedWrite) (p Priority, changes int) {
	p = priorities
	for _, w := range batch {
		p, changes = min(p, w.Priority), changes+len(w.Then)
	}
	return p, changes
}

// send makes one attempt of a transaction of the writes. It does not use the context
// of any of their callers, since the other callers still wait for the result when
// one has given up.
func (c *Committer) send(batch []*queuedWrite) (revision uint64, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	return c.client.sendTxn(ctx, mergeWrites(batch))
}

// mergeWrites returns one transaction with the conditions and changes of all the
// writes. A condition that several writes share is included once.
func mergeWrites(batch []*queuedWrite) wire.Txn {
	txn := wire.Txn{}
	seen := map[wire.Condition]bool{}
	for _, w := range batch {
		for _, condition := range w.If {
			if !seen[condition] {
				seen[condition] = true
				txn.If = append(txn.If, condition)
			}
		}
		txn.Then = append(txn.Then, w.Then...)
	}
	return txn
}
