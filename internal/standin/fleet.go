package standin

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"heronwick/internal/wait"
	"heronwick/wire"
)

// Fleet stands in for the cloud and the workers on its machines, and tells a
// Checker what runs.
type Fleet struct {
	// Types are the machine types that the cloud offers.
	Types []wire.MachineType
	// Capacity is how many machines the cloud has in all.
	Capacity int
	// Boot is how long a rented machine takes until its worker runs.
	Boot time.Duration
	// Fetch is how long a task takes to fetch its image before it runs.
	Fetch time.Duration
	// ReportEvery is the interval between two heartbeats of a worker.
	ReportEvery time.Duration
	// Lease is how long a worker's lease lasts without a renewal.
	Lease time.Duration
	// RunFor tells how long a task runs; 0: until stopped.
	RunFor func(task string) time.Duration
	// Ended, if set, hears of each task that is done.
	Ended func(task string)
	// Fails tells whether a task fails on a machine.
	Fails func(job, machine string) bool
	// Report delivers a report to a controller: its status, the reply (200)
	// or the node to report to (421).
	Report func(node string, r *wire.Heartbeat) (status int, reply *wire.HeartbeatReply, redirect string)
	// Nodes are the controllers' names, to which heartbeats are sent.
	Nodes []string
	// Checker sees what runs; Start makes one if there is none.
	Checker *Checker

	ctx           context.Context
	mu            sync.Mutex
	workers       map[string]*Worker
	next          int
	answered      map[string][]string // rentals by request name
	down          bool
	stalled       bool
	holding       bool
	rentals       []wire.RentRequest // held back
	rentRequests  map[string]int     // how often each rental was asked for, by request name
	keeping       bool               // returns are held back
	returns       [][]string         // held back
	isolated      map[string]bool    // nodes that reach no worker, nor they them
	partition     partition
	Returned      []string
	leaseExpiries int
}

// LeaseExpiries counts the workers' leases that have run out.
func (f *Fleet) LeaseExpiries() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaseExpiries
}

// Start starts the fleet; it stops when ctx ends.
func (f *Fleet) Start(ctx context.Context) {
	f.ctx = ctx
	f.workers, f.answered, f.rentRequests = map[string]*Worker{}, map[string][]string{}, map[string]int{}
	if f.Checker == nil {
		f.Checker = NewChecker()
	}
	f.Checker.Types = f.Types
}

// Add puts a machine up at once and returns its name.
func (f *Fleet) Add(spot bool) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	zones := f.Types[0].Zones
	return f.addLocked(f.Types[0], zones[f.next%len(zones)], spot, 0)
}

func (f *Fleet) addLocked(t wire.MachineType, zone string, spot bool, boot time.Duration) string {
	f.next++
	w := &Worker{fleet: f, name: fmt.Sprintf("host-%06d", f.next), typ: t, zone: zone, spot: spot,
		node: f.next, session: 1, tasks: map[string]*task{}, poke: make(chan struct{}, 1)}
	f.workers[w.name] = w
	go w.run(boot)
	return w.name
}

// Disconnect cuts a machine's network or heals it. What its tasks do goes on.
func (f *Fleet) Disconnect(machine string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[machine]; w != nil {
		w.disconnected = on
	}
}

// DropInbound keeps answers and commands from a machine, whose reports still
// arrive, or heals that.
func (f *Fleet) DropInbound(machine string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[machine]; w != nil {
		w.dropInbound = on
	}
}

// Restart starts a machine anew at once: its tasks are gone, and its worker
// knows nothing of its former incarnation.
func (f *Fleet) Restart(machine string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[machine]; w != nil {
		w.killLocked()
		w.boots++
		w.session, w.seq, w.token, w.renewed = 1, 0, 0, time.Now()
		w.wake()
	}
}

// Isolate cuts a controller off from all workers, or heals that.
func (f *Fleet) Isolate(node string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isolated == nil {
		f.isolated = map[string]bool{}
	}
	f.isolated[node] = on
}

// LinkFrom returns the workers as one controller reaches them.
func (f *Fleet) LinkFrom(node string) *Link { return &Link{f, node} }

// Link is one controller's way to the workers.
type Link struct {
	fleet *Fleet
	node  string
}

func (l *Link) blocked(ctx context.Context, address string) bool {
	l.fleet.mu.Lock()
	w := l.fleet.workers[address]
	cut := w != nil && !l.fleet.reachableLocked(l.node, w)
	l.fleet.mu.Unlock()
	if cut {
		<-ctx.Done()
	}
	return cut
}

// Command sends commands to a worker.
func (l *Link) Command(ctx context.Context, address string, req *wire.CommandRequest) (*wire.Heartbeat, error) {
	l.fleet.Checker.ObserveCommands(req.Commands)
	if l.blocked(ctx, address) {
		return nil, errSilent
	}
	return l.fleet.command(ctx, address, req)
}

// Status asks a worker for its report.
func (l *Link) Status(ctx context.Context, address string) (*wire.Heartbeat, error) {
	if l.blocked(ctx, address) {
		return nil, errSilent
	}
	return l.fleet.status(ctx, address)
}

// HoldCommands holds direct commands to a machine back, without an answer;
// ending that delivers them late.
func (f *Fleet) HoldCommands(machine string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[machine]
	if w == nil {
		return // returned meanwhile
	}
	w.hold = on
	if !on {
		for _, req := range w.held {
			w.commandLocked(req)
		}
		w.held = nil
	}
}

// removeLocked ends a machine for good; it returns false if there is none.
func (f *Fleet) removeLocked(machine string) bool {
	w := f.workers[machine]
	if w == nil {
		return false
	}
	w.killLocked()
	w.dead = true
	delete(f.workers, machine)
	return true
}

var errSilent = errors.New("standin: worker silent")

// command delivers commands. On a slow link they arrive also when the caller has
// given up, as do those that are held back.
func (f *Fleet) command(ctx context.Context, address string, req *wire.CommandRequest) (*wire.Heartbeat, error) {
	delay := f.delay(address)
	time.Sleep(time.Millisecond + delay)
	defer wait.Sleep(ctx, delay)
	f.mu.Lock()
	w := f.workers[address]
	if w != nil && (w.hold || w.paused) {
		w.held = append(w.held, req)
	}
	if w == nil || w.disconnected || w.dropInbound || w.hold || w.paused {
		f.mu.Unlock()
		<-ctx.Done()
		return nil, errSilent
	}
	defer f.mu.Unlock()
	w.commandLocked(req)
	w.seq++
	return w.reportLocked(), nil
}

func (f *Fleet) status(ctx context.Context, address string) (*wire.Heartbeat, error) {
	wait.Sleep(ctx, 2*f.delay(address))
	f.mu.Lock()
	w := f.workers[address]
	if w == nil || w.disconnected || w.dropInbound || w.paused {
		f.mu.Unlock()
		<-ctx.Done()
		return nil, errSilent
	}
	defer f.mu.Unlock()
	w.seq++
	return w.reportLocked(), nil
}
