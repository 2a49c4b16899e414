package state_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"heronwick/internal/standin"
	"heronwick/internal/state"
	"heronwick/wire"
)

// withLimits runs f in a synctest bubble with a client and a Committer that start with a
// limit of 16 changes, and the log of the limits.
func withLimits(t *testing.T, f func(t *testing.T, service *standin.State, client *state.Client, c *state.Committer, log *bytes.Buffer)) {
	synctest.Test(t, func(t *testing.T) {
		service, log := standin.NewState(), &bytes.Buffer{}
		limits := state.NewTxnLimits(16, slog.New(slog.NewTextHandler(log, nil)))
		client := state.NewClient(service.Connect("a"), state.NewBudget(150, 60, 16), limits)
		f(t, service, client, state.NewCommitter(client), log)
	})
}

// commitTogether commits the writes at the same time and returns their errors.
func commitTogether(c *state.Committer, writes []state.Write) []error {
	errs := make([]error, len(writes))
	var wg sync.WaitGroup
	for i, w := range writes {
		wg.Go(func() { _, errs[i] = c.Commit(context.Background(), w) })
	}
	wg.Wait()
	return errs
}

// numberedWrites returns writes of as many new keys.
func numberedWrites(prefix string, count int) (writes []state.Write) {
	for i := range count {
		writes = append(writes, put(fmt.Sprint(prefix, i), 0, i))
	}
	return writes
}

// Guards against transactions that are rejected for ever after the store's limit fell
// without notice. The limit is lowered once its writes are accepted one by one. Rejections
// are counted, and logged once for each limit.
func TestLimitsAreLoweredAfterRejection(t *testing.T) {
	withLimits(t, func(t *testing.T, service *standin.State, client *state.Client, c *state.Committer, log *bytes.Buffer) {
		service.LowerLimits(0, 4)
		for round := range 20 {
			for i, err := range commitTogether(c, numberedWrites(fmt.Sprintf("k%d/", round), 30)) {
				if err != nil {
					t.Errorf("round %d, write %d: got error %v, want none", round, i, err)
				}
			}
		}
		limits := client.Limits()
		if limits.Changes() != 4 || limits.Conditions() != 16 {
			t.Errorf("got limits of %d changes and %d conditions, want 4 and 16", limits.Changes(), limits.Conditions())
		}
		if rejected := int(limits.Rejections()); rejected != service.TooLarge || rejected > 6 {
			t.Errorf("got %d rejections counted of %d, want all counted and at most 6", rejected, service.TooLarge)
		}
		if lines := strings.Count(log.String(), "the store rejects a transaction"); lines < 1 || lines > 2 {
			t.Errorf("got %d lines about rejections, want one for each limit that was too high:\n%s", lines, log)
		}
	})
}

// Guards against limits that fall because of one value that is too large: its write fails
// alone, and the others go on sharing transactions.
func TestLargeValueDoesNotLowerLimits(t *testing.T) {
	withLimits(t, func(t *testing.T, service *standin.State, client *state.Client, c *state.Committer, _ *bytes.Buffer) {
		service.LowerLimits(100, 16)
		writes := numberedWrites("k", 12)
		writes[5].Then[0].Value = json.RawMessage(`"` + strings.Repeat("x", 200) + `"`)
		for i, err := range commitTogether(c, writes) {
			if errors.Is(err, state.ErrRejected) != (i == 5) {
				t.Errorf("write %d: got error %v, want ErrRejected for write 5 only", i, err)
			}
		}
		if changes := client.Limits().Changes(); changes != 16 {
			t.Errorf("got a limit of %d changes, want 16 as before", changes)
		}
	})
}

// Guards against a write that exceeds the limits by itself and is planned again and again,
// which uses up the budget of all others: it fails at once and is not sent.
func TestOversizedWriteFailsUnsent(t *testing.T) {
	withLimits(t, func(t *testing.T, service *standin.State, _ *state.Client, c *state.Committer, _ *bytes.Buffer) {
		oversized := state.Write{RetryUntilAnswered: true}
		for _, w := range numberedWrites("k", 17) {
			oversized.Then = append(oversized.Then, w.Then...)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if _, err := c.Commit(ctx, oversized); !errors.Is(err, state.ErrRejected) {
			t.Errorf("got error %v, want ErrRejected", err)
		}
		if service.Requests > 0 {
			t.Errorf("got %d requests, want none", service.Requests)
		}
		if _, err := c.Commit(ctx, put("other", 0, 1)); err != nil {
			t.Errorf("another write: got error %v, want none", err)
		}
	})
}

// An expired lease is no reason to make transactions smaller.
func TestExpiredLeaseIsNoSizeRejection(t *testing.T) {
	withLimits(t, func(t *testing.T, _ *standin.State, client *state.Client, _ *state.Committer, log *bytes.Buffer) {
		txn := wire.Txn{Then: []wire.Change{{Put: "k", Value: json.RawMessage("1"), Lease: 99}}}
		_, err := client.Txn(context.Background(), state.Urgent, txn)
		if !errors.Is(err, state.ErrRejected) || !errors.Is(err, state.ErrNotFound) {
			t.Errorf("got error %v, want ErrRejected and ErrNotFound", err)
		}
		if rejections := client.Limits().Rejections(); rejections > 0 || log.Len() > 0 {
			t.Errorf("got %d rejections counted and log %q, want none", rejections, log)
		}
	})
}
