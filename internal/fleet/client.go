package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/segmentio/encoding/json"
	"github.com/valyala/fasthttp"

	"heronwick/wire"
)

// ErrNoSocket says that nothing was sent, since no socket was free. It tells
// nothing of the worker.
var ErrNoSocket = errors.New("no socket is free")

// Client talks straight to workers. A connection to each of them beside theirs
// to us is more sockets than a controller may have once it alone looks after
// the fleet, so connections are kept only as long as there are sockets enough.
type Client struct {
	http    *fasthttp.Client
	sockets int        // that this process may have
	others  func() int // that it has for all else
	open    atomic.Int64
}

const (
	dialTimeout = time.Second
	// keepSockets is the part of the sockets up to which connections to workers
	// are kept for the next command.
	keepSockets = 0.7
	// spareSockets stay free for the key-value store, the cloud and the peers.
	spareSockets = 0.05
)

// NewClient makes a client for workers. sockets is how many the process may
// have, others tells how many it has for all else.
func NewClient(sockets int, others func() int) *Client {
	c := &Client{sockets: sockets, others: others}
	c.http = &fasthttp.Client{
		MaxConnsPerHost:           2,
		MaxIdleConnDuration:       30 * time.Second,
		MaxIdemponentCallAttempts: 1, // a silent second try could carry a command out twice
		NoDefaultUserAgentHeader:  true,
		ReadBufferSize:            2 << 10,
		WriteBufferSize:           2 << 10,
		DialTimeout:               c.dial,
	}
	return c
}

func (c *Client) below(part float64) bool {
	return float64(c.open.Load())+float64(c.others()) < part*float64(c.sockets)
}

// Trim closes the connections that wait for a next command once sockets run
// short: a takeover opens one to each worker, and then theirs come.
func (c *Client) Trim() {
	if !c.below(keepSockets) {
		c.http.CloseIdleConnections()
	}
}

func (c *Client) dial(addr string, timeout time.Duration) (net.Conn, error) {
	if !c.below(1 - spareSockets) {
		c.http.CloseIdleConnections()
		return nil, ErrNoSocket
	}
	c.open.Add(1)
	if timeout <= 0 || timeout > dialTimeout {
		timeout = dialTimeout
	}
	conn, err := net.DialTimeout("tcp4", addr, timeout)
	if err != nil {
		c.open.Add(-1)
		return nil, err
	}
	return &countedConn{Conn: conn, open: &c.open}, nil
}

// countedConn takes itself off the count when it is closed.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// Command sends commands and returns the worker's heartbeat after them. A 409
// carries a heartbeat too: nothing was executed.
func (c *Client) Command(ctx context.Context, address string, req *wire.CommandRequest) (*wire.Heartbeat, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, fmt.Errorf("encoding commands: %w", err)
	}
	return c.do(ctx, "POST", "http://"+address+wire.PathCommands, body)
}

// Status asks a worker for its heartbeat.
func (c *Client) Status(ctx context.Context, address string) (*wire.Heartbeat, error) {
	return c.do(ctx, "GET", "http://"+address+wire.PathStatus, nil)
}

func (c *Client) do(ctx context.Context, method, url string, body []byte) (*wire.Heartbeat, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	req.Header.SetMethod(method)
	if !c.below(keepSockets) {
		req.SetConnectionClose()
	}
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(2 * time.Second)
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, url, err)
	}
	if status := resp.StatusCode(); status != 200 && status != 409 {
		return nil, fmt.Errorf("%s %s: status %d", method, url, status)
	}
	var report wire.Heartbeat
	if err := json.Unmarshal(resp.Body(), &report); err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, url, err)
	}
	return &report, nil
}
