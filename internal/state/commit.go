package state

import (
	"context"
	"encoding/json"
	"errors"
	"reflect"
	"slices"
	"sync"
	"time"

	"heronwick/wire"
)

// Write is one unit of work for a Committer: its changes are made together,
// when its conditions hold.
type Write struct {
	Priority Priority
	If       []wire.Condition
	Then     []wire.Change
	// Persist keeps the write going until the service gives a definite answer
	// or the context ends. Otherwise it fails with ErrUnavailable after one try,
	// with ErrUnknown after a second without response.
	Persist bool
	// Fresh tells, right before sending, whether the write can still succeed.
	// Without it one that cannot would use up budget that others wait for.
	Fresh func() bool
	// Since is from when on the write waits, zero for now: of one priority the
	// oldest goes first. One tried anew, under another epoch, keeps its place.
	Since time.Time
}

// FencingCondition ties writes to the epoch under which they were decided.
type FencingCondition struct {
	Condition wire.Condition
	Current   func() bool // whether the condition can still hold, without asking the service
	Since     time.Time   // when the writes were first decided, see Write
}

// Bind makes a write fail once the fence is outdated: unsent, where that is known.
func (f FencingCondition) Bind(w Write) Write {
	w.If = append([]wire.Condition{f.Condition}, w.If...)
	w.Since = f.Since
	fresh := w.Fresh
	w.Fresh = func() bool { return f.Current() && (fresh == nil || fresh()) }
	return w
}

type queuedWrite struct {
	Write
	ctx       context.Context
	unknown   bool // an earlier try had no response
	sendAlone bool // a transaction with others beside it was rejected
	done      chan commitResult
}

// mayHaveApplied tells whether an earlier try may have made the write's changes.
func (w *queuedWrite) mayHaveApplied() bool { return w.unknown && len(w.Then) > 0 }

type commitResult struct {
	revision uint64
	err      error
}

// Committer groups writes into transactions (group commit). While one
// transaction is under way the next fills, so that a quiet service has no
// added delay and a busy one few transactions.
type Committer struct {
	client *Client
	ops    int
	mu     sync.Mutex
	queues [2]writeQueue
}

// writeQueue is one of the two kinds of writes: those that only compare, and those
// that change something. They go apart: a comparison that fails would cost a
// transaction's changes once more, and need not wait for their limit.
type writeQueue struct {
	queue    []*queuedWrite
	inFlight int
	waiting  bool // one is waiting for budget
}

// insert puts a write behind those that have waited as long or longer.
func (l *writeQueue) insert(w *queuedWrite) {
	i := len(l.queue)
	for i > 0 && l.queue[i-1].Since.After(w.Since) {
		i--
	}
	l.queue = slices.Insert(l.queue, i, w)
}

// maxTxnBytes leaves room for the envelope below the service's 64 KiB.
const maxTxnBytes = 56 << 10

// maxInFlight lets a slow response hold up only part of the writes.
const maxInFlight = 3

// NewCommitter makes a Committer whose transactions hold at most ops changes
// and four times as many conditions.
func NewCommitter(client *Client, ops int) *Committer {
	return &Committer{client: client, ops: ops}
}

// Ops is how many changes a transaction may hold.
func (c *Committer) Ops() int { return c.ops }

// Commit carries out a write, in one transaction with others that wait. The
// error is a *Conflict with the keys of this write that failed. Each write's
// conditions must make a late copy of it fail.
func (c *Committer) Commit(ctx context.Context, w Write) (uint64, error) {
	if w.Since.IsZero() {
		w.Since = time.Now()
	}
	p := &queuedWrite{Write: w, ctx: ctx, done: make(chan commitResult, 1)}
	l := &c.queues[0]
	if len(w.Then) > 0 {
		l = &c.queues[1]
	}
	c.mu.Lock()
	l.insert(p)
	c.startLocked(l)
	c.mu.Unlock()
	select {
	case o := <-p.done:
		return o.revision, o.err
	case <-ctx.Done():
		return 0, errors.Join(ErrUnknown, ctx.Err())
	}
}

