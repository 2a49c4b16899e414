package state

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"
)

// Budget is this controller's part of the key-value store's request and write
// limits. Waiters are served by priority, then in order of arrival. It is safe
// for concurrent use.
//
// x/time/rate has no priorities and counts one resource only, so the two
// buckets are kept here.
type Budget struct {
	mu       sync.Mutex
	requests bucket
	writes   bucket
	// priorityWrites are what of the writes a priority may use by itself.
	priorityWrites [priorities]bucket
	waiting        [priorities][]*waiter
	timer          *time.Timer // serves the waiters again
	pausedUntil    time.Time
	usage          [priorities]Usage
	window         Usage // since TotalUsage was last called
}

// waiter is a request that waits for the budget.
type waiter struct {
	since                time.Time
	minWrites, maxWrites float64
	granted              float64       // writes, set before ready is closed
	ready                chan struct{} // closed once the request may be sent
}

// NewBudget makes a budget of so many requests and writes a second.
// maxTxnWrites is the number of writes of the largest transaction.
func NewBudget(requests, writes float64, maxTxnWrites int) *Budget {
	now := time.Now()
	b := &Budget{
		requests: newBucket(requests, max(requests, 1), now),
		writes:   newBucket(writes, max(writes, float64(maxTxnWrites)), now),
	}
	for p := range b.priorityWrites {
		b.priorityWrites[p] = b.writes
	}
	return b
}

// Rates are limits of requests and writes, a second.
type Rates struct {
	Requests, Writes float64
	// Of the writes, how many those priorities may use. The others may use all.
	SubmissionWrites, BackgroundWrites float64
}

// writesFor returns how many writes a second a priority may use.
func (r *Rates) writesFor(p Priority) float64 {
	switch p {
	case Submission:
		return r.SubmissionWrites
	case Background:
		return r.BackgroundWrites
	}
	return r.Writes
}

// SetRates changes the budget, for example when this controller becomes the
// leader. maxTxnWrites is the number of writes of the largest transaction.
func (b *Budget) SetRates(r Rates, maxTxnWrites int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests.setRate(r.Requests, 1)
	b.writes.setRate(r.Writes, float64(maxTxnWrites))
	for p := range b.priorityWrites {
		b.priorityWrites[p].setRate(r.writesFor(Priority(p)), float64(maxTxnWrites))
	}
}

// Pause holds every request back for a while: the service said 429, so
// together the controllers asked too much.
func (b *Budget) Pause(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if until := time.Now().Add(d); until.After(b.pausedUntil) {
		b.pausedUntil = until
	}
}

// Acquire waits for one request with so many writes. The error is that of ctx.
func (b *Budget) Acquire(ctx context.Context, p Priority, writes int) error {
	_, err := b.AcquireUpTo(ctx, p, writes, writes)
	return err
}

// AcquireUpTo waits for one request with at least minWrites writes, and takes as
// many more as there are at that moment, up to maxWrites. It returns how many it
// took; the error is that of ctx. Waiting for a full transaction would hold the
// first of its writes up for the last.
func (b *Budget) AcquireUpTo(ctx context.Context, p Priority, minWrites, maxWrites int) (granted int, err error) {
	w := &waiter{since: time.Now(), minWrites: float64(minWrites), maxWrites: float64(maxWrites), ready: make(chan struct{})}
	b.enqueue(p, w)
	select {
	case <-w.ready:
		return int(w.granted), nil
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.waiting[p], w)
	if i < 0 {
		return int(w.granted), nil // served at the last moment
	}
	b.waiting[p] = slices.Delete(b.waiting[p], i, i+1)
	return 0, ctx.Err()
}

func (b *Budget) enqueue(p Priority, w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting[p] = append(b.waiting[p], w)
	b.serveLocked()
}

// serveLocked serves the waiters that the buckets allow and sets the timer for
// the next. One that waits for writes holds up all that come after it and want
// some, but not those that want none.
func (b *Budget) serveLocked() {
	now := time.Now()
	b.refillLocked(now)
	saving := false // a waiter waits for writes
	for p := range priorities {
		var remaining []*waiter
		for i, w := range b.waiting[p] {
			untilRequest, untilWrites := b.shortfall(now, p, w)
			if untilRequest > 0 {
				b.serveAgainIn(untilRequest)
				b.waiting[p] = append(remaining, b.waiting[p][i:]...)
				return
			}
			if w.minWrites > 0 && (saving || untilWrites > 0) {
				if !saving {
					saving = true
					b.serveAgainIn(untilWrites)
				}
				remaining = append(remaining, w)
				continue
			}
			b.grantLocked(now, p, w, saving)
		}
		b.waiting[p] = remaining
	}
}

func (b *Budget) refillLocked(now time.Time) {
	b.requests.refill(now)
	b.writes.refill(now)
	for p := range b.priorityWrites {
		b.priorityWrites[p].refill(now)
	}
}

// shortfall returns how long a waiter has to wait for a request, and for its
// writes.
func (b *Budget) shortfall(now time.Time, p Priority, w *waiter) (untilRequest, untilWrites time.Duration) {
	untilRequest = max(b.pausedUntil.Sub(now), b.requests.timeUntil(1))
	if w.minWrites > 0 {
		untilWrites = max(b.writes.timeUntil(w.minWrites), b.priorityWrites[p].timeUntil(w.minWrites))
	}
	return untilRequest, untilWrites
}

// grantLocked serves a waiter: with as many writes as there are, or, while
// another one saves up for its own, with no more than it needs.
func (b *Budget) grantLocked(now time.Time, p Priority, w *waiter, saving bool) {
	w.granted = w.minWrites
	if !saving {
		available := min(b.writes.level, b.priorityWrites[p].level)
		w.granted = max(w.minWrites, min(w.maxWrites, math.Floor(available)))
	}
	b.requests.level--
	b.writes.level -= w.granted
	b.priorityWrites[p].level -= w.granted
	b.recordUsage(p, int(w.granted), now.Sub(w.since))
	close(w.ready)
}

func (b *Budget) serveAgainIn(d time.Duration) {
	if b.timer != nil {
		b.timer.Stop()
	}
	b.timer = time.AfterFunc(d, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.serveLocked()
	})
}
