package state_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"heronwick/internal/standin"
	"heronwick/internal/state"
	"heronwick/wire"
)

func put(key string, version uint64, value int) state.Write {
	text, _ := json.Marshal(value)
	return state.Write{If: []wire.Condition{{Key: key, Version: version}}, Then: []wire.Change{{Put: key, Value: text}}}
}

// limits holds the limits of the key-value store.
type limits struct {
	requests, writes float64 // per second
	txnChanges       int     // per transaction
}

var (
	usualLimits       = limits{requests: 150, writes: 60, txnChanges: 16}
	oneWritePerSecond = limits{requests: 100, writes: 1, txnChanges: 1}
)

// withCommitter runs f in a synctest bubble with a Committer that writes to an empty
// store.
func withCommitter(t *testing.T, l limits, f func(t *testing.T, service *standin.State, c *state.Committer)) {
	synctest.Test(t, func(t *testing.T) {
		service := standin.NewState()
		client := state.NewClient(service.Connect("a"), state.NewBudget(l.requests, l.writes, l.txnChanges), state.NewTxnLimits(l.txnChanges, slog.New(slog.DiscardHandler)))
		f(t, service, state.NewCommitter(client))
	})
}

// Grouped writes have the effects of some serial order: of two writes that conflict
// one fails. In the same transaction the conditions of both would hold, since both
// would be compared with the old version of the key.
func TestGroupCommitIsSerializable(t *testing.T) {
	withCommitter(t, usualLimits, func(t *testing.T, service *standin.State, c *state.Committer) {
		ctx := context.Background()
		var wg sync.WaitGroup
		for i := range 30 {
			errs := make([]error, 3)
			key := fmt.Sprintf("k%d", i)
			for first := range 3 { // the limit of transactions in flight, so that the next writes are grouped
				wg.Go(func() { _, _ = c.Commit(ctx, put(fmt.Sprintf("%s/first%d", key, first), 0, 0)) })
				time.Sleep(time.Millisecond)
			}
			// Two writes change the same key, the third has a condition on it.
			wg.Go(func() { _, errs[0] = c.Commit(ctx, put(key, 0, 1)) })
			wg.Go(func() { _, errs[1] = c.Commit(ctx, put(key, 0, 2)) })
			third := put(key+"/other", 0, 3)
			third.If = append(third.If, wire.Condition{Key: key})
			wg.Go(func() { _, errs[2] = c.Commit(ctx, third) })
			wg.Wait()
			if (errs[0] == nil) == (errs[1] == nil) {
				t.Errorf("two conflicting writes of one key: got errors %v and %v, want one of them to fail", errs[0], errs[1])
			}
			changed, depending := service.Version(key), service.Version(key+"/other")
			if errs[2] == nil && depending > changed {
				t.Errorf("a write that requires a key to be absent was made at revision %d, after the key was written at %d", depending, changed)
			}
		}
	})
}

// Many writes share few transactions, and a conflict fails only the write that caused
// it.
func TestConflictFailsOnlyItsOwnWrite(t *testing.T) {
	withCommitter(t, usualLimits, func(t *testing.T, service *standin.State, c *state.Committer) {
		ctx := context.Background()
		if _, err := c.Commit(ctx, put("taken", 0, 1)); err != nil {
			t.Fatal(err)
		}
		before := service.Requests
		var wg sync.WaitGroup
		errs := make([]error, 20)
		for i := range errs {
			key := fmt.Sprintf("k%d", i)
			if i == 7 {
				key = "taken"
			}
			wg.Go(func() { _, errs[i] = c.Commit(ctx, put(key, 0, i)) })
		}
		wg.Wait()
		for i, err := range errs {
			var conflict *state.Conflict
			if i == 7 && !errors.As(err, &conflict) || i != 7 && err != nil {
				t.Errorf("write %d: got error %v, want a conflict for write 7 only", i, err)
			}
		}
		if n := service.Requests - before; n > 8 {
			t.Errorf("20 writes took %d requests, want at most 8", n)
		}
	})
}

