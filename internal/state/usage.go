package state

import "time"

// Usage is what was taken of a Budget.
type Usage struct {
	Requests, Writes       int
	TotalWait, LongestWait time.Duration // for the budget: the sum and the maximum
}

func (u *Usage) add(writes int, waited time.Duration) {
	u.Requests++
	u.Writes += writes
	u.TotalWait += waited
	u.LongestWait = max(u.LongestWait, waited)
}

// UsageByPriority returns what was used under each priority since it was last called.
func (b *Budget) UsageByPriority() [priorities]Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	usage := b.usage
	b.usage = [priorities]Usage{}
	return usage
}

// TotalUsage returns what was used under all priorities since it was last called.
// LongestWait covers requests that still wait, too; waits of capped priorities count
// as none.
func (b *Budget) TotalUsage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	window := b.window
	b.window = Usage{}
	for p := range priorities {
		if b.capped(p) {
			continue
		}
		for _, w := range b.waiting[p] {
			window.LongestWait = max(window.LongestWait, now.Sub(w.since))
		}
	}
	return window
}

// recordUsage records what a request took.
func (b *Budget) recordUsage(p Priority, writes int, waited time.Duration) {
	b.usage[p].add(writes, waited)
	if b.capped(p) {
		waited = 0
	}
	b.window.add(writes, waited)
}

// capped reports whether waiting under a priority does not mean that the budget
// is short: it may not use all of it, or nobody waits for its requests.
func (b *Budget) capped(p Priority) bool {
	return p == Background || b.priorityWrites[p].rate < b.writes.rate
}
