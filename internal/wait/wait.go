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

// Every calls f at regular times until ctx ends. Times that come while f takes longer
// are left out.
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
