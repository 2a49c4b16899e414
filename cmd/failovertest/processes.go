package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"heronwick/internal/failovertest"
	"heronwick/wire"
)

// processGroup is a group of controllers that run in processes of their own. Each of them
// reaches the store and the machine service at its own address, which identifies the
// controller.
type processGroup struct {
	checker        *failovertest.Checker
	lease          time.Duration // of the duties; 0 means that duties are off
	actionInterval time.Duration
	seed           uint64 // of the controller that was started last

	processes []*process
	servers   sync.WaitGroup
}

// process is one controller's process and its proxy.
type process struct {
	*failovertest.Proxy
	process  *failovertest.Process
	listener net.Listener
}

// start starts a controller, which is killed when ctx ends if it is still running.
func (g *processGroup) start(ctx context.Context, name string) (*process, error) {
	g.seed++
	program, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("locating the executable: %w", err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listening for the proxy: %w", err)
	}
	p := &process{listener: listener}
	p.Proxy = failovertest.NewProxy(g.checker, name, g.seed, func() { p.process.Pause() })
	server := &fasthttp.Server{Handler: handler(ctx, p.Proxy)}
	g.servers.Go(func() { _ = server.Serve(listener) }) // ends when the listener is closed
	p.process, err = failovertest.StartProcess(g.command(ctx, program, name, listener.Addr().String()))
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	g.processes = append(g.processes, p)
	return p, nil
}

// handler serves the store and the machine service to one controller, through its proxy.
func handler(ctx context.Context, proxy *failovertest.Proxy) fasthttp.RequestHandler {
	store, machines := failovertest.StoreHandler(ctx, proxy), failovertest.MachinesHandler(proxy)
	return func(request *fasthttp.RequestCtx) {
		if strings.HasPrefix(string(request.Path()), wire.PathMachines) {
			machines(request)
			return
		}
		store(request)
	}
}

// command returns the command that runs a controller.
func (g *processGroup) command(ctx context.Context, program, name, address string) *exec.Cmd {
	command := exec.CommandContext(ctx, program, "member", "--node="+name, "--address="+address,
		"--lease="+g.lease.String(), "--pace="+g.actionInterval.String(), "--seed="+strconv.FormatUint(g.seed, 10))
	command.Stderr = os.Stderr
	return command
}

// stop kills all controllers and stops their servers.
func (g *processGroup) stop() {
	for _, p := range g.processes {
		p.Kill()
		_ = p.listener.Close()
	}
	g.servers.Wait()
}

// Resume implements failovertest.Controller.
func (p *process) Resume() {
	p.Proxy.Resume()
	p.process.Continue()
}

// Kill implements failovertest.Controller. Requests that the controller has already sent are
// still carried out.
func (p *process) Kill() {
	p.process.Kill()
	p.Proxy.Resume()
}
