package state

import "time"

// bucket is a token bucket. Its level may become negative. The rate is in tokens
// per second; level and burst are in tokens.
type bucket struct {
	rate, level, burst float64
	refilledAt         time.Time
}

// newBucket returns a full bucket.
func newBucket(rate, burst float64, now time.Time) bucket {
	return bucket{rate: rate, level: burst, burst: burst, refilledAt: now}
}

func (b *bucket) refill(now time.Time) {
	b.level = min(b.burst, b.level+b.rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
}

// setRate changes the rate. It sets the burst to the tokens of one second, which
// is the burst that the store allows, but at least to minBurst, so that the
// largest transaction fits.
func (b *bucket) setRate(rate, minBurst float64) {
	b.refill(time.Now())
	b.rate, b.burst = rate, max(rate, minBurst)
	b.level = min(b.level, b.burst)
}

// timeUntil returns how long it takes until the bucket holds the given number of
// tokens, rounded up.
func (b *bucket) timeUntil(tokens float64) time.Duration {
	missing := tokens - b.level
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing/b.rate*float64(time.Second)) + time.Millisecond
}
