package cluster

import (
	"context"
	"slices"
	"sync"

	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/job"
	"heronwick/internal/state"
)

// scriptedPeer is a PeerClient that answers heartbeats with a preset status. While it
// has none, its methods fail with a timeout.
type scriptedPeer struct {
	mu        sync.Mutex
	status    *peerpb.Status
	cancelled []*peerpb.Cancelled // received cancellations
}

func (p *scriptedPeer) Heartbeat(context.Context, *peerpb.Status) (*peerpb.Status, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.status == nil {
		return nil, context.DeadlineExceeded
	}
	return p.status, nil
}

func (p *scriptedPeer) ReplicateCancellations(_ context.Context, req *peerpb.TellRequest) (*peerpb.TellReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.status == nil {
		return nil, context.DeadlineExceeded
	}
	p.cancelled = append(p.cancelled, req.Cancelled...)
	return &peerpb.TellReply{}, nil
}

// setStatus sets the epoch token and the readiness that the peer reports.
func (p *scriptedPeer) setStatus(token uint64, ready bool) {
	p.updateStatus(func(s *peerpb.Status) { s.Token, s.Ready = token, ready })
}

// updateStatus replaces the status that the peer returns by a modified copy.
func (p *scriptedPeer) updateStatus(f func(*peerpb.Status)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	status := &peerpb.Status{Incarnation: 7, JobsRead: true, JobsBase: 1, JobsRevision: 1}
	if p.status != nil {
		status.Token, status.Ready = p.status.Token, p.status.Ready
		status.JobsRead, status.JobsBase, status.JobsRevision = p.status.JobsRead, p.status.JobsBase, p.status.JobsRevision
		status.Cancelled = p.status.Cancelled
	}
	f(status)
	p.status = status
}

// received returns the cancellations that were sent to the peer.
func (p *scriptedPeer) received() []*peerpb.Cancelled {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.cancelled)
}

// stopAnswering makes all further requests to the peer time out.
func (p *scriptedPeer) stopAnswering() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.status = nil
}

// fakeCancellations implements Cancellations for the controller under test.
type fakeCancellations struct {
	mu       sync.Mutex
	revision uint64
	applied  []job.Cancellation
	client   *state.Client
	failing  bool // SyncToRevision fails
}

func (f *fakeCancellations) KnownCancellations(after uint64) job.CancellationState {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := job.CancellationState{Loaded: true, Revision: f.revision}
	for _, cancellation := range f.applied {
		if cancellation.Revision > after {
			known.Recent = append(known.Recent, cancellation)
		}
	}
	return known
}

func (f *fakeCancellations) ApplyCancellations(cancelled []job.Cancellation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applied = append(f.applied, cancelled...)
}

// setFailing sets whether SyncToRevision fails.
func (f *fakeCancellations) setFailing(failing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing = failing
}

func (f *fakeCancellations) SyncToRevision(ctx context.Context, revision uint64) error {
	f.mu.Lock()
	failing := f.failing
	f.mu.Unlock()
	if failing {
		return context.DeadlineExceeded
	}
	if _, err := f.client.Watch(ctx, "jobs/", 0, 0); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision = max(f.revision, revision)
	return nil
}
