package state_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
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

func newCommitter(s *standin.State) (*state.Client, *state.Committer) {
	client := state.NewClient(s.Connect("a"), state.NewBudget(150, 60, 16))
	return client, state.NewCommitter(client, 16)
}

// Of writes that wait together, one that another makes impossible fails as it
// would after it: in one transaction both would find the key as it was.
func TestGroupCommitIsOneAfterTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewState()
		_, c := newCommitter(s)
		ctx := context.Background()
		var wg sync.WaitGroup
		for i := range 30 {
			won := make([]error, 3)
			key := fmt.Sprintf("k%d", i)
			for j := range 3 { // as many as may be under way, so that the others wait
				wg.Go(func() { _, _ = c.Commit(ctx, put(fmt.Sprintf("%s/first%d", key, j), 0, 0)) })
				time.Sleep(time.Millisecond)
			}
			// Two change the same key, the third depends on it.
			wg.Go(func() { _, won[0] = c.Commit(ctx, put(key, 0, 1)) })
			wg.Go(func() { _, won[1] = c.Commit(ctx, put(key, 0, 2)) })
			third := put(key+"/other", 0, 3)
			third.If = append(third.If, wire.Condition{Key: key})
			wg.Go(func() { _, won[2] = c.Commit(ctx, third) })
			wg.Wait()
			if (won[0] == nil) == (won[1] == nil) {
				t.Errorf("of two writes of one key that conflict, got %v and %v", won[0], won[1])
			}
			if a, b := s.Version(key), s.Version(key+"/other"); won[2] == nil && b > a {
				t.Errorf("a write that depends on a key was made at %d, after its change at %d", b, a)
			}
		}
	})
}

// A transaction that is rejected since it is too large is never sent again as it
// is: its writes go one by one, and only one that is too large itself fails, also
// if it would be tried until the service answers.
func TestRejectedTransactionIsSplit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewState()
		_, c := newCommitter(s)
		s.LowerLimits(100, 2)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		errs := make([]error, 12)
		var wg sync.WaitGroup
		for i := range errs {
			w := put(fmt.Sprintf("k%d", i), 0, i)
			w.Persist = true
			if i == 5 {
				w.Then[0].Value = json.RawMessage(`"` + strings.Repeat("x", 200) + `"`)
			}
			wg.Go(func() { _, errs[i] = c.Commit(ctx, w) })
		}
		wg.Wait()
		for i, err := range errs {
			if (err != nil) != (i == 5) || i == 5 && !errors.Is(err, state.ErrRejected) {
				t.Errorf("write %d: %v", i, err)
			}
		}
		if s.TooLarge > 4 {
			t.Errorf("%d transactions were rejected: some were sent again as they were", s.TooLarge)
		}
	})
}

// Many writes share few transactions, and one conflict takes out only its
// own write.
func TestGroupCommitWithConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewState()
		_, c := newCommitter(s)
		ctx := context.Background()
		if _, err := c.Commit(ctx, put("taken", 0, 1)); err != nil {
			t.Fatal(err)
		}
		before := s.Requests
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
				t.Errorf("write %d: %v", i, err)
			}
		}
		if n := s.Requests - before; n > 8 {
			t.Errorf("%d requests for 20 writes", n)
		}
	})
}

// A write whose response is lost was carried out: trying again must find
// that, and not report a conflict with itself.
func TestLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewState()
		_, c := newCommitter(s)
		s.DropResponses(1)
		w := put("k", 0, 1)
		w.Persist = true
		if _, err := c.Commit(context.Background(), w); err != nil {
			t.Errorf("got %v", err)
		}
	})
}

