package state

import (
	"context"
	"math"
	"sync"
	"time"
)

// Priority orders the requests of one controller to the state service.
type Priority int

// String names a priority for logs and metrics.
func (p Priority) String() string {
	return [...]string{"urgent", "placement", "safety", "submission", "background"}[p]
}

// The priorities, most important first.
const (
	Urgent     Priority = iota // lease renewals, the epoch
	Placement                  // the journal of placements, one write at a time
	Safety                     // ends of jobs, cancellations, and answers to users
	Submission                 // accepting new jobs
	Background                 // what nobody waits for
	priorities
)

// Budget is this controller's part of the state service's request and write
// limits. Waiters are served by priority, then in order of arrival.
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
	timer          *time.Timer
	pausedTo       time.Time
	usage          [priorities]Usage
	window         Usage // since Window was last called
}

// Window returns what was used since it was last called, of all priorities, and
// how long what somebody waits for has waited; what still does, until now.
func (b *Budget) Window() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	w := b.window
	b.window = Usage{}
	for p := range priorities {
		if b.capped(p) {
			continue
		}
		for _, waiter := range b.waiting[p] {
			w.Longest = max(w.Longest, now.Sub(waiter.since))
		}
	}
	return w
}

// capped tells whether a priority waits without being short of anything: it may
// not use all, or nobody waits for it.
func (b *Budget) capped(p Priority) bool {
	return p == Background || b.priorityWrites[p].rate < b.writes.rate
}

// Usage is what was asked of the budget.
type Usage struct {
	Requests, Writes int
	Waited, Longest  time.Duration // for the budget, all together and at most
}

func (u *Usage) add(writes int, waited time.Duration) {
	u.Requests, u.Writes = u.Requests+1, u.Writes+writes
	u.Waited, u.Longest = u.Waited+waited, max(u.Longest, waited)
}

// Usage returns what was used under each priority since it was last asked.
func (b *Budget) Usage() [priorities]Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	usage := b.usage
	b.usage = [priorities]Usage{}
	return usage
}

type bucket struct {
	rate, level, burst float64
	last               time.Time
}

func (b *bucket) refill(now time.Time) {
	b.level = min(b.burst, b.level+b.rate*now.Sub(b.last).Seconds())
	b.last = now
}

// setRate changes the rate and keeps the burst at one second's worth, which
// is what the service allows, but never less than one transaction needs.
func (b *bucket) setRate(rate, least float64) {
	now := time.Now()
	b.refill(now)
	b.rate, b.burst = rate, max(rate, least)
	b.level = min(b.level, b.burst)
}

type waiter struct {
	since       time.Time
	least, most float64 // writes
	granted     float64
	ready       chan struct{}
}

// NewBudget makes a budget of so many requests and writes a second. largest
// is the number of writes of the largest transaction.
func NewBudget(requests, writes float64, largest int) *Budget {
	now := time.Now()
	b := &Budget{}
	b.requests = bucket{rate: requests, level: max(requests, 1), burst: max(requests, 1), last: now}
	burst := max(writes, float64(largest))
	b.writes = bucket{rate: writes, level: burst, burst: burst, last: now}
	for p := range b.priorityWrites {
		b.priorityWrites[p] = b.writes
	}
	return b
}

// Rates are requests and writes a second.
type Rates struct {
	Requests, Writes float64
	// Of the writes, how many those priorities may use. The others may use all.
	Submission, Background float64
}

// writesOf is how many writes a priority may use.
func (r *Rates) writesOf(p Priority) float64 {
	switch p {
	case Submission:
		return r.Submission
	case Background:
		return r.Background
	}
	return r.Writes
}

// SetRates changes the budget, for example when this controller becomes the
// leader.
func (b *Budget) SetRates(r Rates, largest int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests.setRate(r.Requests, 1)
	b.writes.setRate(r.Writes, float64(largest))
	for p := range b.priorityWrites {
		b.priorityWrites[p].setRate(r.writesOf(Priority(p)), float64(largest))
	}
}