// A write that can no longer succeed when there is budget for it fails without using
// any.
func TestStaleWriteUsesNoBudget(t *testing.T) {
	withCommitter(t, usualLimits, func(t *testing.T, service *standin.State, c *state.Committer) {
		w := put("k", 0, 1)
		w.StillValid = func() bool { return false }
		_, err := c.Commit(context.Background(), w)
		var conflict *state.Conflict
		if !errors.As(err, &conflict) || service.Requests != 0 {
			t.Errorf("got error %v after %d requests, want a conflict without a request", err, service.Requests)
		}
		if _, err := c.Commit(context.Background(), put("k", 0, 1)); err != nil {
			t.Errorf("the next write failed: %v", err)
		}
	})
}

// A write that was dropped because its epoch ended, and is retried under the next
// epoch with the original queue time, is sent before writes that were queued later.
// Its wait counts from the original queue time.
func TestRetriedWriteKeepsQueuePosition(t *testing.T) {
	withCommitter(t, oneWritePerSecond, func(t *testing.T, service *standin.State, c *state.Committer) {
		var outdated atomic.Bool
		began := time.Now()
		commit := func(key string, since time.Time, current func() bool) error {
			fence := state.FencingCondition{Condition: wire.Condition{Key: "epoch"}, IsCurrent: current, QueuedAt: since}
			w := put(key, 0, 1)
			w.RetryUntilAnswered = true
			_, err := c.Commit(context.Background(), fence.Bind(w))
			return err
		}
		always := func() bool { return true }
		var wg sync.WaitGroup
		for i := range 5 { // sent one after the other, one per second
			wg.Go(func() { _ = commit(fmt.Sprintf("before%d", i), time.Time{}, always) })
			time.Sleep(time.Millisecond)
		}
		wg.Go(func() {
			if err := commit("end", time.Time{}, func() bool { return !outdated.Load() }); err == nil {
				t.Error("a write was made under an outdated epoch")
			}
			if err := commit("end", began.Add(5*time.Millisecond), always); err != nil {
				t.Error(err)
			}
		})
		for i := range 5 {
			time.Sleep(time.Millisecond)
			wg.Go(func() { _ = commit(fmt.Sprintf("after%d", i), time.Time{}, always) })
		}
		time.Sleep(2 * time.Second)
		outdated.Store(true)
		time.Sleep(2 * time.Second)
		if waited := c.LongestWait(state.Background); waited < 3*time.Second {
			t.Errorf("the longest wait is %v, want at least 3 s", waited)
		}
		wg.Wait()
		if service.Version("end") > service.Version("after0") {
			t.Error("the retried write was made after a write that was queued later")
		}
	})
}

// The longest wait covers all queued writes of the priority and of more important
// ones, not only those of the transaction that waits for budget.
func TestLongestWaitByPriority(t *testing.T) {
	withCommitter(t, oneWritePerSecond, func(t *testing.T, _ *standin.State, c *state.Committer) {
		ctx, cancel := context.WithCancel(context.Background())
		for i := range 10 {
			w := put(fmt.Sprintf("k%d", i), 0, i)
			w.Priority = state.Safety
			if i == 0 {
				w.Priority = state.Submission
			}
			go func() { _, _ = c.Commit(ctx, w) }()
		}
		time.Sleep(5 * time.Second)
		if waited := c.LongestWait(state.Safety); waited != 5*time.Second {
			t.Errorf("the longest wait of Safety is %v, want 5 s", waited)
		}
		if waited := c.LongestWait(state.Placement); waited != 0 {
			t.Errorf("the longest wait of Placement is %v, want 0", waited)
		}
		time.Sleep(10 * time.Second)
		if waited := c.LongestWait(state.Safety); waited != 0 {
			t.Errorf("the longest wait is %v after all writes were made, want 0", waited)
		}
		cancel()
	})
}
