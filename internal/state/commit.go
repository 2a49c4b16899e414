package state

import (
	"context"
	"errors"
	"sync"
	"time"

	"heronwick/wire"
)

const (
	// maxInFlight is how many transactions of one kind are in flight at once, so
	// that a slow response holds up only part of the writes.
	maxInFlight = 3
	// commitTimeout bounds one attempt of a transaction and one read-back.
	commitTimeout = 10 * time.Second
	// Attempts without a definite answer are retried after minBackoff, doubled
	// each time up to maxBackoff.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// Committer groups writes into transactions (group commit). While one
// transaction is in flight the next fills, so that a quiet service has no added
// delay and a busy one few transactions. It is safe for concurrent use.
type Committer struct {
	client     *Client
	maxChanges int // of a transaction

	mu          sync.Mutex
	comparisons writeQueue
	changes     writeQueue
}

// NewCommitter makes a Committer whose transactions hold at most maxChanges
// changes and four times as many conditions.
func NewCommitter(client *Client, maxChanges int) *Committer {
	return &Committer{client: client, maxChanges: maxChanges}
}

// MaxChanges is how many changes a transaction may hold.
func (c *Committer) MaxChanges() int { return c.maxChanges }

func (c *Committer) maxConditions() int { return conditionsPerChange * c.maxChanges }

// Commit carries out a write, in one transaction with others that wait, and
// returns its revision. The error is a *Conflict with the keys of this write's
// conditions that failed, ErrUnavailable, ErrUnknown or ErrRejected. Each
// write's conditions must make a late copy of it fail.
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

// LongestWait returns how long the write that has waited longest has waited, of
// priority p and more important ones.
func (c *Committer) LongestWait(p Priority) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return max(c.comparisons.longestWait(p, now), c.changes.longestWait(p, now))
}

// startLocked starts a transaction of the queue's writes if there are any and
// another one may be in flight.
func (c *Committer) startLocked(q *writeQueue) {
	if q.inFlight < maxInFlight && len(q.writes) > 0 && !q.waiting {
		q.inFlight++
		q.waiting = true
		go c.run(q)
	}
}

// run sends one transaction until each of its writes has its result.
func (c *Committer) run(q *writeQueue) {
	batch := c.next(q)
	defer c.endTransaction(q)
	backoff := minBackoff
	for len(batch) > 0 {
		revision, err := c.send(batch)
		var conflict *Conflict
		switch {
		case err == nil:
			for _, w := range batch {
				w.done <- commitResult{revision: revision}
			}
			return
		case errors.As(err, &conflict):
			batch = c.resolveConflict(batch, conflict)
		case errors.Is(err, ErrRejected):
			c.splitRejected(q, batch, err)
			return
		default:
			batch = retryable(batch, err)
			if len(batch) > 0 {
				time.Sleep(backoff)
				backoff = min(2*backoff, maxBackoff)
			}
		}
		if len(batch) > 0 && c.acquireFor(batch) != nil {
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

// next waits for budget and takes the next transaction's writes only then: what
// is most urgent at that moment goes first. It returns none if the queue has
// become empty.
func (c *Committer) next(q *writeQueue) []*queuedWrite {
	for {
		planned := c.peekOrStop(q)
		if len(planned) == 0 {
			return nil
		}
		priority, most := budgetFor(planned)
		granted, err := c.client.budget.AcquireUpTo(context.Background(), priority, len(planned[0].Then), most)
		if err != nil {
			continue // cannot happen: the context never ends
		}
		return c.take(q, granted)
	}
}

// peekOrStop returns the writes that the next transaction would hold now. If
// there are none, nobody waits for budget any more.
func (c *Committer) peekOrStop(q *writeQueue) []*queuedWrite {
	c.mu.Lock()
	defer c.mu.Unlock()
	q.dropStale()
	planned := q.peek(c.maxChanges, c.maxConditions())
	if len(planned) == 0 {
		q.waiting = false
	}
	return planned
}

// take removes the next transaction's writes from the queue, for which there is
// budget for so many changes, and lets the transaction after it wait for its own.
func (c *Committer) take(q *writeQueue, maxChanges int) []*queuedWrite {
	c.mu.Lock()
	defer c.mu.Unlock()
	q.dropStale()
	batch := q.take(maxChanges, c.maxConditions())
	q.waiting = false
	c.startLocked(q)
	return batch
}

// acquireFor waits for the budget that a transaction of the writes takes. It
// cannot fail, since its context never ends.
func (c *Committer) acquireFor(batch []*queuedWrite) error {
	priority, changes := budgetFor(batch)
	return c.client.budget.Acquire(context.Background(), priority, changes)
}

// budgetFor returns the budget that a transaction of the writes takes: the
// priority of the most urgent one and the changes of all.
func budgetFor(batch []*queuedWrite) (p Priority, changes int) {
	p = priorities
	for _, w := range batch {
		p, changes = min(p, w.Priority), changes+len(w.Then)
	}
	return p, changes
}

// send makes one attempt of a transaction of the writes. It outlives any single
// writer's context: the others still wait for it.
func (c *Committer) send(batch []*queuedWrite) (revision uint64, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	return c.client.sendTxn(ctx, mergeWrites(batch))
}

// mergeWrites makes one transaction of all the writes. A condition that several
// of them have is named once.
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