// A write for a user whose response is lost is tried once more, by then over
// another path perhaps; a comparison that then fails is a conflict: it had nothing
// to carry out.
func TestLostResponseToAUser(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewState()
		_, c := newCommitter(s)
		s.DropResponses(1)
		if _, err := c.Commit(context.Background(), put("k", 0, 1)); err != nil {
			t.Errorf("the write: %v", err)
		}
		s.DropResponses(1)
		_, err := c.Commit(context.Background(), state.Write{If: []wire.Condition{{Key: "k", Version: 99}}})
		if conflict := (*state.Conflict)(nil); !errors.As(err, &conflict) {
			t.Errorf("the comparison: %v", err)
		}
		s.DropResponses(9)
		if _, err := c.Commit(context.Background(), put("l", 0, 1)); !errors.Is(err, state.ErrUnknown) {
			t.Errorf("without any response: %v", err)
		}
	})
}

// path is a path to the state service that answers always alike.
type path struct {
	status int
	err    error
	calls  int
}

func (p *path) Do(context.Context, string, string, []byte) (int, []byte, error) {
	p.calls++
	return p.status, nil, p.err
}

// Without a connection a request was not sent, so it goes through another
// controller at once; after a broken one it may have been carried out.
func TestRouteWithoutAConnection(t *testing.T) {
	for _, test := range []struct {
		direct path
		want   int
	}{
		{path{err: fmt.Errorf("dialling: %w", state.ErrNotSent)}, 200},
		{path{status: 503}, 200},
		{path{err: errors.New("connection reset")}, 0},
	} {
		other := &path{status: 200}
		status, _, err := state.NewFailoverTransport(&test.direct, func() []state.Transport { return []state.Transport{other} }).Do(context.Background(), "GET", "/", nil)
		if status != test.want || (err != nil) != (test.want == 0) {
			t.Errorf("direct %+v: got %d, %v", test.direct, status, err)
		}
	}
	alone := &path{err: state.ErrNotSent}
	if status, _, err := state.NewFailoverTransport(alone, nil).Do(context.Background(), "GET", "/", nil); status != 503 || err != nil {
		t.Errorf("without another controller: got %d, %v", status, err)
	}
}

// A transaction that is carried out late must fail: its conditions have been
// moved on by the try that came after it.
func TestLateTransactionFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewState()
		_, c := newCommitter(s)
		s.HoldTransactions(1)
		w := put("k", 0, 1)
		w.Persist = true
		version, err := c.Commit(context.Background(), w)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Commit(context.Background(), put("k", version, 2)); err != nil {
			t.Fatal(err)
		}
		for _, status := range s.ReleaseTransactions() {
			if status != 409 {
				t.Errorf("the late copy was carried out: status %d", status)
			}
		}
		if got := string(s.Get("k")); got != "2" {
			t.Errorf("the late copy overwrote the value: %s", got)
		}
	})
}

// A write that cannot succeed any more, by the time that there is budget for
// it, ends without using any.
func TestStaleWriteUsesNoBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewState()
		_, c := newCommitter(s)
		w := put("k", 0, 1)
		w.Fresh = func() bool { return false }
		_, err := c.Commit(context.Background(), w)
		var conflict *state.Conflict
		if !errors.As(err, &conflict) || s.Requests != 0 {
			t.Errorf("got %v after %d requests", err, s.Requests)
		}
		if _, err := c.Commit(context.Background(), put("k", 0, 1)); err != nil {
			t.Errorf("the next write fails: %v", err)
		}
	})
}

// When the budget is short, the most urgent waits least.
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
				t.Errorf("served in the order %v", order)
			}
		}
		if took := time.Since(began); took < 300*time.Millisecond {
			t.Errorf("four requests in %v at 10 a second", took)
		}
	})
}

// What nobody waits for uses no more than its part of the writes, and its waiting
// does not count as being short of them.
func TestBackgroundKeepsToItsPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := state.NewBudget(100, 10, 2)
		b.SetRates(state.Rates{Requests: 100, Writes: 10, Submission: 10, Background: 1}, 2)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		written := 0
		for b.Acquire(ctx, state.Background, 1) == nil {
			written++
		}
		if written < 20 || written > 24 {
			t.Errorf("%d writes in 20 s at one a second", written)
		}
		if longest := b.Window().Longest; longest > 0 {
			t.Errorf("somebody waited for %v", longest)
		}
		if err := b.Acquire(context.Background(), state.Submission, 5); err != nil {
			t.Error(err)
		}
	})
}

