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

// ErrNoSocket means that the request was not sent because no socket was free. It does
// not indicate a fault of the worker.
var ErrNoSocket = errors.New("no socket is free")

// Client sends requests directly to workers. Each worker also has a connection of its
// own to the controller. A controller that serves the whole fleet alone does not have
// enough sockets for two connections for each worker, so Client keeps connections open
// only while there are enough sockets. It is safe for concurrent use.
type Client struct {
	http            *fasthttp.Client
	sockets         int          // maximum number of sockets of this process
	otherSockets    func() int   // returns the number of sockets in use for other purposes
	openConnections atomic.Int64 // number of open connections to workers
}

const (
	dialTimeout    = time.Second
	requestTimeout = 2 * time.Second // timeout of a request whose context has no deadline
	// maxConnectionsPerWorker is the maximum number of connections to one worker.
	maxConnectionsPerWorker = 2
	// idleConnectionTimeout is how long an idle connection is kept open.
	idleConnectionTimeout = 30 * time.Second
	// bufferSize is the size of the read and write buffers of a connection, in bytes.
	bufferSize = 2 << 10
	// reuseThreshold is the fraction of sockets in use below which connections to
	// workers are kept open for the next request.
	reuseThreshold = 0.7
	// dialThreshold is the fraction of sockets in use below which connections to
	// workers are opened. The rest stays free for connections to the store, the cloud
	// and the peers.
	dialThreshold = 0.95
)

// NewClient returns a client for workers. sockets is the maximum number of sockets of
// the process. otherSockets returns how many of them are in use for other purposes.
func NewClient(sockets int, otherSockets func() int) *Client {
	c := &Client{sockets: sockets, otherSockets: otherSockets}
	c.http = &fasthttp.Client{
		MaxConnsPerHost:           maxConnectionsPerWorker,
		MaxIdleConnDuration:       idleConnectionTimeout,
		MaxIdemponentCallAttempts: 1, // a transparent retry could execute a command twice
		NoDefaultUserAgentHeader:  true,
		ReadBufferSize:            bufferSize,
		WriteBufferSize:           bufferSize,
		DialTimeout:               c.dial,
	}
	return c
}

// socketsBelow reports whether less than a fraction of the sockets is in use.
func (c *Client) socketsBelow(fraction float64) bool {
	return float64(c.openConnections.Load())+float64(c.otherSockets()) < fraction*float64(c.sockets)
}

// TrimConnections closes idle connections if sockets are scarce. A takeover opens a
// connection to each worker, and after that the workers open theirs.
func (c *Client) TrimConnections() {
	if !c.socketsBelow(reuseThreshold) {
		c.http.CloseIdleConnections()
	}
}

// dial opens a connection. It counts in openConnections until it is closed.
func (c *Client) dial(addr string, timeout time.Duration) (net.Conn, error) {
	if !c.socketsBelow(dialThreshold) {
		c.http.CloseIdleConnections()
		return nil, ErrNoSocket
	}
	c.openConnections.Add(1)
	if timeout <= 0 || timeout > dialTimeout {
		timeout = dialTimeout
	}
	conn, err := net.DialTimeout("tcp4", addr, timeout)
	if err != nil {
		c.openConnections.Add(-1)
		return nil, err
	}
	return &countedConn{Conn: conn, openConnections: &c.openConnections}, nil
}

// countedConn is a connection that decrements the counter when it is closed.
type countedConn struct {
	net.Conn
	openConnections *atomic.Int64
	once            sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.openConnections.Add(-1) })
	return c.Conn.Close()
}

// Command sends commands to the worker at address and returns the heartbeat in its
// response. If the worker rejects the commands (HTTP 409), the heartbeat shows the
// higher token or the different incarnation that it has.
func (c *Client) Command(ctx context.Context, address string, req *wire.CommandRequest) (*wire.Heartbeat, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, fmt.Errorf("encoding commands: %w", err)
	}
	return c.do(ctx, http.MethodPost, "http://"+address+wire.PathCommands, body)
}

// Status requests the heartbeat of the worker at address.
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
		CloseConnection: !c.socketsBelow(reuseThreshold)}
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
