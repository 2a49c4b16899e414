package cluster

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"heronwick/internal/standin"
	"heronwick/internal/state"
	"heronwick/wire"
)

// delayedListTransport delays the responses to list requests until hold is closed, if
// hold is set.
type delayedListTransport struct {
	state.Transport
	hold chan struct{}
}

func (d *delayedListTransport) Do(ctx context.Context, method, target string, body []byte) (state.Response, error) {
	response, err := d.Transport.Do(ctx, method, target, body)
	if d.hold != nil && method == "GET" && strings.HasPrefix(target, wire.PathKeys+"?") {
		<-d.hold
	}
	return response, err
}

// A list request that was in flight while a machine was transferred does not undo the
// transfer. Otherwise a controller would treat the machine as having no owner, adopt
// it and answer its worker although another one owns it (rule ran_twice).
func TestDelayedListKeepsNewerTransfers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		transport := &delayedListTransport{Transport: standin.NewState().Connect("a")}
		client := newClient(transport)
		c := New(testOptions(client, &fakeCancellations{client: client}))
		c.campaign(ctx)
		transport.hold = make(chan struct{})
		done := make(chan error)
		go func() { done <- c.refresh(ctx) }()
		time.Sleep(100 * time.Millisecond)
		transfer, _ := c.NewTransfer("a", map[string]json.RawMessage{"m1": json.RawMessage("{}")})
		version, err := client.Txn(ctx, state.Urgent, wire.Txn{If: []wire.Condition{transfer.Condition}, Then: []wire.Change{transfer.Change}})
		if err != nil {
			t.Fatal(err)
		}
		c.RecordTransfer(transfer.Change, version)
		close(transport.hold)
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		if o, listed := c.OwnerOf("m1"); !listed || o.Node != "a" {
			t.Errorf("got owner %+v after a list from before the transfer, want a", o)
		}
	})
}

// OnChange is called immediately when a controller reads a new epoch before its watch
// delivers it. Otherwise its scheduler would continue with the previous epoch.
func TestReadEpochCallsOnChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		client := newClient(standin.NewState().Connect("a"))
		calls := 0
		opts := testOptions(client, &fakeCancellations{client: client})
		opts.OnChange = func() { calls++ }
		c := New(opts)
		c.campaign(ctx)
		view := c.View()
		value, err := json.Marshal(view.Epoch.next())
		if err != nil {
			t.Fatal(err)
		}
		txn := wire.Txn{If: []wire.Condition{view.Condition}, Then: []wire.Change{{Put: epochKey, Value: value}}}
		if _, err := client.Txn(ctx, state.Urgent, txn); err != nil {
			t.Fatal(err)
		}
		calls = 0
		if err := c.AdvanceEpoch(ctx); err == nil {
			t.Fatal("AdvanceEpoch succeeded although the known epoch is outdated")
		}
		if now := c.View().Epoch; now.Token != view.Epoch.Token+1 || calls == 0 {
			t.Errorf("got token %d after %d and %d calls of OnChange, want the next token and at least one call", now.Token, view.Epoch.Token, calls)
		}
	})
}