// Submissions keep to the part that another controller leaves them, which is late
// with what it has accepted, and more important writes do not.
func TestSubmissionsKeepToTheirPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := state.NewBudget(100, 10, 2)
		b.SetRates(state.Rates{Requests: 100, Writes: 10, Submission: 5, Background: 10}, 2)
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
			t.Errorf("in 20 s %d submissions at five a second, and %d of 60 ends", submitted, ended)
		}
		if longest := b.Window().Longest; longest > 0 {
			t.Errorf("waiting for their part counts as short of writes: %v", longest)
		}
	})
}

// A write that was dropped with its epoch and is tried anew under the next goes before
// those that have come since, and counts as having waited all the time.
func TestWriteTriedAnewKeepsItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewState()
		c := state.NewCommitter(state.NewClient(s.Connect("a"), state.NewBudget(100, 1, 1)), 1)
		var outdated atomic.Bool
		since := time.Now()
		commit := func(key string, fence state.FencingCondition) error {
			w := put(key, 0, 1)
			w.Persist = true
			_, err := c.Commit(context.Background(), fence.Bind(w))
			return err
		}
		fence := func(current func() bool) state.FencingCondition {
			return state.FencingCondition{Condition: wire.Condition{Key: "epoch"}, Current: current}
		}
		always := func() bool { return true }
		var wg sync.WaitGroup
		for i := range 5 { // one after the other, a second each
			wg.Go(func() { _ = commit(fmt.Sprintf("before%d", i), fence(always)) })
			time.Sleep(time.Millisecond)
		}
		wg.Go(func() {
			if err := commit("end", fence(func() bool { return !outdated.Load() })); err == nil {
				t.Error("made under an outdated epoch")
			}
			again := fence(always)
			again.Since = since.Add(5 * time.Millisecond)
			if err := commit("end", again); err != nil {
				t.Error(err)
			}
		})
		for i := range 5 {
			time.Sleep(time.Millisecond)
			wg.Go(func() { _ = commit(fmt.Sprintf("after%d", i), fence(always)) })
		}
		time.Sleep(2 * time.Second)
		outdated.Store(true)
		time.Sleep(2 * time.Second)
		if waited := c.LongestWait(state.Background); waited < 3*time.Second {
			t.Errorf("the longest has waited for %v", waited)
		}
		wg.Wait()
		if s.Version("end") > s.Version("after0") {
			t.Error("tried anew, it went behind those that came later")
		}
	})
}

// How long writes have waited that are more important than submissions is known,
// however few of them ask for the budget.
func TestCommitterTellsHowLongWritesWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewState()
		c := state.NewCommitter(state.NewClient(s.Connect("a"), state.NewBudget(100, 1, 1)), 1)
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
			t.Errorf("ends have waited for %v", waited)
		}
		if waited := c.LongestWait(state.Placement); waited != 0 {
			t.Errorf("placements have waited for %v", waited)
		}
		time.Sleep(10 * time.Second)
		if waited := c.LongestWait(state.Safety); waited != 0 {
			t.Errorf("all are made, and have waited for %v", waited)
		}
		cancel()
	})
}

// Who waits for writes holds up others that want some, but not those that
// only ask: answers to users need no writes.
func TestAskingPassesWhoWaitsForWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := state.NewBudget(100, 1, 4)
		ctx := context.Background()
		if n, err := b.AcquireUpTo(ctx, state.Safety, 1, 9); err != nil || n != 4 {
			t.Fatalf("granted %d, %v; there were 4", n, err)
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
			t.Errorf("asking took %v and %d writes that another waits for, %v", time.Since(began), n, err)
		}
		wg.Wait()
		if wrote > 3*time.Second || submitted < wrote {
			t.Errorf("written after %v, submitted after %v", wrote, submitted)
		}
	})
}
