package cluster

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/standin"
	"heronwick/internal/state"
)

// leader is the controller under test, which leads. Its two peers are fakes that do
// not answer at first.
type leader struct {
	*Cluster
	service       *standin.State
	cancellations *fakeCancellations
	b, d          *scriptedPeer
}

// withLeader runs f in a synctest bubble with the leader of a cluster of three
// controllers.
func withLeader(t *testing.T, f func(t *testing.T, c *leader)) {
	withLeaderOf(t, newLeader, f)
}

// withLeaderOf is withLeader for a leader that a function creates.
func withLeaderOf(t *testing.T, create func() *leader, f func(t *testing.T, c *leader)) {
	synctest.Test(t, func(t *testing.T) {
		c := create()
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = c.Run(ctx) }()
		time.Sleep(2 * time.Second)
		if view := c.View(); !view.Leader || !view.Member {
			t.Error("the only live controller does not lead")
		}
		f(t, c)
		cancel()
		time.Sleep(10 * time.Second)
	})
}

func newLeader() *leader { return newLeaderWithTxnOps(usualTxnOps) }

// usualTxnOps is a usual limit on the operations in a transaction.
const usualTxnOps = 16

// newLeaderWithTxnOps returns a leader that, like the store, has the given limit on the
// operations in a transaction.
func newLeaderWithTxnOps(maxTxnOps int) *leader {
	service := standin.NewState()
	service.MaxTxnOps = maxTxnOps
	transport := state.NewFailoverTransport(service.Connect("a"), nil)
	client := newClientWithTxnOps(transport, maxTxnOps)
	cancellations := &fakeCancellations{revision: 1, client: client}
	b, d := &scriptedPeer{}, &scriptedPeer{}
	opts := testOptions(client, cancellations)
	opts.Transport, opts.Peers = transport, map[string]PeerClient{"b": b, "d": d}
	return &leader{Cluster: New(opts), service: service, cancellations: cancellations, b: b, d: d}
}

func newClient(transport state.Transport) *state.Client {
	return newClientWithTxnOps(transport, usualTxnOps)
}

func newClientWithTxnOps(transport state.Transport, maxTxnOps int) *state.Client {
	return state.NewClient(transport, state.NewBudget(150, 60, maxTxnOps), state.NewTxnLimits(maxTxnOps, slog.New(slog.DiscardHandler)))
}

// testOptions returns the options of a controller "a" without peers.
func testOptions(client *state.Client, cancellations *fakeCancellations) Options {
	return Options{
		Node: "a", Client: client, LeaseDuration: 20 * time.Second, CancelTimeout: 40 * time.Second, Cancellations: cancellations,
		RunMembership: func(ctx context.Context, _ *Membership) error { <-ctx.Done(); return nil },
		FillStatus:    func(*peerpb.Status) {},
		OnChange:      func() {},
		TeamWeights:   func() map[string]float64 { return nil },
		Log:           slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
}
