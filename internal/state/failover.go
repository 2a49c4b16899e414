package state

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"
)

// directRetryInterval is how long the direct path is not tried after a failure.
const directRetryInterval = time.Second

// FailoverTransport prefers the direct path to the key-value store. While that fails
// it sends requests through a peer, since the store may refuse or be unreachable for
// a single controller while it serves the others.
type FailoverTransport struct {
	direct Transport
	peers  func() []Transport // peers that recently reached the store directly

	mu              sync.Mutex
	directRetryAt   time.Time // the direct path is not tried before this time
	directHealthyAt time.Time // last response over the direct path, other than 503
	anyHealthyAt    time.Time // last response over any path, other than 503
	nextPeer        int       // round-robin counter
}

// NewFailoverTransport returns a FailoverTransport. peers returns the peers that
// recently reached the store directly; it may be nil.
func NewFailoverTransport(direct Transport, peers func() []Transport) *FailoverTransport {
	return &FailoverTransport{direct: direct, peers: peers}
}

// DirectHealthy reports whether the direct path gave a response other than 503 within
// the last d.
func (f *FailoverTransport) DirectHealthy(d time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.directHealthyAt.IsZero() && time.Since(f.directHealthyAt) < d
}

// Healthy reports whether any path gave a response other than 503 within the last d.
func (f *FailoverTransport) Healthy(d time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.anyHealthyAt.IsZero() && time.Since(f.anyHealthyAt) < d
}

// Do implements Transport. If the direct path has no connection or responds with
// 503, the request was not carried out, and Do tries a peer at once. If there is no
// response, the request may have been carried out, so the caller must decide whether
// to retry.
func (f *FailoverTransport) Do(ctx context.Context, method, target string, body []byte) (Response, error) {
	tryDirect := f.mayTryDirect()
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
		f.recordPeerSuccess()
	}
	return response, err
}

// DoDirect sends a request over the direct path only, for example on behalf of a
// peer. Otherwise controllers that are all refused would forward a request to one
// another endlessly.
func (f *FailoverTransport) DoDirect(ctx context.Context, method, target string, body []byte) (Response, error) {
	response, err := f.direct.Do(ctx, method, target, body)
	f.recordDirectResult(response.Status, err)
	return response, err
}

// mayTryDirect reports whether the direct path may be tried now.
func (f *FailoverTransport) mayTryDirect() bool {
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

func (f *FailoverTransport) recordPeerSuccess() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.anyHealthyAt = time.Now()
}

// pickPeer returns the next peer, round-robin, or nil if there is none.
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
