package failovertest

import "time"

// Result is the outcome of a failover test.
type Result struct {
	Handovers int
	Checks    CheckCounts
	// OpenIntents counts the intents that were still open at the end.
	OpenIntents int
	// AfterLeaseExpiry and AfterRemoval hold the time in seconds that each handover took, from
	// the election of the successor until it held the duties. In AfterLeaseExpiry the previous
	// holder stayed a member, so that its lease had to expire; in AfterRemoval it was removed
	// from the epoch.
	AfterLeaseExpiry, AfterRemoval []float64
	// FrozenAt counts the handovers by the point at which the holder was frozen.
	FrozenAt [NumFreezePoints]int
	// TimedOut counts the handovers that took longer than the timeout.
	TimedOut int
}

// Add adds the result of another group.
func (r *Result) Add(other Result) {
	r.Handovers += other.Handovers
	r.OpenIntents += other.OpenIntents
	r.TimedOut += other.TimedOut
	r.AfterLeaseExpiry = append(r.AfterLeaseExpiry, other.AfterLeaseExpiry...)
	r.AfterRemoval = append(r.AfterRemoval, other.AfterRemoval...)
	for point, count := range other.FrozenAt {
		r.FrozenAt[point] += count
	}
	r.Checks.add(other.Checks)
}

// addHandover adds one handover: whether the successor acquired the duties in time, whether
// the previous holder was removed from the epoch, and how long the handover took.
func (r *Result) addHandover(held, removed bool, took time.Duration) {
	switch {
	case !held:
		r.TimedOut++
	case removed:
		r.AfterRemoval = append(r.AfterRemoval, took.Seconds())
	default:
		r.AfterLeaseExpiry = append(r.AfterLeaseExpiry, took.Seconds())
	}
}
