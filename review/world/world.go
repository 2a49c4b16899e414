package world

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"heronwick/internal/cluster"
	"heronwick/internal/failovertest"
	"heronwick/internal/standin"
	"heronwick/wire"
)

// Team is a team of the settings.
type Team struct {
	Name          string
	CPUs, CPUsMax float64
}

// Options describe a small deployment.
type Options struct {
	Dir      string // for settings and logs
	Program  string // the built controller
	Nodes    []string
	Teams    []Team
	Type     wire.MachineType
	Workers  int // machines at the start
	Capacity int // machines at most

	ReportS, LeaseS, CancelS float64
	CoreShare, RAMMB         float64
	StateRPS, StateWrites    float64
	ValueKB                  float64
	TxnOps                   int
	TaskDuration             func(task string) time.Duration
	ImageFetch               time.Duration
	Record                   io.Writer
}

// World is a running deployment.
type World struct {
	Store   *standin.State
	Fleet   *standin.Fleet
	Checker *standin.Checker
	Nodes   []*Node

	opts    Options
	ctx     context.Context
	started time.Time

	mu        sync.Mutex
	listeners []net.Listener
	addresses map[string]string // of the workers, by machine
	seen      int               // violations that are in the record
}

// New returns a world whose stand-ins run until ctx ends and whose controllers are not
// started yet.
func New(ctx context.Context, o Options) (*World, error) {
	w := &World{opts: o, ctx: ctx, started: time.Now(), Store: standin.NewState(), Checker: standin.NewChecker(), addresses: map[string]string{}}
	w.Store.RequestRate, w.Store.WriteRate = o.StateRPS, o.StateWrites
	w.Store.MaxValueBytes, w.Store.MaxTxnOps = int(o.ValueKB*1024), o.TxnOps
	w.Checker.TeamQuotas = map[string]float64{}
	for _, team := range o.Teams {
		if team.CPUsMax > 0 {
			w.Checker.TeamQuotas[team.Name] = team.CPUsMax
		}
	}
	w.Checker.CancelTimeout = seconds(o.CancelS)
	w.Fleet = &standin.Fleet{
		Types: []wire.MachineType{o.Type}, Capacity: o.Capacity, BootTime: seconds(o.Type.BootS), ImageFetchTime: o.ImageFetch,
		HeartbeatInterval: seconds(o.ReportS), Lease: seconds(o.LeaseS), TaskDuration: o.TaskDuration,
		DeliverHeartbeat: w.deliverHeartbeat, Nodes: o.Nodes, Checker: w.Checker,
	}
	w.Fleet.Start(ctx)
	if err := w.addNodes(); err != nil {
		return nil, err
	}
	for range o.Workers {
		w.Fleet.Add(false)
	}
	go w.closeOnSignal()
	return w, nil
}

