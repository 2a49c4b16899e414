package state_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"heronwick/internal/standin"
	"heronwick/internal/state"
	"heronwick/wire"
)

// A transaction that is rejected because it is too large is never sent again
// unchanged: its writes are sent one by one. Only a write that is too large by itself
// fails, even if RetryUntilAnswered is set.
func TestRejectedTransactionIsSplit(t *testing.T) {
	withCommitter(t, usualLimits, func(t *testing.T, service *standin.State, c *state.Committer) {
		service.LowerLimits(100, 2)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		errs := make([]error, 12)
		var wg sync.WaitGroup
		for i := range errs {
			w := put(fmt.Sprintf("k%d", i), 0, i)
			w.RetryUntilAnswered = true
			if i == 5 {
				w.Then[0].Value = json.RawMessage(`"` + strings.Repeat("x", 200) + `"`)
			}
			wg.Go(func() { _, errs[i] = c.Commit(ctx, w) })
		}
		wg.Wait()
		for i, err := range errs {
			if (err != nil) != (i == 5) || i == 5 && !errors.Is(err, state.ErrRejected) {
				t.Errorf("write %d: got error %v, want ErrRejected for write 5 only", i, err)
			}
		}
		if service.TooLarge > 4 {
			t.Errorf("%d transactions were rejected, want at most 4: some were sent again unchanged", service.TooLarge)
		}
	})
}

// A write whose response is lost has been carried out. Its retry must detect that,
// instead of reporting a conflict with the write's own earlier attempt.
func TestRetriedWriteSurvivesLostResponse(t *testing.T) {
	withCommitter(t, usualLimits, func(t *testing.T, service *standin.State, c *state.Committer) {
		service.DropResponses(1)
		w := put("k", 0, 1)
		w.RetryUntilAnswered = true
		if _, err := c.Commit(context.Background(), w); err != nil {
			t.Errorf("got error %v, want none", err)
		}
	})
}

// failingReads is a connection to the store on which the first reads of single keys fail.
type failingReads struct {
	state.Transport
	failures int
}

// Do implements state.Transport.
func (f *failingReads) Do(ctx context.Context, method, target string, body []byte) (state.Response, error) {
	if method == http.MethodGet && strings.HasPrefix(target, wire.PathKeys+"/") && f.failures > 0 {
		f.failures--
		return state.Response{Status: http.StatusServiceUnavailable}, nil
	}
	return f.Transport.Do(ctx, method, target, body)
}

// Guards against a handover that counts as refused though it was written: its response is lost,
// the retry conflicts with it, and the key cannot be read back at first. The machine then had
// two owners.
func TestRetriedWriteIsReadBackUntilAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := standin.NewState()
		transport := &failingReads{service.Connect("a"), 2}
		limits := usualLimits
		client := state.NewClient(transport, state.NewBudget(limits.requests, limits.writes, limits.txnChanges), state.NewTxnLimits(limits.txnChanges, slog.New(slog.DiscardHandler)))
		service.DropResponses(1)
		w := put("k", 0, 1)
		w.RetryUntilAnswered = true
		if revision, err := state.NewCommitter(client).Commit(context.Background(), w); err != nil || revision != service.Version("k") || transport.failures > 0 {
			t.Errorf("got revision %d and error %v with %d failures left, want %d and none", revision, err, transport.failures, service.Version("k"))
		}
	})
}

// A write without RetryUntilAnswered whose response is lost is retried once, since
// the retry may use another path. A write with conditions only has nothing that the
// first attempt could have carried out, so a failed condition is reported as a
// conflict.
func TestLostResponseIsRetriedOnce(t *testing.T) {
	withCommitter(t, usualLimits, func(t *testing.T, service *standin.State, c *state.Committer) {
		service.DropResponses(1)
		if _, err := c.Commit(context.Background(), put("k", 0, 1)); err != nil {
			t.Errorf("write with one lost response: got error %v, want none", err)
		}
		service.DropResponses(1)
		_, err := c.Commit(context.Background(), state.Write{If: []wire.Condition{{Key: "k", Version: 99}}})
		if conflict := (*state.Conflict)(nil); !errors.As(err, &conflict) {
			t.Errorf("failed comparison with one lost response: got error %v, want a conflict", err)
		}
		service.DropResponses(9)
		if _, err := c.Commit(context.Background(), put("l", 0, 1)); !errors.Is(err, state.ErrUnknown) {
			t.Errorf("write without any response: got error %v, want ErrUnknown", err)
		}
	})
}

// A transaction that the store carries out only after its retry must fail: the
// retry has changed the key that its condition is on.
func TestLateTransactionFails(t *testing.T) {
	withCommitter(t, usualLimits, func(t *testing.T, service *standin.State, c *state.Committer) {
		service.HoldTransactions(1)
		w := put("k", 0, 1)
		w.RetryUntilAnswered = true
		version, err := c.Commit(context.Background(), w)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Commit(context.Background(), put("k", version, 2)); err != nil {
			t.Fatal(err)
		}
		for _, status := range service.ReleaseTransactions() {
			if status != 409 {
				t.Errorf("the late attempt got status %d, want 409", status)
			}
		}
		if got := string(service.Get("k")); got != "2" {
			t.Errorf("the value is %s after the late attempt, want 2", got)
		}
	})
}
