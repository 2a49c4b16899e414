package state_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"heronwick/internal/state"
)

// While the budget is exhausted, requests are served in the order of their priority,
// whatever the order of their arrival.
func TestBudgetServesByPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := state.NewBudget(10, 10, 1)
		ctx := context.Background()
		for range 10 {
			if err := b.Acquire(ctx, state.Urgent, 1); err != nil {
				t.Fatal(err)
			}
		}
		var mu sync.Mutex
		var order []state.Priority
		var wg sync.WaitGroup
		began := time.Now()
		for _, p := range []state.Priority{state.Submission, state.Placement, state.Urgent, state.Safety} {
			wg.Go(func() {
				if err := b.Acquire(ctx, p, 1); err != nil {
					t.Error(err)
				}
				mu.Lock()
				order = append(order, p)
				mu.Unlock()
			})
			synctest.Wait()
		}
		wg.Wait()
		for i := 1; i < len(order); i++ {
			if order[i] < order[i-1] {
				t.Errorf("requests were served in the order %v, want them by priority", order)
			}
		}
		if took := time.Since(began); took < 300*time.Millisecond {
			t.Errorf("four requests took %v at 10 per second, want at least 300 ms", took)
		}
	})
}

// Background writes are limited to their own rate, and their waits are not reported
// in TotalUsage, where they would look like a shortage of budget.
func TestBackgroundWritesAreCapped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := state.NewBudget(100, 10, 2)
		b.SetRates(state.Rates{Requests: 100, Writes: 10, SubmissionWrites: 10, BackgroundWrites: 1}, 2)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		written := 0
		for b.Acquire(ctx, state.Background, 1) == nil {
			written++
		}
		if written < 20 || written > 24 {
			t.Errorf("%d background writes in 20 s at one per second, want 20 to 24", written)
		}
		if longest := b.TotalUsage().LongestWait; longest > 0 {
			t.Errorf("TotalUsage reports a wait of %v, want none for background writes", longest)
		}
		if err := b.Acquire(context.Background(), state.Submission, 5); err != nil {
			t.Error(err)
		}
	})
}

// Submissions are limited to their own rate, which is lowered while another
// controller is late with accepted jobs. More important writes may use the full rate.
func TestSubmissionWritesAreCapped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := state.NewBudget(100, 10, 2)
		b.SetRates(state.Rates{Requests: 100, Writes: 10, SubmissionWrites: 5, BackgroundWrites: 10}, 2)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		submitted, ended := 0, 0
		var wg sync.WaitGroup
		wg.Go(func() {
			for b.Acquire(ctx, state.Submission, 1) == nil {
				submitted++
			}
		})
		wg.Go(func() {
			for range 60 {
				time.Sleep(250 * time.Millisecond)
				if b.Acquire(ctx, state.Safety, 1) == nil {
					ended++
				}
			}
		})
		wg.Wait()
		if submitted < 100 || submitted > 110 || ended != 60 {
			t.Errorf("in 20 s: %d submissions at five per second, want 100 to 110; %d writes of job ends, want 60", submitted, ended)
		}
		if longest := b.TotalUsage().LongestWait; longest > 0 {
			t.Errorf("TotalUsage reports a wait of %v, want none for submissions at their limit", longest)
		}
	})
}

// A request that waits for writes blocks later requests that need writes, but not
// reads: responses to users must not wait for write budget.
func TestReadsAreNotBlockedByWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := state.NewBudget(100, 1, 4)
		ctx := context.Background()
		if n, err := b.AcquireUpTo(ctx, state.Safety, 1, 9); err != nil || n != 4 {
			t.Fatalf("granted %d writes, error %v; want the 4 available", n, err)
		}
		began := time.Now()
		var wrote, submitted time.Duration
		var wg sync.WaitGroup
		wg.Go(func() {
			if err := b.Acquire(ctx, state.Safety, 2); err != nil {
				t.Error(err)
			}
			wrote = time.Since(began)
		})
		synctest.Wait()
		wg.Go(func() {
			if err := b.Acquire(ctx, state.Submission, 1); err != nil {
				t.Error(err)
			}
			submitted = time.Since(began)
		})
		if n, err := b.AcquireUpTo(ctx, state.Submission, 0, 5); err != nil || n != 0 || time.Since(began) > 0 {
			t.Errorf("a read waited for %v and was granted %d writes, error %v; want no wait and no writes", time.Since(began), n, err)
		}
		wg.Wait()
		if wrote > 3*time.Second || submitted < wrote {
			t.Errorf("writes granted after %v, submission after %v; want the writes first and within 3 s", wrote, submitted)
		}
	})
}