// closeOnSignal ends all controllers and this process if it is told to end, for example because
// a script has taken too long. The case then counts as one that could not run.
func (w *World) closeOnSignal() {
	const cannotRun = 2
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	w.Close()
	os.Exit(cannotRun)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Event writes a line with the time since the start to the record.
func (w *World) Event(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.opts.Record, "%8.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// NewViolations writes the violations since the last call to the record and returns them.
func (w *World) NewViolations() []string {
	all := w.Checker.Violations()
	w.mu.Lock()
	fresh := all[w.seen:]
	w.seen = len(all)
	w.mu.Unlock()
	for _, v := range fresh {
		w.Event("checker: %s", v)
	}
	return fresh
}

// Close kills all controllers and closes all listeners.
func (w *World) Close() {
	for _, n := range w.Nodes {
		n.Kill()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range w.listeners {
		_ = l.Close()
	}
}

// Epoch returns the epoch that is in the store.
func (w *World) Epoch() cluster.Epoch {
	var e cluster.Epoch
	_ = json.Unmarshal(w.Store.Get("cluster/epoch"), &e) // no epoch yet is the zero value
	return e
}

// WaitEpoch waits until the epoch satisfies a condition, and returns it.
func (w *World) WaitEpoch(ctx context.Context, timeout time.Duration, ok func(e *cluster.Epoch) bool) (cluster.Epoch, bool) {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline) && ctx.Err() == nil; {
		if e := w.Epoch(); ok(&e) {
			return e, true
		}
		time.Sleep(2 * time.Millisecond)
	}
	return w.Epoch(), false
}

// Call sends a user's request to a node and shows it to the checker. status is 0 without a
// response.
func (w *World) Call(n *Node, method, path string, body []byte) (status int, reply wire.JobStatus) {
	w.Checker.ObserveRequest(method, path, body)
	status, text := n.call(method, path, body, 5*time.Second)
	_ = json.Unmarshal(text, &reply) // not every response is a job's status
	if status != 0 {
		w.Checker.ObserveResponse(path, body, status, reply)
	}
	w.Event("user: %s %s at %s: %d %s", method, path, n.Name, status, reply.State)
	return status, reply
}

// Submit submits a job, at each node in turn, until one accepts it.
func (w *World) Submit(job map[string]any, nodes []*Node, timeout time.Duration) bool {
	body, err := json.Marshal(job)
	if err != nil {
		panic(err) // cannot happen: the values can be encoded
	}
	for deadline, i := time.Now().Add(timeout), 0; time.Now().Before(deadline); i++ {
		status, _ := w.Call(nodes[i%len(nodes)], http.MethodPost, wire.PathJobs, body)
		if status == http.StatusOK || status == http.StatusCreated {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// Cancel cancels a job, at each node in turn, until one confirms it.
func (w *World) Cancel(id string, nodes []*Node, timeout time.Duration) bool {
	for deadline, i := time.Now().Add(timeout), 0; time.Now().Before(deadline); i++ {
		status, _ := w.Call(nodes[i%len(nodes)], http.MethodPost, wire.PathJobs+"/"+id+"/"+wire.SuffixCancel, nil)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// Running returns how many tasks of a job are on machines.
func (w *World) Running(id string) (count int) {
	for task := range w.Checker.Running() {
		if strings.HasPrefix(task, id+"/") {
			count++
		}
	}
	return count
}

// serve serves HTTP requests at a free loopback address.
func (w *World) serve(handler fasthttp.RequestHandler) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listening: %w", err)
	}
	w.mu.Lock()
	w.listeners = append(w.listeners, listener)
	w.mu.Unlock()
	server := &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, Logger: discard{}}
	go func() { _ = server.Serve(listener) }() // ends when the listener is closed
	return listener.Addr().String(), nil
}

// discard discards the errors of connections.
type discard struct{}

// Printf implements fasthttp.Logger.
func (discard) Printf(string, ...any) {}

func reply(request *fasthttp.RequestCtx, status int, value any) {
	request.SetStatusCode(status)
	_ = json.NewEncoder(request).Encode(value)
}

// cloudHandler serves the cloud.
func (w *World) cloudHandler() fasthttp.RequestHandler {
	service := listedCloud{w.Fleet.Cloud(), w}
	machines := failovertest.MachinesHandler(service)
	return func(request *fasthttp.RequestCtx) {
		if string(request.Path()) != wire.PathTypes {
			machines(request)
			return
		}
		reply(request, http.StatusOK, wire.MachineTypes{Types: w.Fleet.Types})
	}
}

// listedCloud is a cloud that lists the loopback addresses of the workers.
type listedCloud struct {
	*standin.Cloud
	world *World
}

// List implements failovertest.MachineService.
func (c listedCloud) List(ctx context.Context) ([]wire.Machine, error) {
	machines, err := c.Cloud.List(ctx)
	for i := range machines {
		address, serveErr := c.world.workerAddress(machines[i].ID)
		if serveErr != nil {
			return nil, serveErr
		}
		machines[i].Address = address
	}
	return machines, err
}

// workerAddress returns the address of a machine's worker, which is served from the first
// call on.
func (w *World) workerAddress(machine string) (string, error) {
	w.mu.Lock()
	address := w.addresses[machine]
	w.mu.Unlock()
	if address != "" {
		return address, nil
	}
	address, err := w.serve(w.workerHandler(machine))
	if err != nil {
		return "", err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addresses[machine] = address
	return address, nil
}

// workerHandler serves /orders and /show of one worker.
func (w *World) workerHandler(machine string) fasthttp.RequestHandler {
	link := w.Fleet.LinkFrom("")
	return func(request *fasthttp.RequestCtx) {
		ctx, cancel := context.WithTimeout(w.ctx, 5*time.Second)
		defer cancel()
		var report *wire.Heartbeat
		var err error
		status := http.StatusOK
		if string(request.Path()) == wire.PathStatus {
			report, err = link.Status(ctx, machine)
		} else {
			var commands wire.CommandRequest
			if json.Unmarshal(request.PostBody(), &commands) != nil {
				request.SetStatusCode(http.StatusBadRequest)
				return
			}
			report, err = link.Command(ctx, machine, &commands)
			if err == nil && (commands.FencingToken < report.FencingToken || commands.Incarnation != report.Incarnation) {
				status = http.StatusConflict
			}
			w.Event("orders to %s: token %d, %d commands: %v", machine, commands.FencingToken, len(commands.Commands), commands.Commands)
		}
		if err != nil {
			_ = request.Conn().Close()
			return
		}
		reply(request, status, w.withAddress(report))
	}
}

func (w *World) withAddress(report *wire.Heartbeat) *wire.Heartbeat {
	if address, err := w.workerAddress(report.Machine); err == nil {
		report.Address = address
	}
	return report
}

// deliverHeartbeat sends a worker's report to a controller.
func (w *World) deliverHeartbeat(node string, report *wire.Heartbeat) standin.HeartbeatResponse {
	n := w.Node(node)
	body, err := json.Marshal(w.withAddress(report))
	if n == nil || err != nil {
		return standin.HeartbeatResponse{}
	}
	status, text := n.call(http.MethodPost, wire.PathHeartbeat, body, 4*time.Second)
	if status == 0 {
		return standin.HeartbeatResponse{}
	}
	answer := &wire.HeartbeatReply{}
	var redirect wire.NotLeaderReply
	_ = json.Unmarshal(text, answer) // the type of the body depends on the status
	_ = json.Unmarshal(text, &redirect)
	if status == http.StatusOK && len(answer.Commands) > 0 {
		w.Event("answer of %s to %s: token %d: %v", node, report.Machine, answer.FencingToken, answer.Commands)
	}
	return standin.HeartbeatResponse{Status: status, Reply: answer, Redirect: redirect.Leader}
}

// Node returns the node with a name, or nil.
func (w *World) Node(name string) *Node {
	for _, n := range w.Nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// writeSettings writes a node's settings file and serves what it names.
func (w *World) writeSettings(n *Node) error {
	o := &w.opts
	store, err := w.serve(n.storeHandler(w))
	if err != nil {
		return err
	}
	cloud, err := w.serve(w.cloudHandler())
	if err != nil {
		return err
	}
	var t strings.Builder
	zone := o.Type.Zones[0]
	fmt.Fprintf(&t, "node = %q\nlocation = %q\nbind = %q\npeer_bind = %q\n", n.Name, zone, n.bind, n.peerBind)
	for _, other := range w.Nodes {
		if other != n {
			fmt.Fprintf(&t, "[[seeds]]\nnode = %q\nlocation = %q\nendpoint = %q\n", other.Name, zone, other.peerBind)
		}
	}
	fmt.Fprintf(&t, "[outside]\ncloud = %q\nstate = %q\n", cloud, store)
	fmt.Fprintf(&t, "[cluster]\nsize = %d\nzones = [%q]\nclock_error_ms = 1000.0\n", len(w.Nodes), zone)
	for _, team := range o.Teams {
		fmt.Fprintf(&t, "[[cluster.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n", team.Name, team.CPUs, team.CPUsMax)
	}
	fmt.Fprintf(&t, "[cluster.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 45.0\ngang_peer_s = 5.0\ncancel_s = %.1f\n", o.ReportS, o.LeaseS, o.CancelS)
	fmt.Fprintf(&t, "[cluster.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n", o.StateRPS, o.StateWrites, o.ValueKB, o.TxnOps)
	t.WriteString("[cluster.cloud]\nrps = 2.0\nlist_lag_s = 12.0\n")
	fmt.Fprintf(&t, "[cluster.machine_limits]\ncore_share = %.2f\nram_mb = %.1f\nmax_connections = 1500\n", o.CoreShare, o.RAMMB)
	n.settings = filepath.Join(o.Dir, n.Name+".toml")
	if err := os.WriteFile(n.settings, []byte(t.String()), 0o600); err != nil {
		return fmt.Errorf("writing the settings of %s: %w", n.Name, err)
	}
	return nil
}
