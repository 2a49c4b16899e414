package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"heronwick/internal/cloud"
	"heronwick/internal/handover"
	"heronwick/internal/state"
	"heronwick/wire"
)

// answer answers a request to the machine service.
func answer(ctx *fasthttp.RequestCtx, reply any, err error) {
	switch {
	case errors.Is(err, cloud.ErrNoCapacity):
		ctx.SetStatusCode(503)
		reply = wire.Error{Error: "no capacity"}
	case err != nil:
		ctx.SetStatusCode(504)
	}
	body, err := json.Marshal(reply)
	if err != nil {
		ctx.SetStatusCode(500)
		return
	}
	ctx.SetBody(body)
}

// memberCommand is one controller.
type memberCommand struct {
	Node    string
	Address string
	Lease   time.Duration
	Pace    time.Duration
	Seed    uint64
}

// requestsPerSecond is more than a controller needs.
const requestsPerSecond = 1000

// Run implements kong's interface of a command.
func (c *memberCommand) Run() error {
	machines := cloud.NewClient(c.Address, requestsPerSecond)
	freezer := &freezer{}
	go freezer.read()
	list := func() (names []string) {
		listed, err := machines.List(context.Background())
		if err != nil {
			return nil
		}
		for _, m := range listed {
			names = append(names, m.ID)
		}
		return names
	}
	handover.NewMember(handover.MemberOptions{Node: c.Node, Lease: c.Lease, State: state.NewHTTP(c.Address), Provider: machines,
		Machines: list, At: freezer.at, Seed: c.Seed, Pace: c.Pace, Log: newLog()}).Run(context.Background())
	return nil
}

// freezer stops this process at a point, as it is told on standard input.
type freezer struct {
	mu    sync.Mutex
	armed bool
	point handover.Point
}

// read follows what this process is told, until the one that started it ends.
func (f *freezer) read() {
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		var point handover.Point
		_, err := fmt.Sscanf(lines.Text(), lineArm+" %d", &point)
		f.mu.Lock()
		f.armed, f.point = err == nil && !strings.HasPrefix(lines.Text(), lineDisarm), point
		f.mu.Unlock()
	}
	os.Exit(0)
}

// at stops this process if it is to stop at this point.
func (f *freezer) at(point handover.Point) {
	f.mu.Lock()
	stop := f.armed && f.point == point
	if stop {
		f.armed = false
	}
	f.mu.Unlock()
	if stop {
		fmt.Println(lineFrozen)
		_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
	}
}