// LongestWait returns how long the write has waited that waits for the longest, of this
// priority and more important ones.
func (c *Committer) LongestWait(p Priority) (longest time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for i := range c.queues {
		for _, w := range c.queues[i].queue {
			if w.Priority <= p {
				longest = max(longest, now.Sub(w.Since))
			}
		}
	}
	return longest
}

func (c *Committer) startLocked(l *writeQueue) {
	if l.inFlight < maxInFlight && len(l.queue) > 0 && !l.waiting {
		l.inFlight++
		l.waiting = true
		go c.run(l)
	}
}

// next waits for budget and takes the next transaction's writes only then:
// what is most urgent at that moment goes first.
func (c *Committer) next(l *writeQueue) []*queuedWrite {
	ctx := context.Background()
	for {
		c.mu.Lock()
		batch := c.takeLocked(l, c.ops, false)
		c.mu.Unlock()
		if len(batch) == 0 {
			c.mu.Lock()
			l.waiting = false
			c.mu.Unlock()
			return nil
		}
		priority, writes := budgetFor(batch)
		writes, err := c.client.budget.AcquireUpTo(ctx, priority, len(batch[0].Then), writes)
		if err != nil {
			continue // the context never ends
		}
		c.mu.Lock()
		batch = c.takeLocked(l, writes, true)
		l.waiting = false
		c.startLocked(l)
		c.mu.Unlock()
		return batch
	}
}

// budgetFor is what a transaction of the writes takes of the budget.
func budgetFor(batch []*queuedWrite) (p Priority, writes int) {
	p = priorities
	for _, w := range batch {
		p, writes = min(p, w.Priority), writes+len(w.Then)
	}
	return p, writes
}

// dependsOn tells whether the write changes one of the keys, or depends on one.
func (w *Write) dependsOn(changed map[string]bool) bool {
	return len(changed) > 0 && (slices.ContainsFunc(w.If, func(c wire.Condition) bool { return changed[c.Key] }) ||
		slices.ContainsFunc(w.Then, func(c wire.Change) bool { return changed[c.Put+c.Delete] }))
}

// takeLocked chooses the writes of the next transaction with at most so many
// changes, the most urgent first, and removes them from the queue if it is to.
// Those that cannot succeed any more end here. Together they must do what they
// would do one after the other: a write waits if one before it changes a key that
// it changes too or depends on. In one transaction both would find the key as it
// was: a job was cancelled and done at once.
func (c *Committer) takeLocked(l *writeQueue, maxOps int, remove bool) []*queuedWrite {
	l.queue = slices.DeleteFunc(l.queue, func(w *queuedWrite) bool {
		switch {
		case w.Fresh != nil && !w.Fresh():
			w.done <- commitResult{err: &Conflict{}}
			return true
		case w.ctx.Err() != nil:
			// Whoever asked has given up, and asks again: what nobody waits
			// for must not use up what others do.
			w.done <- commitResult{err: errors.Join(ErrUnavailable, w.ctx.Err())}
			return true
		}
		return false
	})
	var batch, rest []*queuedWrite
	changed := map[string]bool{}
	ops, conditions, size := 0, 0, 0
	for p := range priorities {
		for _, w := range l.queue {
			if w.Priority != p {
				continue
			}
			bytes := 0
			for _, change := range w.Then {
				bytes += len(change.Value) + len(change.Put) + len(change.Delete) + 64
			}
			bytes += 100 * len(w.If)
			fits := ops+len(w.Then) <= maxOps && conditions+len(w.If) <= 4*c.ops && size+bytes <= maxTxnBytes
			lonely := len(batch) > 0 && (w.sendAlone || batch[0].sendAlone)
			if lonely || !fits && (len(batch) > 0 || remove) || w.dependsOn(changed) {
				rest = append(rest, w)
				continue
			}
			for _, change := range w.Then {
				changed[change.Put+change.Delete] = true
			}
			ops, conditions, size = ops+len(w.Then), conditions+len(w.If), size+bytes
			batch = append(batch, w)
		}
	}
	if remove {
		l.queue = rest
	}
	return batch
}

