package standin

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"heronwick/internal/cloud"
	"heronwick/wire"
)

// Fleet stands in for the cloud and the workers on its machines, and tells a
// Checker what runs.
type Fleet struct {
	Types       []wire.MachineType
	Capacity    int // machines that the cloud has
	Boot        time.Duration
	Fetch       time.Duration
	ReportEvery time.Duration
	Lease       time.Duration
	// RunFor tells how long a task runs; 0: until stopped.
	RunFor func(task string) time.Duration
	// Ended, if set, hears of each task that is done.
	Ended func(task string)
	// Fails tells whether a task fails on a machine.
	Fails func(job, machine string) bool
	// Report delivers a report to a controller: its status, the reply (200)
	// or the node to report to (421).
	Report func(node string, r *wire.Report) (status int, reply *wire.ReportReply, redirect string)
	Nodes  []string
	// Checker sees what runs; Start makes one if there is none.
	Checker *Checker

	ctx      context.Context
	mu       sync.Mutex
	workers  map[string]*Worker
	next     int
	answered map[string][]string // rentals by request name
	down     bool
	stalled  bool
	holding  bool
	rentals  []wire.RentRequest // held back
	asked    map[string]int     // how often each rental was asked for, by request name
	keeping  bool               // returns are held back
	returns  [][]string         // held back
	blind    map[string]bool    // nodes that reach no worker, nor they them
	split    split
	Returned []string
	lapsed   int
}

// Lapsed counts the workers' leases that have run out.
func (f *Fleet) Lapsed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lapsed
}

// Worker stands in for the worker of one machine.
type Worker struct {
	fleet   *Fleet
	name    string
	typ     wire.MachineType
	zone    string
	spot    bool
	node    int
	session uint64
	seq     uint64
	token   uint64
	renewed time.Time
	tasks   map[string]*task
	cut     bool
	deaf    bool // its reports arrive, but nothing reaches it
	life    int  // raised when the machine starts anew
	held    []*wire.CommandRequest
	hold    bool
	dead    bool
	poke    chan struct{}

	delay       time.Duration // of each message to and from it
	mute        bool          // its reports reach nobody
	hung        bool          // nothing runs, nothing is sent or carried out
	holdReports bool
	lateReports []*wire.Report
}

type task struct {
	wire.TaskReport
	timer *time.Timer
	due   bool // its timer fired while the machine hung
}

// Start begins the fleet's life; it ends with ctx.
func (f *Fleet) Start(ctx context.Context) {
	f.ctx = ctx
	f.workers, f.answered, f.asked = map[string]*Worker{}, map[string][]string{}, map[string]int{}
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

// SetCloud takes the cloud down or up.
func (f *Fleet) SetCloud(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// HoldRentals holds rentals back, without an answer; ending that carries them
// out late: machines that nobody expects.
func (f *Fleet) HoldRentals(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holding = on
	if !on {
		for _, req := range f.rentals {
			f.rentLocked(req)
		}
		f.rentals = nil
	}
}

// HoldReturns holds returns back, without an answer, until ReleaseReturns; or lets later
// ones pass again.
func (f *Fleet) HoldReturns(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keeping = on
}

// HeldReturns lists the machines whose returns are held back.
func (f *Fleet) HeldReturns() (machines []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Concat(f.returns...)
}

// ReleaseReturns carries out, late, the returns that were held back.
func (f *Fleet) ReleaseReturns() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, machines := range f.returns {
		f.returnLocked(machines)
	}
	f.returns = nil
}

// Asked tells how often each rental was asked for, by its request's name.
func (f *Fleet) Asked() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.asked)
}

// Cut cuts a machine's network or heals it. What its tasks do goes on.
func (f *Fleet) Cut(machine string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[machine]; w != nil {
		w.cut = on
	}
}

// Deafen keeps answers and commands from a machine, whose reports still
// arrive, or heals that.
func (f *Fleet) Deafen(machine string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[machine]; w != nil {
		w.deaf = on
	}
}

