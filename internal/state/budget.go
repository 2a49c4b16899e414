package state

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"
)

// Budget enforces this controller's share of the key-value store's limits on
// requests and writes per second. Waiters are served by priority, then in order of
// arrival. It is safe for concurrent use.
//
// It does not use x/time/rate, which has no priorities and limits only one
// resource.
type Budget struct {
	mu       sync.Mutex
	requests bucket
	writes   bucket
	// priorityWrites limits the writes of each priority, in addition to writes,
	// which limits their sum.
	priorityWrites [priorities]bucket
	waiting        [priorities][]*waiter
	timer          *time.Timer // calls serveLocked when the next waiter can be served
	pausedUntil    time.Time
	usage          [priorities]Usage
	total          Usage // since TotalUsage was last called
}

// waiter is a request that waits for budget.
type waiter struct {
	enqueuedAt           time.Time
	minWrites, maxWrites float64
	granted              float64       // number of writes granted; set before ready is closed
	ready                chan struct{} // closed once the request may be sent
}

// NewBudget returns a budget with limits in requests and writes per second.
// maxTxnWrites is the number of writes in the largest transaction.
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

// Rates holds limits in requests and writes per second.
type Rates struct {
	Requests, Writes float64
	// Limits on the writes of the priorities Submission and Background. The other
	// priorities may use all of Writes.
	SubmissionWrites, BackgroundWrites float64
}

// writeRate returns how many writes per second a priority may use.
func (r *Rates) writeRate(p Priority) float64 {
	switch p {
	case Submission:
		return r.SubmissionWrites
	case Background:
		return r.BackgroundWrites
	}
	return r.Writes
}

// SetRates changes the limits, for example when this controller becomes the
// leader. maxTxnWrites is the number of writes in the largest transaction.
func (b *Budget) SetRates(r Rates, maxTxnWrites int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests.setRate(r.Requests, 1)
	b.writes.setRate(r.Writes, float64(maxTxnWrites))
	for p := range b.priorityWrites {
		b.priorityWrites[p].setRate(r.writeRate(Priority(p)), float64(maxTxnWrites))
	}
}

// Pause holds back all requests for d. It is called after a response with status
// 429, which means that the controllers together have exceeded the store's limits.
func (b *Budget) Pause(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if until := time.Now().Add(d); until.After(b.pausedUntil) {
		b.pausedUntil = until
	}
}

// Acquire waits until the budget allows one request with the given number of
// writes. The error is that of ctx.
func (b *Budget) Acquire(ctx context.Context, p Priority, writes int) error {
	_, err := b.AcquireUpTo(ctx, p, writes, writes)
	return err
}

// AcquireUpTo waits until the budget allows one request with at least minWrites
// writes, and grants as many more as are available at that moment, up to maxWrites.
// It returns the number granted; the error is that of ctx. It does not wait for
// maxWrites, which would delay the first write of a transaction until there is
// budget for the last.
func (b *Budget) AcquireUpTo(ctx context.Context, p Priority, minWrites, maxWrites int) (granted int, err error) {
	w := &waiter{enqueuedAt: time.Now(), minWrites: float64(minWrites), maxWrites: float64(maxWrites), ready: make(chan struct{})}
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
		return int(w.granted), nil // granted at the same time as ctx ended
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

// serveLocked serves the waiters that the buckets allow and sets the timer for the
// next one. A waiter that lacks writes blocks all later waiters that need writes,
// but not those that need none.
func (b *Budget) serveLocked() {
	now := time.Now()
	b.refillLocked(now)
	writesBlocked := false // an earlier waiter lacks writes
	for p := range priorities {
		var stillWaiting []*waiter
		for i, w := range b.waiting[p] {
			untilRequest, untilWrites := b.waitTimes(now, p, w)
			if untilRequest > 0 {
				b.scheduleServe(untilRequest)
				b.waiting[p] = append(stillWaiting, b.waiting[p][i:]...)
				return
			}
			if w.minWrites > 0 && (writesBlocked || untilWrites > 0) {
				if !writesBlocked {
					writesBlocked = true
					b.scheduleServe(untilWrites)
				}
				stillWaiting = append(stillWaiting, w)
				continue
			}
			b.grantLocked(now, p, w, writesBlocked)
		}
		b.waiting[p] = stillWaiting
	}
}

func (b *Budget) refillLocked(now time.Time) {
	b.requests.refill(now)
	b.writes.refill(now)
	for p := range b.priorityWrites {
		b.priorityWrites[p].refill(now)
	}
}

// waitTimes returns how long it takes until the budget allows the waiter's request,
// and until it allows the writes that it needs.
func (b *Budget) waitTimes(now time.Time, p Priority, w *waiter) (untilRequest, untilWrites time.Duration) {
	untilRequest = max(b.pausedUntil.Sub(now), b.requests.timeUntil(1))
	if w.minWrites > 0 {
		untilWrites = max(b.writes.timeUntil(w.minWrites), b.priorityWrites[p].timeUntil(w.minWrites))
	}
	return untilRequest, untilWrites
}

// grantLocked serves a waiter. It grants as many writes as are available, up to
// the waiter's maximum, or only the minimum while an earlier waiter lacks writes.
func (b *Budget) grantLocked(now time.Time, p Priority, w *waiter, writesBlocked bool) {
	w.granted = w.minWrites
	if !writesBlocked {
		available := min(b.writes.level, b.priorityWrites[p].level)
		w.granted = max(w.minWrites, min(w.maxWrites, math.Floor(available)))
	}
	b.requests.level--
	b.writes.level -= w.granted
	b.priorityWrites[p].level -= w.granted
	b.recordUsage(p, int(w.granted), now.Sub(w.enqueuedAt))
	close(w.ready)
}

func (b *Budget) scheduleServe(d time.Duration) {
	if b.timer != nil {
		b.timer.Stop()
	}
	b.timer = time.AfterFunc(d, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.serveLocked()
	})
}
