package world

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"heronwick/internal/failovertest"
	"heronwick/internal/httpcall"
)

// Node is one controller.
type Node struct {
	Name string

	world          *World
	bind, peerBind string
	settings       string
	client         *fasthttp.HostClient

	mu      sync.Mutex
	process *failovertest.Process // nil while it does not run
	silence chan struct{}         // closed when the link to the state service works again; nil while it works
}

// addNodes prepares the controllers.
func (w *World) addNodes() error {
	for i, name := range w.opts.Nodes {
		n := &Node{Name: name, world: w}
		// A loopback host of its own, so that nothing else takes the ports while it is away.
		host := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, 1+os.Getpid()/200%200, 1+i)
		var err error
		if n.bind, err = freeAddress(host); err != nil {
			return err
		}
		if n.peerBind, err = freeAddress(host); err != nil {
			return err
		}
		n.client = &fasthttp.HostClient{Addr: n.bind, MaxConns: 1000, MaxIdemponentCallAttempts: 1}
		w.Nodes = append(w.Nodes, n)
	}
	for _, n := range w.Nodes {
		if err := w.writeSettings(n); err != nil {
			return err
		}
	}
	return nil
}

// freeAddress returns an address of a loopback host that no one listens at.
func freeAddress(host string) (string, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", fmt.Errorf("looking for a free port: %w", err)
	}
	return listener.Addr().String(), listener.Close()
}

// Start starts the process unless it is running.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(n.world.opts.Dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("opening the log of %s: %w", n.Name, err)
	}
	defer func() { _ = log.Close() }() // the process has a descriptor of its own
	command := exec.CommandContext(n.world.ctx, n.world.opts.Program, "--config", n.settings)
	command.Stderr = log
	n.process, err = failovertest.StartProcess(command)
	n.world.Event("start %s", n.Name)
	return err
}

// Kill ends the process without a signal that it can handle, if it is running.
func (n *Node) Kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		n.process.Kill()
		n.process = nil
		n.world.Event("kill %s", n.Name)
	}
}

// SetStoreSilent silences the node's link to the state service, or lets it work again.
// While it is silent, nothing that the node sends arrives and nothing is answered.
func (n *Node) SetStoreSilent(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case on && n.silence == nil:
		n.silence = make(chan struct{})
		n.world.Event("%s loses the state service", n.Name)
	case !on && n.silence != nil:
		close(n.silence)
		n.silence = nil
		n.world.Event("%s reaches the state service again", n.Name)
	}
}

func (n *Node) silenced() chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.silence
}

// storeHandler serves the state service to the node. Over a silent link a request is not
// carried out and a response is not delivered; the connection stays open.
func (n *Node) storeHandler(w *World) fasthttp.RequestHandler {
	serve := failovertest.StoreHandler(w.ctx, w.Store.Connect(n.Name))
	return func(request *fasthttp.RequestCtx) {
		if n.drop(request) {
			return
		}
		serve(request)
		n.drop(request)
	}
}

// drop blocks while the link is silent, and then closes the connection. It reports whether
// the link was silent.
func (n *Node) drop(request *fasthttp.RequestCtx) bool {
	silence := n.silenced()
	if silence == nil {
		return false
	}
	select {
	case <-silence:
	case <-n.world.ctx.Done():
	}
	_ = request.Conn().Close()
	return true
}

// call sends a request to the node; status is 0 without a response.
func (n *Node) call(method, path string, body []byte, timeout time.Duration) (status int, text []byte) {
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request := httpcall.Request{Method: method, URL: "http://" + n.bind + path, Body: body, Deadline: time.Now().Add(timeout)}
	if err := httpcall.Do(n.client, request, response); err != nil {
		return 0, nil
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...)
}
