package state

import "time"

// bucket is a token bucket. Its level may become negative.
type bucket struct {
	rate, level, burst float64 // tokens a second, tokens, tokens
	refilledAt         time.Time
}

// newBucket makes a full bucket.
func newBucket(rate, burst float64, now time.Time) bucket {
	return bucket{rate: rate, level: burst, burst: burst, refilledAt: now}
}

func (b *bucket) refill(now time.Time) {
	b.level = min(b.burst, b.level+b.rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
}

// setRate changes the rate and keeps the burst at one second's worth, which is
// what the service allows, but never less than one transaction needs.
func (b *bucket) setRate(rate, minBurst float64) {
	b.refill(time.Now())
	b.rate, b.burst = rate, max(rate, minBurst)
	b.level = min(b.level, b.burst)
}

// timeUntil returns how long it takes until the bucket holds so many tokens,
// rounded up.
func (b *bucket) timeUntil(tokens float64) time.Duration {
	missing := tokens - b.level
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing/b.rate*float64(time.Second)) + time.Millisecond
}
