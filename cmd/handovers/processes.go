package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"github.com/valyala/fasthttp"

	"heronwick/internal/handover"
	"heronwick/internal/standin"
	"heronwick/wire"
)

// Lines between this process and the controllers that it has started.
const (
	lineArm    = "arm"    // with the point
	lineDisarm = "disarm" // no more
	lineFrozen = "frozen"
)

// processes are controllers that run as processes of their own.
type processes struct {
	ctx     context.Context
	program string
	state   *standin.State
	judge   *handover.Judge
	run     *runCommand
	seed    uint64

	mu       sync.Mutex
	children map[string]*child
	err      error
}

// child is one controller's process.
type child struct {
	command *exec.Cmd
	input   io.Writer
	frozen  bool
}

func newProcesses(ctx context.Context, state *standin.State, judge *handover.Judge, run *runCommand, seed uint64) (*processes, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("finding this program: %w", err)
	}
	return &processes{ctx: ctx, program: program, state: state, judge: judge, run: run, seed: seed * 1000, children: map[string]*child{}}, nil
}

// fail keeps the first error.
func (p *processes) fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err == nil {
		p.err = err
	}
}

func (p *processes) failed() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Start implements handover.Controllers.
func (p *processes) Start(name string) {
	p.seed++
	address, err := p.serve(name, handover.NewNetwork(p.judge, name, p.seed))
	if err != nil {
		p.fail(err)
		return
	}
	command := exec.CommandContext(p.ctx, p.program, "member", "--node="+name, "--address="+address, "--lease="+p.run.lease().String(),
		"--pace="+p.run.Pace.String(), "--seed="+strconv.FormatUint(p.seed, 10))
	command.Stderr = os.Stderr
	// In a process group of its own: one that has stopped members and loses its terminal
	// or shell is ended whole, this process included.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	input, inputErr := command.StdinPipe()
	output, outputErr := command.StdoutPipe()
	if err := firstError(inputErr, outputErr); err != nil {
		p.fail(err)
		return
	}
	if err := command.Start(); err != nil {
		p.fail(fmt.Errorf("starting a controller: %w", err))
		return
	}
	c := &child{command: command, input: input}
	p.mu.Lock()
	p.children[name] = c
	p.mu.Unlock()
	go p.read(c, output)
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// read follows what a controller says.
func (p *processes) read(c *child, output io.Reader) {
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		if lines.Text() == lineFrozen {
			p.mu.Lock()
			c.frozen = true
			p.mu.Unlock()
		}
	}
}

func (p *processes) child(name string) *child {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.children[name]
}

// Arm implements handover.Controllers.
func (p *processes) Arm(name string, at handover.Point) {
	_, _ = fmt.Fprintln(p.child(name).input, lineArm, int(at))
}

// Frozen implements handover.Controllers.
func (p *processes) Frozen(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.children[name].frozen
}

// Resume implements handover.Controllers.
func (p *processes) Resume(name string) {
	c := p.child(name)
	_, _ = fmt.Fprintln(c.input, lineDisarm)
	p.mu.Lock()
	c.frozen = false
	p.mu.Unlock()
	_ = c.command.Process.Signal(syscall.SIGCONT) // it may have been killed
}

// Kill implements handover.Controllers.
func (p *processes) Kill(name string) {
	c := p.child(name)
	_ = c.command.Process.Kill()
	_ = c.command.Wait()
}

// end ends all that still run.
func (p *processes) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.children {
		if c.command.ProcessState == nil {
			_ = c.command.Process.Kill()
			_ = c.command.Wait()
		}
	}
}

// serve offers one controller the store and the machine service at an address of its
// own, by which it is known.
func (p *processes) serve(name string, network *handover.Network) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listening for a controller: %w", err)
	}
	way := p.state.Node(name)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		switch path := string(ctx.Path()); {
		case strings.HasPrefix(path, wire.PathMachines):
			p.machines(ctx, network, path)
		default:
			status, reply, err := way.Do(p.ctx, string(ctx.Method()), string(ctx.RequestURI()), ctx.PostBody())
			if err != nil {
				status = 503
			}
			ctx.SetStatusCode(status)
			ctx.SetBody(reply)
		}
	}}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(p.ctx, func() { _ = listener.Close() })
	return listener.Addr().String(), nil
}

// machines answers a request to the machine service. One whose answer is lost gets 504.
func (p *processes) machines(ctx *fasthttp.RequestCtx, network *handover.Network, path string) {
	var reply any = wire.MachineNames{}
	var err error
	switch {
	case ctx.IsGet():
		list := wire.MachineList{}
		for _, machine := range p.judge.Machines() {
			list.Machines = append(list.Machines, wire.Machine{ID: machine})
		}
		reply = list
	case path == wire.PathReturn:
		var names wire.MachineNames
		if err = json.Unmarshal(ctx.PostBody(), &names); err == nil {
			err = network.Return(ctx, names.Machines)
		}
	default:
		var req wire.RentRequest
		var names []string
		if err = json.Unmarshal(ctx.PostBody(), &req); err == nil {
			names, err = network.Rent(ctx, req)
		}
		reply = wire.MachineNames{Machines: names}
	}
	answer(ctx, reply, err)
}
