package wait

import (
	"context"
	"time"
)

// Sleep waits for d and returns true, or returns false as soon as ctx ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Every calls f at each interval until ctx ends, and then returns nil. The first call
// is after one interval. Like time.Ticker, it drops ticks while f is running.
func Every(ctx context.Context, interval time.Duration, f func()) error {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			f()
		}
	}
}

// For waits until done is closed. It returns the error of ctx if ctx ends first.
func For(ctx context.Context, done <-chan struct{}) error {
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