// Pause holds every request back for a while: the service said 429, so
// together the controllers asked too much.
func (b *Budget) Pause(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if until := time.Now().Add(d); until.After(b.pausedTo) {
		b.pausedTo = until
	}
}

// Acquire waits for one request with so many writes.
func (b *Budget) Acquire(ctx context.Context, p Priority, writes int) error {
	_, err := b.AcquireUpTo(ctx, p, writes, writes)
	return err
}

// AcquireUpTo waits for one request with at least so many writes, and takes as
// many more as there are at that moment, up to most. Waiting for a full
// transaction would hold the first of its writes up for the last.
func (b *Budget) AcquireUpTo(ctx context.Context, p Priority, least, most int) (writes int, err error) {
	w := &waiter{since: time.Now(), least: float64(least), most: float64(most), ready: make(chan struct{})}
	b.mu.Lock()
	b.waiting[p] = append(b.waiting[p], w)
	b.serveLocked()
	b.mu.Unlock()
	select {
	case <-w.ready:
		return int(w.granted), nil
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.waiting[p] {
		if other == w {
			b.waiting[p] = append(b.waiting[p][:i], b.waiting[p][i+1:]...)
			return 0, ctx.Err()
		}
	}
	return int(w.granted), nil // served at the last moment
}

// serveLocked lets in whom the buckets allow and sets the timer for the next.
// Whoever waits for writes holds up all that come after it and want some, but
// not those that only ask.
func (b *Budget) serveLocked() {
	now := time.Now()
	b.requests.refill(now)
	b.writes.refill(now)
	for p := range b.priorityWrites {
		b.priorityWrites[p].refill(now)
	}
	saving := false // somebody waits for writes
	for p := range b.waiting {
		var still []*waiter
		for i, w := range b.waiting[p] {
			requests, writes := b.shortfall(now, Priority(p), w)
			if requests > 0 {
				b.wakeIn(requests)
				b.waiting[p] = append(still, b.waiting[p][i:]...)
				return
			}
			if w.least > 0 && (saving || writes > 0) {
				if !saving {
					saving = true
					b.wakeIn(writes)
				}
				still = append(still, w)
				continue
			}
			w.granted = w.least
			if !saving {
				w.granted = max(w.least, min(w.most, math.Floor(b.availableTo(Priority(p)))))
			}
			b.requests.level--
			b.writes.level -= w.granted
			b.priorityWrites[p].level -= w.granted
			waited := now.Sub(w.since)
			b.usage[p].add(int(w.granted), waited)
			if b.capped(Priority(p)) {
				waited = 0
			}
			b.window.add(int(w.granted), waited)
			close(w.ready)
		}
		b.waiting[p] = still
	}
}

// availableTo is how many writes a priority may use now.
func (b *Budget) availableTo(p Priority) float64 {
	return min(b.writes.level, b.priorityWrites[p].level)
}

// shortfall tells how long a waiter has to wait for a request, and for its
// writes.
func (b *Budget) shortfall(now time.Time, p Priority, w *waiter) (requests, writes time.Duration) {
	requests = max(b.pausedTo.Sub(now), b.requests.wait(1))
	if w.least > 0 {
		writes = max(b.writes.wait(w.least), b.priorityWrites[p].wait(w.least))
	}
	return requests, writes
}

// wait is how long it takes until the bucket holds so much.
func (b *bucket) wait(amount float64) time.Duration {
	lack := amount - b.level
	if lack <= 0 {
		return 0
	}
	return time.Duration(lack/b.rate*float64(time.Second)) + time.Millisecond
}

func (b *Budget) wakeIn(d time.Duration) {
	if b.timer != nil {
		b.timer.Stop()
	}
	b.timer = time.AfterFunc(d, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.serveLocked()
	})
}
