package state

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"heronwick/internal/httpcall"
)

// Response is the key-value store's response to one request.
type Response struct {
	Status int // HTTP status
	Body   []byte
}

// Transport sends one request to the key-value store and returns its response. An
// error means that there was no response.
type Transport interface {
	Do(ctx context.Context, method, target string, body []byte) (Response, error)
}

const (
	// maxConnections bounds the number of requests in flight. It leaves room for a
	// few watches and transactions, and for the reads of user requests and of a
	// takeover.
	maxConnections = 32
	dialTimeout    = time.Second
	// idleConnectionTimeout is how long an unused connection is kept.
	idleConnectionTimeout = time.Minute
)

// HTTPTransport sends requests directly to the key-value store.
type HTTPTransport struct {
	client *fasthttp.HostClient
}

// NewHTTPTransport returns a Transport to the key-value store at addr.
func NewHTTPTransport(addr string) *HTTPTransport {
	return &HTTPTransport{client: &fasthttp.HostClient{
		Addr:                          addr,
		MaxConns:                      maxConnections,
		MaxIdleConnDuration:           idleConnectionTimeout,
		MaxIdemponentCallAttempts:     1, // a retry inside the client would hide that the first attempt may have been carried out
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: true,
		Dial:                          dialService,
	}}
}

func dialService(addr string) (net.Conn, error) {
	conn, err := fasthttp.DialTimeout(addr, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return conn, nil
}

// Do implements Transport. A context without a deadline gets RequestTimeout.
func (t *HTTPTransport) Do(ctx context.Context, method, target string, body []byte) (Response, error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(RequestTimeout)
	}
	req := httpcall.Request{Method: method, URL: "http://" + t.client.Addr + target, Body: body, Deadline: deadline}
	if err := httpcall.Do(t.client, req, resp); err != nil {
		if errors.Is(err, fasthttp.ErrNoFreeConns) {
			err = fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return Response{}, fmt.Errorf("%s %s: %w", method, target, err)
	}
	return Response{Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...)}, nil
}
