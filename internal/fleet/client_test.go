package fleet

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"

	"github.com/valyala/fasthttp"
)

// startWorker starts a worker that responds to every request with a heartbeat. accepted
// counts the connections that it has accepted.
func startWorker(t *testing.T) (address string, accepted *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	accepted = &atomic.Int64{}
	worker := &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(`{"perch":"m"}`) },
		ConnState: func(_ net.Conn, s fasthttp.ConnState) {
			if s == fasthttp.StateNew {
				accepted.Add(1)
			}
		},
	}
	go func() { _ = worker.Serve(ln) }()
	return ln.Addr().String(), accepted
}

// Guards against running out of sockets: a controller that alone served a large fleet
// did not have enough for two connections for each worker. Connections to workers are
// kept open only while there are enough sockets, and the last sockets stay free.
func TestClientKeepsSpareSockets(t *testing.T) {
	address, accepted := startWorker(t)
	otherSockets := 0
	c := NewClient(100, func() int { return otherSockets })
	expect := func(what string, connections int64, refused bool) {
		t.Helper()
		_, err := c.Status(context.Background(), address)
		if errors.Is(err, ErrNoSocket) != refused || err != nil && !refused {
			t.Errorf("%s: got error %v, want ErrNoSocket only if no sockets are left", what, err)
		}
		if n := accepted.Load(); n != connections {
			t.Errorf("%s: got %d connections accepted so far, want %d", what, n, connections)
		}
	}
	expect("first request", 1, false)
	expect("second request while sockets are free", 1, false)
	otherSockets = 80
	expect("request over the open connection, which is then closed because sockets are scarce", 1, false)
	expect("next request while sockets are scarce", 2, false)
	expect("another request while sockets are scarce", 3, false)
	otherSockets = 0
	expect("request while sockets are free again", 4, false)
	c.TrimConnections()
	if n := c.openConnections.Load(); n != 1 {
		t.Errorf("got %d open connections while sockets are free, want 1", n)
	}
	otherSockets = 99
	c.TrimConnections()
	if n := c.openConnections.Load(); n != 0 {
		t.Errorf("got %d open connections while sockets are scarce, want 0", n)
	}
	expect("request while no sockets are left", 4, true)
}