// Restart starts a machine anew at once: its tasks are gone, and its worker
// knows nothing of its former life.
func (f *Fleet) Restart(machine string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[machine]; w != nil {
		w.killLocked()
		w.life++
		w.session, w.seq, w.token, w.renewed = 1, 0, 0, time.Now()
		w.wake()
	}
}

// Blind cuts a controller off from all workers, or heals that.
func (f *Fleet) Blind(node string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.blind == nil {
		f.blind = map[string]bool{}
	}
	f.blind[node] = on
}

// From returns the workers as one controller reaches them.
func (f *Fleet) From(node string) *Line { return &Line{f, node} }

// Line is one controller's way to the workers.
type Line struct {
	fleet *Fleet
	node  string
}

func (l *Line) cut(ctx context.Context, address string) bool {
	l.fleet.mu.Lock()
	w := l.fleet.workers[address]
	cut := w != nil && !l.fleet.reachesLocked(l.node, w)
	l.fleet.mu.Unlock()
	if cut {
		<-ctx.Done()
	}
	return cut
}

// Command sends commands to a worker.
func (l *Line) Command(ctx context.Context, address string, req *wire.CommandRequest) (*wire.Report, error) {
	l.fleet.Checker.Commanded(req.Commands)
	if l.cut(ctx, address) {
		return nil, errSilent
	}
	return l.fleet.command(ctx, address, req)
}

