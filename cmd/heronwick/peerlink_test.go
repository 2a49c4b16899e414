package main

import (
	"context"
	"errors"

	"google.golang.org/protobuf/proto"

	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/state"
)

// peerLink is the connection from one controller to another. It is down while no
// controller runs at the far end, or while either end is partitioned.
type peerLink struct{ from, to *node }

var errConnectionRefused = errors.New("connection refused")

// remote returns the controller at the far end, or nil while the link is down.
func (l peerLink) remote() *controller {
	if l.from.partitioned.Load() || l.to.partitioned.Load() {
		return nil
	}
	return l.to.current.Load()
}

// deliver sends a request over a link and returns the reply of the controller at the far
// end. It records the request, so that replayCalls can deliver it again.
func deliver[Request, Reply any](l peerLink, request Request, handle func(*controller, Request) Reply) (Reply, error) {
	c := l.remote()
	if c == nil {
		var zero Reply
		return zero, errConnectionRefused
	}
	l.to.recordCall(func(c *controller) { handle(c, request) })
	return handle(c, request), nil
}

// Heartbeat implements cluster.PeerClient.
func (l peerLink) Heartbeat(_ context.Context, local *peerpb.Status) (*peerpb.Status, error) {
	reply, err := deliver(l, l.stripUnsupported(local), func(c *controller, status *peerpb.Status) *peerpb.Status {
		return c.members.HandleHeartbeat(status)
	})
	if err != nil {
		return nil, err
	}
	return l.stripUnsupported(reply), nil
}

// stripUnsupported returns the status as it crosses the link: without a feature level if
// either end runs the old version, which neither sends nor reads one.
func (l peerLink) stripUnsupported(status *peerpb.Status) *peerpb.Status {
	if l.from.oldVersion.Load() || l.to.oldVersion.Load() {
		status = proto.CloneOf(status)
		status.FeatureLevel = 0
	}
	return status
}

// Place implements scheduler.Peers for one peer.
func (l peerLink) Place(_ context.Context, request *peerpb.PlaceRequest) (*peerpb.PlaceReply, error) {
	return deliver(l, request, (*controller).Place)
}

// Settle implements scheduler.Peers for one peer.
func (l peerLink) Settle(_ context.Context, request *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	return deliver(l, request, (*controller).Settle)
}

// ReplicateCancellations implements cluster.PeerClient.
func (l peerLink) ReplicateCancellations(_ context.Context, request *peerpb.TellRequest) (*peerpb.TellReply, error) {
	return deliver(l, request, func(c *controller, request *peerpb.TellRequest) *peerpb.TellReply {
		return c.members.HandleCancellations(request)
	})
}

// Do implements state.Transport: the controller at the far end forwards the request to
// the key-value store.
func (l peerLink) Do(ctx context.Context, method, target string, body []byte) (state.Response, error) {
	c := l.remote()
	if c == nil {
		return state.Response{}, errConnectionRefused
	}
	return c.transport.DoDirect(ctx, method, target, body)
}
