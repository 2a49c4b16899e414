package state

import "time"

// Usage counts what was granted from a Budget, and how long requests waited for it.
type Usage struct {
	Requests, Writes       int
	TotalWait, LongestWait time.Duration
}

func (u *Usage) add(writes int, waited time.Duration) {
	u.Requests++
	u.Writes += writes
	u.TotalWait += waited
	u.LongestWait = max(u.LongestWait, waited)
}

// UsageByPriority returns the usage by each priority since the previous call.
func (b *Budget) UsageByPriority() [priorities]Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	usage := b.usage
	b.usage = [priorities]Usage{}
	return usage
}

// TotalUsage returns the usage by all priorities since the previous call. Its
// LongestWait includes requests that are still waiting. Waits of Background requests,
// and of priorities that may not use all writes, count as zero.
func (b *Budget) TotalUsage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	total := b.total
	b.total = Usage{}
	for p := range priorities {
		if b.waitExpected(p) {
			continue
		}
		for _, w := range b.waiting[p] {
			total.LongestWait = max(total.LongestWait, now.Sub(w.enqueuedAt))
		}
	}
	return total
}

// recordUsage adds a request that was granted to the usage of its priority and to
// the total.
func (b *Budget) recordUsage(p Priority, writes int, waited time.Duration) {
	b.usage[p].add(writes, waited)
	if b.waitExpected(p) {
		waited = 0
	}
	b.total.add(writes, waited)
}

// waitExpected reports whether a wait by requests of a priority does not show that
// the budget is too small: either the priority may not use the whole budget, or no
// caller is blocked by its requests.
func (b *Budget) waitExpected(p Priority) bool {
	return p == Background || b.priorityWrites[p].rate < b.writes.rate
}