// Status asks a worker for its report.
func (l *Line) Status(ctx context.Context, address string) (*wire.Report, error) {
	if l.cut(ctx, address) {
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

// stallFor is how long the cloud keeps a caller waiting while it stalls, whatever
// the caller's context: about as long as a real client's timeout.
const stallFor = 15 * time.Second

// StallCloud has the cloud keep its callers waiting, without an answer in the
// end, or ends that.
func (f *Fleet) StallCloud(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stalled = on
}

func (f *Fleet) cloudDown() error {
	f.mu.Lock()
	stalled := f.stalled
	f.mu.Unlock()
	if stalled {
		time.Sleep(stallFor)
		return cloud.ErrTrouble
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return cloud.ErrTrouble
	}
	return nil
}

// Cloud returns the fleet's cloud.
func (f *Fleet) Cloud() *Cloud { return &Cloud{f} }

// Cloud stands in for the cloud's interface.
type Cloud struct{ fleet *Fleet }

// Types lists the machine types.
func (c *Cloud) Types(context.Context) ([]wire.MachineType, error) {
	return c.fleet.Types, c.fleet.cloudDown()
}

// Rent rents machines.
func (c *Cloud) Rent(_ context.Context, req wire.RentRequest) ([]string, error) {
	f := c.fleet
	if err := f.cloudDown(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked[req.Request]++
	if f.holding {
		f.rentals = append(f.rentals, req)
		return nil, cloud.ErrTrouble
	}
	names := f.rentLocked(req)
	if len(names) == 0 {
		return nil, cloud.ErrNoCapacity
	}
	return names, nil
}

func (f *Fleet) rentLocked(req wire.RentRequest) (names []string) {
	if names, ok := f.answered[req.Request]; ok {
		return names
	}
	for range req.Count {
		if len(f.workers) >= f.Capacity {
			break
		}
		for _, t := range f.Types {
			if t.Name == req.Type {
				names = append(names, f.addLocked(t, req.Zone, req.Spot, f.Boot))
			}
		}
	}
	if len(names) > 0 {
		f.answered[req.Request] = names
	}
	return names
}

// Return gives machines back.
func (c *Cloud) Return(_ context.Context, machines []string) error {
	f := c.fleet
	if err := f.cloudDown(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.keeping {
		f.returns = append(f.returns, machines)
		return cloud.ErrTrouble
	}
	f.returnLocked(machines)
	return nil
}

func (f *Fleet) returnLocked(machines []string) {
	for _, name := range machines {
		if f.removeLocked(name) {
			f.Returned = append(f.Returned, name)
		}
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

// List lists the machines.
func (c *Cloud) List(context.Context) ([]wire.Machine, error) {
	f := c.fleet
	if err := f.cloudDown(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []wire.Machine
	for _, w := range f.workers {
		all = append(all, wire.Machine{ID: w.name, Address: w.name, Type: w.typ.Name, Zone: w.zone, Spot: w.spot, State: wire.MachineRunning})
	}
	return all, nil
}

var errSilent = errors.New("standin: worker silent")

// command delivers commands. On a slow link they arrive also when the caller has
// given up, as do those that are held back.
func (f *Fleet) command(ctx context.Context, address string, req *wire.CommandRequest) (*wire.Report, error) {
	delay := f.delay(address)
	time.Sleep(time.Millisecond + delay)
	defer wait(ctx, delay)
	f.mu.Lock()
	w := f.workers[address]
	if w != nil && (w.hold || w.hung) {
		w.held = append(w.held, req)
	}
	if w == nil || w.cut || w.deaf || w.hold || w.hung {
		f.mu.Unlock()
		<-ctx.Done()
		return nil, errSilent
	}
	defer f.mu.Unlock()
	w.commandLocked(req)
	w.seq++
	return w.reportLocked(), nil
}

func (f *Fleet) status(ctx context.Context, address string) (*wire.Report, error) {
	wait(ctx, 2*f.delay(address))
	f.mu.Lock()
	w := f.workers[address]
	if w == nil || w.cut || w.deaf || w.hung {
		f.mu.Unlock()
		<-ctx.Done()
		return nil, errSilent
	}
	defer f.mu.Unlock()
	w.seq++
	return w.reportLocked(), nil
}

func (w *Worker) reportLocked() *wire.Report {
	r := &wire.Report{Machine: w.name, Address: w.name, Type: w.typ.Name, Zone: w.zone, Spot: w.spot,
		Session: w.session, Seq: w.seq, Token: w.token}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, t.TaskReport)
	}
	return r
}

func (w *Worker) commandLocked(req *wire.CommandRequest) {
	if req.Token < w.token || req.Session != w.session {
		return
	}
	w.token = req.Token
	w.executeLocked(req.Commands)
}

func (w *Worker) executeLocked(commands []wire.Command) {
	for _, c := range commands {
		key := fmt.Sprintf("%s#%d", c.Task, c.Attempt)
		t := w.tasks[key]
		switch {
		case c.Op == wire.OpStart && t == nil:
			w.startLocked(key, c)
		case c.Op == wire.OpStop && t != nil && t.State != wire.TaskExited:
			w.exitLocked(t, wire.WhyStopped)
		case c.Op == wire.OpForget && t != nil && t.State == wire.TaskExited:
			delete(w.tasks, key)
		}
	}
	w.wake()
}

func (w *Worker) startLocked(key string, c wire.Command) {
	f := w.fleet
	t := &task{TaskReport: wire.TaskReport{Task: c.Task, Attempt: c.Attempt, State: wire.TaskFetching}}
	w.tasks[key] = t
	t.timer = time.AfterFunc(f.Fetch, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if t.State != wire.TaskFetching || w.dead {
			return
		}
		if t.due = w.hung; t.due {
			return
		}
		f.Checker.Started(c.Task, Spot{Machine: w.name, Type: w.typ.Name, Zone: w.zone, Spot: w.spot})
		t.State = wire.TaskRunning
		job, _, _ := wire.SplitTaskID(c.Task)
		if f.Fails != nil && f.Fails(job, w.name) {
			w.exitLocked(t, wire.WhyError)
		} else if d := f.RunFor(c.Task); d > 0 {
			t.timer = time.AfterFunc(d, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				if t.due = w.hung; !t.due && t.State == wire.TaskRunning {
					w.exitLocked(t, wire.WhyDone)
					if f.Ended != nil {
						go f.Ended(c.Task)
					}
				}
			})
		}
		w.wake()
	})
}

func (w *Worker) exitLocked(t *task, why wire.Why) {
	t.timer.Stop()
	if t.State == wire.TaskRunning {
		w.fleet.Checker.Ended(t.Task, why == wire.WhyDone)
	}
	t.State, t.Why = wire.TaskExited, why
	w.wake()
}

func (w *Worker) killLocked() {
	for _, t := range w.tasks {
		if t.State != wire.TaskExited {
			w.exitLocked(t, wire.WhyStopped)
		}
	}
	w.tasks = map[string]*task{}
}

func (w *Worker) wake() {
	select {
	case w.poke <- struct{}{}:
	default:
	}
}

// run reports at regular times and whenever something changes, but not more
// often than every half second.
func (w *Worker) run(boot time.Duration) {
	f := w.fleet
	wait(f.ctx, boot)
	f.mu.Lock()
	w.renewed = time.Now()
	f.mu.Unlock()
	go w.watchLease()
	for f.ctx.Err() == nil {
		f.mu.Lock()
		if w.dead {
			f.mu.Unlock()
			return
		}
		now := time.Now()
		if !w.hung {
			w.seq++
		}
		r, silent := w.reportLocked(), w.cut || w.hung
		f.mu.Unlock()
		if !silent {
			w.exchange(r, now)
		}
		wait(f.ctx, 500*time.Millisecond)
		timer := time.NewTimer(f.ReportEvery - 500*time.Millisecond)
		select {
		case <-w.poke:
		case <-timer.C:
		case <-f.ctx.Done():
		}
		timer.Stop()
	}
}

// watchLease ends the session as soon as its lease has run out, whatever else
// the worker waits for. A machine that hangs goes on within its lease or never.
func (w *Worker) watchLease() {
	f := w.fleet
	for f.ctx.Err() == nil {
		f.mu.Lock()
		if w.dead {
			f.mu.Unlock()
			return
		}
		now := time.Now()
		w.checkLeaseLocked(now)
		left := w.renewed.Add(f.Lease).Sub(now)
		f.mu.Unlock()
		wait(f.ctx, left+time.Millisecond)
	}
}

// checkLeaseLocked ends the session if the lease has run out.
func (w *Worker) checkLeaseLocked(now time.Time) {
	if now.Sub(w.renewed) > w.fleet.Lease {
		w.killLocked()
		w.session++
		w.renewed = now
		w.fleet.lapsed++
	}
}

// maxLate bounds the reports of one machine that are held back.
const maxLate = 50

func (w *Worker) exchange(r *wire.Report, sent time.Time) {
	f := w.fleet
	node := f.Nodes[w.node%len(f.Nodes)]
	f.mu.Lock()
	silent, life, delay := w.mute || w.holdReports || !f.reachesLocked(node, w), w.life, w.delay
	if w.holdReports && len(w.lateReports) < maxLate {
		w.lateReports = append(w.lateReports, r)
	}
	f.mu.Unlock()
	var status int
	var reply *wire.ReportReply
	var redirect string
	if silent {
		wait(f.ctx, 4*time.Second) // no response comes
	} else {
		wait(f.ctx, delay)
		status, reply, redirect = f.Report(node, r)
		wait(f.ctx, delay)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case w.dead || w.cut || w.deaf || w.hung || w.life != life:
	case status == 200:
		f.Checker.Commanded(reply.Commands)
		if reply.Token < w.token || r.Session != w.session {
			return
		}
		w.token, w.renewed = reply.Token, sent
		w.executeLocked(reply.Commands)
	case status == 421 && slices.Contains(f.Nodes, redirect):
		w.node = slices.Index(f.Nodes, redirect)
		w.wake()
	default:
		w.node++
	}
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
