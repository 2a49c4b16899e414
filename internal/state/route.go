package state

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// maxConnections is how many requests are under way at once: a few watches and
// transactions, and what users and a takeover read.
const maxConnections = 32

// HTTPTransport sends requests straight to the state service.
type HTTPTransport struct {
	client *fasthttp.HostClient
}

// NewHTTPTransport makes a Doer for the state service at addr.
func NewHTTPTransport(addr string) *HTTPTransport {
	return &HTTPTransport{client: &fasthttp.HostClient{
		Addr:                          addr,
		MaxConns:                      maxConnections,
		MaxIdleConnDuration:           time.Minute,
		MaxIdemponentCallAttempts:     1, // a silent second try would hide that the first may have been carried out
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: true,
		Dial: func(addr string) (net.Conn, error) {
			conn, err := fasthttp.DialTimeout(addr, time.Second)
			if err != nil {
				return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
			}
			return conn, nil
		},
	}}
}

// Do implements Doer.
func (h *HTTPTransport) Do(ctx context.Context, method, target string, body []byte) (int, []byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + h.client.Addr + target)
	req.Header.SetMethod(method)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(RequestTimeout)
	}
	if err := h.client.DoDeadline(req, resp, deadline); err != nil {
		if errors.Is(err, fasthttp.ErrNoFreeConns) {
			err = fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return 0, nil, fmt.Errorf("%s %s: %w", method, target, err)
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}

// ErrNotSent says that a request was surely not sent: there was no connection.
var ErrNotSent = errors.New("not sent")

// directRetry is how long a failed direct path is left alone.
const directRetry = time.Second

// FailoverTransport prefers the direct path to the state service and uses another
// controller's while the direct one fails: one node alone can be refused or
// cut off while the others are served.
type FailoverTransport struct {
	direct Transport
	peers  func() []Transport // peers that lately reached the service themselves

	mu            sync.Mutex
	directRetryAt time.Time // the direct path is left alone until then
	directOKAt    time.Time // when the direct path last answered
	anyOKAt       time.Time // when any path last answered
	next          int
}

// NewFailoverTransport makes a Route; peers may be nil.
func NewFailoverTransport(direct Transport, peers func() []Transport) *FailoverTransport {
	return &FailoverTransport{direct: direct, peers: peers}
}

// DirectHealthy tells whether the direct path answered within d.
func (r *FailoverTransport) DirectHealthy(d time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.directOKAt.IsZero() && time.Since(r.directOKAt) < d
}

// Healthy tells whether any path answered within d.
func (r *FailoverTransport) Healthy(d time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.anyOKAt.IsZero() && time.Since(r.anyOKAt) < d
}

// DoDirect carries out a request for a peer, by the direct path only: a request
// must not wander among controllers that all are refused.
func (r *FailoverTransport) DoDirect(ctx context.Context, method, target string, body []byte) (int, []byte, error) {
	status, reply, err := r.direct.Do(ctx, method, target, body)
	r.recordDirectResult(status, err)
	return status, reply, err
}

func (r *FailoverTransport) recordDirectResult(status int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	switch {
	case err != nil || status == 503:
		r.directRetryAt = now.Add(directRetry)
	default:
		r.directOKAt, r.anyOKAt, r.directRetryAt = now, now, time.Time{}
	}
}

// Do implements Doer. After a 503, or without a connection, the request was surely
// not carried out, and another path is tried at once; after silence the caller
// must decide, since it may have been.
func (r *FailoverTransport) Do(ctx context.Context, method, target string, body []byte) (int, []byte, error) {
	r.mu.Lock()
	direct := !time.Now().Before(r.directRetryAt)
	r.mu.Unlock()
	if direct {
		status, reply, err := r.DoDirect(ctx, method, target, body)
		unsent := errors.Is(err, ErrNotSent) || err == nil && status == 503
		if !unsent {
			return status, reply, err
		}
	}
	peer := r.pickPeer()
	if peer == nil {
		if direct {
			return 503, nil, nil
		}
		return r.DoDirect(ctx, method, target, body)
	}
	status, reply, err := peer.Do(ctx, method, target, body)
	if err == nil && status != 503 {
		r.mu.Lock()
		r.anyOKAt = time.Now()
		r.mu.Unlock()
	}
	return status, reply, err
}

func (r *FailoverTransport) pickPeer() Transport {
	if r.peers == nil {
		return nil
	}
	peers := r.peers()
	if len(peers) == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	return peers[r.next%len(peers)]
}
