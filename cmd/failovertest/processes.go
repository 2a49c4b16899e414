package main

import (
	"context"
	"encoding/json"
	"errors"
	"log"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"

	"github.com/valyala/fasthttp"

	"heronwick/internal/cloud"
	"heronwick/internal/failovertest"
	"heronwick/wire"
)

// processes are controllers that run as processes of their own.
type processes struct {
	ctx      context.Context
	checker  *failovertest.Checker
	run      *runCommand
	seed     uint64
	children []*child
}

// child is one controller's process.
type child struct {
	*failovertest.Proxy
	command *exec.Cmd
}

// start starts a controller and offers it the store and the machine service at an
// address of its own, by which it is known.
func (p *processes) start(name string) failovertest.Controller {
	p.seed++
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	program, programErr := os.Executable()
	if err := errors.Join(err, programErr); err != nil {
		log.Fatalf("starting a controller: %v", err)
	}
	c := &child{command: exec.CommandContext(p.ctx, program, "member", "--node="+name, "--address="+listener.Addr().String(),
		"--lease="+p.run.lease().String(), "--pace="+p.run.Pace.String(), "--seed="+strconv.FormatUint(p.seed, 10))}
	c.Proxy = failovertest.NewProxy(p.checker, name, p.seed, func() { c.signal(syscall.SIGSTOP) })
	c.command.Stderr = os.Stderr
	// In a process group of its own: one that has stopped nodes and loses its shell is
	// ended whole, this process included.
	c.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	server := &fasthttp.Server{Handler: p.handler(c.Proxy)}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(p.ctx, func() { _ = listener.Close() })
	if err := c.command.Start(); err != nil {
		log.Fatalf("starting a controller: %v", err)
	}
	p.children = append(p.children, c)
	return c
}

// signal sends a signal to the controller, if it has not ended.
func (c *child) signal(signal syscall.Signal) { _ = c.command.Process.Signal(signal) }

// Resume implements failovertest.Controller.
func (c *child) Resume() {
	c.Proxy.Resume()
	c.signal(syscall.SIGCONT)
}

// Kill implements failovertest.Controller.
func (c *child) Kill() {
	c.signal(syscall.SIGKILL)
	c.Proxy.Resume() // what it had sent is carried out
	_ = c.command.Wait()
}

// end ends all controllers.
func (p *processes) end() {
	for _, c := range p.children {
		c.Kill()
	}
}

// handler serves one controller.
func (p *processes) handler(proxy *failovertest.Proxy) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if path := string(ctx.Path()); strings.HasPrefix(path, wire.PathMachines) {
			p.machines(ctx, path, proxy)
			return
		}
		status, reply, err := proxy.Do(p.ctx, string(ctx.Method()), string(ctx.RequestURI()), ctx.PostBody())
		if err != nil {
			status = fasthttp.StatusServiceUnavailable
		}
		ctx.SetStatusCode(status)
		ctx.SetBody(reply)
	}
}

// machines answers a request to the machine service. One whose answer is lost gets 504.
func (p *processes) machines(ctx *fasthttp.RequestCtx, path string, proxy *failovertest.Proxy) {
	var names wire.MachineNames
	var request wire.RentRequest
	var reply any = &names
	err := errors.Join(json.Unmarshal(ctx.PostBody(), &names), json.Unmarshal(ctx.PostBody(), &request))
	switch {
	case ctx.IsGet():
		list := wire.MachineList{}
		list.Machines, err = proxy.List(ctx)
		reply = list
	case err != nil:
	case path == wire.PathReturn:
		err = proxy.Return(ctx, names.Machines)
	default:
		names.Machines, err = proxy.Rent(ctx, request)
	}
	switch {
	case errors.Is(err, cloud.ErrNoCapacity):
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		reply = wire.Error{Error: "no capacity"}
	case err != nil:
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
	}
	_ = json.NewEncoder(ctx).Encode(reply)
}
