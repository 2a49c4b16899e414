package state

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"
)

// directRetryInterval is how long the direct path is left alone after it
// failed.
const directRetryInterval = time.Second

// FailoverTransport prefers the direct path to the key-value store and sends
// requests through a peer while the direct path fails: one controller alone can
// be refused or cut off while the others are served.
type FailoverTransport struct {
	direct Transport
	peers  func() []Transport // peers that lately reached the service themselves

	mu              sync.Mutex
	directRetryAt   time.Time // the direct path is left alone until then
	directHealthyAt time.Time // when the direct path last answered
	anyHealthyAt    time.Time // when any path last answered
	nextPeer        int       // round-robin counter
}

// NewFailoverTransport makes a FailoverTransport. peers returns the peers that
// lately reached the service; it may be nil.
func NewFailoverTransport(direct Transport, peers func() []Transport) *FailoverTransport {
	return &FailoverTransport{direct: direct, peers: peers}
}

// DirectHealthy reports whether the direct path answered within the last d.
func (f *FailoverTransport) DirectHealthy(d time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.directHealthyAt.IsZero() && time.Since(f.directHealthyAt) < d
}

// Healthy reports whether any path answered within the last d.
func (f *FailoverTransport) Healthy(d time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.anyHealthyAt.IsZero() && time.Since(f.anyHealthyAt) < d
}

// Do implements Transport. After a 503, or without a connection, the request
// was surely not carried out, and another path is tried at once; after silence
// the caller must decide, since it may have been.
func (f *FailoverTransport) Do(ctx context.Context, method, target string, body []byte) (Response, error) {
	tryDirect := f.directDue()
	if tryDirect {
		response, err := f.DoDirect(ctx, method, target, body)
		unsent := errors.Is(err, ErrNotSent) || err == nil && response.Status == http.StatusServiceUnavailable
		if !unsent {
			return response, err
		}
	}
	peer := f.pickPeer()
	if peer == nil {
		if tryDirect {
			return Response{Status: http.StatusServiceUnavailable}, nil
		}
		return f.DoDirect(ctx, method, target, body)
	}
	response, err := peer.Do(ctx, method, target, body)
	if err == nil && response.Status != http.StatusServiceUnavailable {
		f.recordPeerAnswer()
	}
	return response, err
}

// DoDirect carries out a request by the direct path only, for example on
// behalf of a peer: a request must not be passed on among controllers that are
// all refused.
func (f *FailoverTransport) DoDirect(ctx context.Context, method, target string, body []byte) (Response, error) {
	response, err := f.direct.Do(ctx, method, target, body)
	f.recordDirectResult(response.Status, err)
	return response, err
}

// directDue reports whether the direct path may be tried again.
func (f *FailoverTransport) directDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !time.Now().Before(f.directRetryAt)
}

func (f *FailoverTransport) recordDirectResult(status int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if err != nil || status == http.StatusServiceUnavailable {
		f.directRetryAt = now.Add(directRetryInterval)
		return
	}
	f.directHealthyAt, f.anyHealthyAt, f.directRetryAt = now, now, time.Time{}
}

func (f *FailoverTransport) recordPeerAnswer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.anyHealthyAt = time.Now()
}

// pickPeer returns the next peer in turn, nil if there is none.
func (f *FailoverTransport) pickPeer() Transport {
	if f.peers == nil {
		return nil
	}
	peers := f.peers()
	if len(peers) == 0 {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextPeer++
	return peers[f.nextPeer%len(peers)]
}
