package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/segmentio/encoding/json"
	"github.com/valyala/fasthttp"

	"heronwick/internal/httpcall"
	"heronwick/wire"
)

// ErrNoSocket means that nothing was sent, since no socket was free. It says
// nothing about the worker.
var ErrNoSocket = errors.New("no socket is free")

// Client sends requests directly to workers. A connection to each worker beside
// the worker's own to the controller takes more sockets than a controller may have
// that alone serves the fleet, so connections are kept only while there are enough
// sockets. It is safe for concurrent use.
type Client struct {
	http    *fasthttp.Client
	sockets int          // limit of this process
	others  func() int   // sockets in use for other purposes
	open    atomic.Int64 // connections to workers
}

const (
	dialTimeout    = time.Second
	requestTimeout = 2 * time.Second // of a request whose context has no deadline
	// maxConnectionsPerWorker bounds the connections to one worker.
	maxConnectionsPerWorker = 2
	// idleConnectionTimeout is how long an unused connection is kept.
	idleConnectionTimeout = 30 * time.Second
	// bufferSize is that of a connection's read and write buffers, in bytes.
	bufferSize = 2 << 10
	// keepThreshold is the part of the sockets in use below which connections to
	// workers are kept for the next command.
	keepThreshold = 0.7
	// dialThreshold is the part of the sockets in use below which connections to
	// workers are opened: the rest stays free for the store, the cloud and the
	// peers.
	dialThreshold = 0.95
)

// NewClient makes a client for workers. sockets is how many sockets the process may
// have, others returns how many it uses for other purposes.
func NewClient(sockets int, others func() int) *Client {
	c := &Client{sockets: sockets, others: others}
	c.http = &fasthttp.Client{
		MaxConnsPerHost:           maxConnectionsPerWorker,
		MaxIdleConnDuration:       idleConnectionTimeout,
		MaxIdemponentCallAttempts: 1, // a silent retry could carry a command out twice
		NoDefaultUserAgentHeader:  true,
		ReadBufferSize:            bufferSize,
		WriteBufferSize:           bufferSize,
		DialTimeout:               c.dial,
	}
	return c
}

// socketsBelow reports whether less than a part of the sockets are in use.
func (c *Client) socketsBelow(part float64) bool {
	return float64(c.open.Load())+float64(c.others()) < part*float64(c.sockets)
}

// TrimConnections closes idle connections once sockets run short: a takeover opens one to each
// worker, and then the workers open theirs.
func (c *Client) TrimConnections() {
	if !c.socketsBelow(keepThreshold) {
		c.http.CloseIdleConnections()
	}
}

// dial opens a connection that is counted until it is closed.
func (c *Client) dial(addr string, timeout time.Duration) (net.Conn, error) {
	if !c.socketsBelow(dialThreshold) {
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

// countedConn is a connection that leaves the count when it is closed.
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

// Command sends commands to the worker at address and returns its heartbeat after
// them. The heartbeat of a worker that rejected them (HTTP 409) shows its higher
// token or other incarnation.
func (c *Client) Command(ctx context.Context, address string, req *wire.CommandRequest) (*wire.Heartbeat, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, fmt.Errorf("encoding commands: %w", err)
	}
	return c.do(ctx, http.MethodPost, "http://"+address+wire.PathCommands, body)
}

// Status asks the worker at address for its heartbeat.
func (c *Client) Status(ctx context.Context, address string) (*wire.Heartbeat, error) {
	return c.do(ctx, http.MethodGet, "http://"+address+wire.PathStatus, nil)
}

func (c *Client) do(ctx context.Context, method, url string, body []byte) (*wire.Heartbeat, error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(requestTimeout)
	}
	req := httpcall.Request{Method: method, URL: url, Body: body, Deadline: deadline,
		CloseConnection: !c.socketsBelow(keepThreshold)}
	if err := httpcall.Do(c.http, req, resp); err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, url, err)
	}
	if status := resp.StatusCode(); status != http.StatusOK && status != http.StatusConflict {
		return nil, fmt.Errorf("%s %s: status %d", method, url, status)
	}
	var heartbeat wire.Heartbeat
	if err := json.Unmarshal(resp.Body(), &heartbeat); err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, url, err)
	}
	return &heartbeat, nil
}