func (c *Committer) run(l *writeQueue) {
	batch := c.next(l)
	defer func() {
		c.mu.Lock()
		l.inFlight--
		c.startLocked(l)
		c.mu.Unlock()
	}()
	backoff := 50 * time.Millisecond
	for len(batch) > 0 {
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
		// The transaction outlives any single writer's context, but not the
		// last one's.
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		revision, err := c.client.send(ctx, txn)
		cancel()
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
			c.splitRejected(l, batch, err)
			return
		default:
			unknown := !errors.Is(err, ErrUnavailable)
			var again []*queuedWrite
			for _, w := range batch {
				// Most often the connection broke, and another path has an answer.
				second := unknown && !w.unknown
				w.unknown = w.unknown || unknown
				if (w.Persist || second) && w.ctx.Err() == nil {
					again = append(again, w)
					continue
				}
				if w.unknown {
					err = errors.Join(ErrUnknown, err)
				}
				w.done <- commitResult{err: err}
			}
			batch = again
			if len(batch) > 0 {
				time.Sleep(backoff)
				backoff = min(2*backoff, time.Second)
			}
		}
		if len(batch) > 0 {
			priority, writes := budgetFor(batch)
			if err := c.client.budget.Acquire(context.Background(), priority, writes); err != nil {
				return // the context never ends
			}
		}
	}
}

// splitRejected never sends a rejected transaction again unchanged: its writes
// go one by one, and one that was rejected alone fails for good. What an earlier
// try without response has done is read back.
func (c *Committer) splitRejected(l *writeQueue, batch []*queuedWrite, err error) {
	if len(batch) == 1 {
		w := batch[0]
		if !w.mayHaveApplied() {
			w.done <- commitResult{err: err}
			return
		}
		if o := c.readBack(w, nil); o.err == nil {
			w.done <- o
			return
		}
		w.done <- commitResult{err: err}
		return
	}
	for _, w := range batch {
		w.sendAlone = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range batch {
		l.insert(w)
	}
}

// resolveConflict ends the writes whose conditions failed and returns the
// others, which go again at once. A write that had no response before may
// have been carried out by that very try, so it is read back: here the
// conflict proves that its conditions have moved on.
func (c *Committer) resolveConflict(batch []*queuedWrite, conflict *Conflict) []*queuedWrite {
	var again []*queuedWrite
	for _, w := range batch {
		var mine []string
		for _, condition := range w.If {
			if conflict.Includes(condition.Key) {
				mine = append(mine, condition.Key)
			}
		}
		switch {
		case len(mine) == 0:
			again = append(again, w)
		case !w.mayHaveApplied():
			w.done <- commitResult{err: &Conflict{Failed: mine}}
		default:
			w.done <- c.readBack(w, mine)
		}
	}
	if len(again) == len(batch) {
		// No key was named that anyone asked about: never loop on that.
		for _, w := range again {
			w.done <- commitResult{err: conflict}
		}
		return nil
	}
	return again
}

// readBack tells whether an earlier try of w was carried out: then every
// change is in place, at one revision for the puts.
func (c *Committer) readBack(w *queuedWrite, failed []string) commitResult {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var revision uint64
	for _, change := range w.Then {
		key := change.Put + change.Delete
		item, err := c.client.Get(ctx, w.Priority, key)
		switch {
		case errors.Is(err, ErrNotFound):
			if change.Put != "" {
				return commitResult{err: &Conflict{Failed: failed}}
			}
		case err != nil:
			return commitResult{err: errors.Join(ErrUnknown, err)}
		case change.Delete != "" || !sameJSON(item.Value, change.Value):
			return commitResult{err: &Conflict{Failed: failed}}
		default:
			revision = max(revision, item.Version)
		}
	}
	return commitResult{revision: revision}
}

func sameJSON(a, b json.RawMessage) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	return reflect.DeepEqual(x, y)
}
