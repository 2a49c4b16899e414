package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"runtime/pprof"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/config"
	"heronwick/internal/standin"
	"heronwick/wire"
)

// node is one controller's place in a test cluster: the controller that runs
// there now, if any.
type node struct {
	name    string
	current atomic.Pointer[controller]
	alone   atomic.Bool // cut off from its peers
	busy    atomic.Bool // short of processor time
	old     atomic.Bool // runs the version that does not know of feature levels
	stop    context.CancelFunc

	mu    sync.Mutex
	calls []func(c *controller) // the last that peers made
}

// latency is the scheduling latency that the node's controller measures.
func (n *node) latency() time.Duration {
	if n.busy.Load() {
		return time.Second
	}
	return 0
}

// maxCalls bounds the calls of peers that can be repeated.
const maxCalls = 50

func (n *node) called(call func(c *controller)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls = append(n.calls, call)
	n.calls = n.calls[max(0, len(n.calls)-maxCalls):]
}

// repeatCalls makes the last calls of peers come again, late.
func (n *node) repeatCalls() {
	n.mu.Lock()
	calls := slices.Clone(n.calls)
	n.mu.Unlock()
	if c := n.current.Load(); c != nil {
		for _, call := range calls {
			call(c)
		}
	}
}

// testCluster is three controllers with stand-ins for the rest.
type testCluster struct {
	t *testing.T
	// settings changes a controller's settings before it starts.
	settings func(*config.Settings)
	duties   bool // single duties are on
	ctx      context.Context
	state    *standin.State
	fleet    *standin.Fleet
	nodes    []*node
	began    time.Time

	mu     sync.Mutex
	copies []*wire.Report // of reports so far, one in twenty
	heard  int
}

// anyCopy returns one of the reports so far, nil if there are none.
func (tc *testCluster) anyCopy(random *rand.Rand) *wire.Report {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	if len(tc.copies) == 0 {
		return nil
	}
	return tc.copies[random.IntN(len(tc.copies))]
}

// link is a peer's connection, cut while nobody runs at its end or either end
// is cut off from its peers.
type link struct{ from, to *node }

var errDown = errors.New("connection refused")

func (l link) end() *controller {
	if l.from.alone.Load() || l.to.alone.Load() {
		return nil
	}
	return l.to.current.Load()
}

func (l link) Beat(_ context.Context, mine *peerpb.Status) (*peerpb.Status, error) {
	c := l.end()
	if c == nil {
		return nil, errDown
	}
	mine = l.asTold(l.from, mine)
	l.to.called(func(c *controller) { c.members.HandleBeat(mine) })
	return l.asTold(l.to, c.members.HandleBeat(mine)), nil
}

// asTold is what the other end takes of a node's status: an old version tells no
// feature level, and reads none.
func (l link) asTold(by *node, status *peerpb.Status) *peerpb.Status {
	if by.old.Load() || l.from.old.Load() || l.to.old.Load() {
		status = proto.CloneOf(status)
		status.FeatureLevel = 0
	}
	return status
}

func (l link) Place(_ context.Context, req *peerpb.PlaceRequest) (*peerpb.PlaceReply, error) {
	c := l.end()
	if c == nil {
		return nil, errDown
	}
	l.to.called(func(c *controller) { c.Place(req) })
	return c.Place(req), nil
}

func (l link) Settle(_ context.Context, req *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	c := l.end()
	if c == nil {
		return nil, errDown
	}
	l.to.called(func(c *controller) { c.Settle(req) })
	return c.Settle(req), nil
}

func (l link) Tell(_ context.Context, req *peerpb.TellRequest) (*peerpb.TellReply, error) {
	c := l.end()
	if c == nil {
		return nil, errDown
	}
	l.to.called(func(c *controller) { c.members.HandleTell(req) })
	return c.members.HandleTell(req), nil
}

func (l link) Do(ctx context.Context, method, target string, body []byte) (int, []byte, error) {
	c := l.end()
	if c == nil {
		return 0, nil, errDown
	}
	return c.route.Direct(ctx, method, target, body)
}

// withCluster runs f in a bubble with a fake clock, after the cluster has
// settled on a leader, and checks the rules at the end.
func withCluster(t *testing.T, machines int, prepare func(*testCluster), f func(*testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		tc := &testCluster{t: t, ctx: ctx, state: standin.NewState(), began: time.Now()}
		tc.fleet = &standin.Fleet{
			Types:    []wire.MachineType{{Name: "m", CPUs: 8, MemoryGB: 32, CacheGB: 20, FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 10, Zones: []string{"z"}}},
			Capacity: machines + 2, Boot: 10 * time.Second, Fetch: 300 * time.Millisecond,
			ReportEvery: 2 * time.Second, Lease: 12 * time.Second,
			RunFor: func(string) time.Duration { return 20 * time.Second },
			Nodes:  []string{"n0", "n1", "n2"},
			Report: tc.report,
		}
		for _, name := range tc.fleet.Nodes {
			tc.nodes = append(tc.nodes, &node{name: name})
		}
		if prepare != nil {
			prepare(tc)
		}
		tc.fleet.Checker = standin.NewChecker()
		tc.fleet.Checker.Limits = map[string]float64{"red": 16}
		tc.fleet.Checker.CancelIn = 25 * time.Second
		tc.fleet.Checker.NoStartAfter = 3500 * time.Millisecond // a permission, and a little
		tc.fleet.Start(ctx)
		for i := range tc.nodes {
			tc.start(i)
		}
		for range machines {
			tc.fleet.Add(false)
		}
		time.Sleep(5 * time.Second)
		f(tc)
		if broken := tc.fleet.Checker.Broken(); len(broken) > 0 {
			t.Errorf("rules broken: %v", broken)
		}
		cancel()
		time.Sleep(20 * time.Second) // lets the last timers end
	})
}

func (tc *testCluster) start(i int) {
	n := tc.nodes[i]
	settings := &config.Settings{
		Node: n.name, Zone: "z", Zones: tc.fleet.Types[0].Zones,
		Teams:       []config.Team{{Name: "red", CPUsMax: 16}, {Name: "blue"}},
		ReportEvery: 2 * time.Second, LeaseFor: 12 * time.Second, CancelIn: 25 * time.Second,
		StateRPS: 150, StateWriteRPS: 60, ValueBytes: 16 << 10, TxnOps: 16, CloudRPS: 5, ListLag: 3 * time.Second,
		Cores: 1, MemoryBytes: 64 << 20, MaxConnections: 100,
	}
	if tc.duties {
		settings.DutyLease = 6 * time.Second
	}
	if tc.settings != nil {
		tc.settings(settings)
	}
	out := outside{state: tc.state.Node(n.name), cloud: tc.fleet.Cloud(), workers: tc.fleet.From(n.name), peers: map[string]peer{}}
	for _, other := range tc.nodes {
		if other != n {
			settings.Peers = append(settings.Peers, config.Peer{Node: other.name})
			out.peers[other.name] = link{n, other}
		}
	}
	ctx, stop := context.WithCancel(tc.ctx)
	c := newController(settings, out, slog.New(slog.NewTextHandler(io.Discard, nil)))
	c.latency = n.latency
	n.stop = stop
	n.current.Store(c)
	go pprof.Do(ctx, pprof.Labels(nodeLabel, n.name), func(ctx context.Context) { _ = c.run(ctx) })
}

// nodeLabel marks the goroutines of a node's controller.
const nodeLabel = "node"

// goroutines counts those of the node's controller.
func (n *node) goroutines() (count int) {
	var profile bytes.Buffer
	if err := pprof.Lookup("goroutine").WriteTo(&profile, 1); err != nil {
		panic(err) // a buffer takes everything
	}
	alike := 0 // goroutines of the stack that is being read
	for line := range strings.Lines(profile.String()) {
		_, _ = fmt.Sscanf(line, "%d @", &alike)
		if strings.HasPrefix(line, "# labels:") && strings.Contains(line, fmt.Sprintf("%q:%q", nodeLabel, n.name)) {
			count += alike
		}
	}
	return count
}

func (tc *testCluster) crash(i int) {
	tc.nodes[i].current.Store(nil)
	tc.nodes[i].stop()
}

// leader returns the index of the node that leads.
func (tc *testCluster) leader() int {
	for i, n := range tc.nodes {
		if c := n.current.Load(); c != nil {
			if _, leads, _ := c.members.Current(); leads && c.members.Permitted() {
				return i
			}
		}
	}
	tc.t.Fatal("nobody leads")
	return -1
}

// call sends a request to node i and returns the answer.
func (tc *testCluster) call(i int, method, path string, body any) (int, map[string]any, *fasthttp.RequestCtx) {
	c := tc.nodes[i].current.Load()
	if c == nil {
		return 0, nil, nil
	}
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(method)
	ctx.Request.SetRequestURI(path)
	switch b := body.(type) {
	case nil:
	case string:
		ctx.Request.SetBodyString(b)
	default:
		text, err := json.Marshal(b)
		if err != nil {
			tc.t.Error(err) // not Fatal: goroutines of a test call this too
			return 0, nil, nil
		}
		ctx.Request.SetBody(text)
	}
	tc.fleet.Checker.Asked(method, path, ctx.Request.Body())
	c.front.Handle(&ctx)
	var answer map[string]any
	_ = json.Unmarshal(ctx.Response.Body(), &answer)
	var status wire.JobStatus
	_ = json.Unmarshal(ctx.Response.Body(), &status)
	tc.fleet.Checker.Answered(path, ctx.Request.Body(), ctx.Response.StatusCode(), status)
	return ctx.Response.StatusCode(), answer, &ctx
}

func (tc *testCluster) report(name string, r *wire.Report) (int, *wire.ReportReply, string) {
	tc.mu.Lock()
	if tc.heard++; tc.heard%20 == 0 {
		tc.copies = append(tc.copies, r)
	}
	tc.mu.Unlock()
	i := slices.IndexFunc(tc.nodes, func(n *node) bool { return n.name == name })
	status, _, ctx := tc.call(i, "POST", "/checkin", r)
	if ctx == nil {
		return 0, nil, ""
	}
	var reply wire.ReportReply
	var redirect wire.Redirect
	_ = json.Unmarshal(ctx.Response.Body(), &reply)
	_ = json.Unmarshal(ctx.Response.Body(), &redirect)
	return status, &reply, redirect.ReportTo
}

// submission is one that is well formed, with changes.
func submission(id int, change func(map[string]any)) map[string]any {
	j := map[string]any{
		"uid": fmt.Sprintf("wk-%06d", id), "flight": "c", "roost": "blue", "gait": "array", "rank": "normal",
		"feathers": 3, "cores": 2.0, "accelerators": 0.0, "ram_gb": 4.0, "plumage": "img", "pull_gb": 0.5,
		"breeds": nil, "marsh": nil, "same_place": false, "spread": false, "drift": true,
		"flight_s": 20.0, "molt_s": 0.0, "preen_s": 0.0, "dusk_s": nil, "later": "ignored",
	}
	if change != nil {
		change(j)
	}
	return j
}

func (tc *testCluster) expect(i int, method, path string, body any, status int, stance string) {
	tc.t.Helper()
	got, answer, _ := tc.call(i, method, path, body)
	if got != status || stance != "" && answer["stance"] != stance {
		tc.t.Errorf("%s %s: got %d %v, want %d %q", method, path, got, answer, status, stance)
	}
}

// From acceptance to done, with every answer of the user interface on the
// way, at every controller.
func TestJobFromSubmissionToDone(t *testing.T) {
	withCluster(t, 2, nil, func(tc *testCluster) {
		tc.expect(0, "GET", "/submissions/wk-000001", nil, 404, "")
		tc.expect(0, "POST", "/submissions", submission(1, nil), 201, "queued")
		tc.expect(1, "POST", "/submissions", submission(1, nil), 200, "")
		time.Sleep(5 * time.Second)
		for i := range tc.nodes {
			tc.expect(i, "GET", "/submissions/wk-000001", nil, 200, "running")
		}
		time.Sleep(25 * time.Second)
		for i := range tc.nodes {
			tc.expect(i, "GET", "/submissions/wk-000001", nil, 200, "done")
		}
		// A late retry is answered as what it is, whatever else it holds.
		tc.expect(2, "POST", "/submissions", submission(1, func(j map[string]any) { j["cores"] = -1 }), 200, "done")
		tc.expect(2, "POST", "/submissions/wk-000001/withdraw", nil, 200, "done")
		tc.expect(0, "GET", "/submissions/wk-000001", nil, 200, "done")
	})
}

func TestRefusals(t *testing.T) {
	withCluster(t, 1, nil, func(tc *testCluster) {
		for _, test := range []struct {
			name   string
			method string
			path   string
			body   any
			status int
			field  string
		}{
			{"not JSON", "POST", "/submissions", "{", 400, ""},
			{"not an object", "POST", "/submissions", "[1]", 400, ""},
			{"null", "POST", "/submissions", "null", 400, ""},
			{"bad id", "POST", "/submissions", submission(1, func(j map[string]any) { j["uid"] = "x" }), 400, "uid"},
			{"missing field", "POST", "/submissions", submission(1, func(j map[string]any) { delete(j, "ram_gb") }), 400, "ram_gb"},
			{"null field", "POST", "/submissions", submission(1, func(j map[string]any) { j["spread"] = nil }), 400, "spread"},
			{"wrong type", "POST", "/submissions", submission(1, func(j map[string]any) { j["cores"] = "4" }), 400, "cores"},
			{"too many tasks", "POST", "/submissions", submission(1, func(j map[string]any) { j["feathers"] = 100001 }), 400, "feathers"},
			{"half a task", "POST", "/submissions", submission(1, func(j map[string]any) { j["feathers"] = 1.5 }), 400, "feathers"},
			{"huge number", "POST", "/submissions", strings.Replace(string(mustJSON(submission(1, nil))), `"cores":2`, `"cores":1e999`, 1), 400, "cores"},
			{"unknown kind", "POST", "/submissions", submission(1, func(j map[string]any) { j["gait"] = "trot" }), 400, "gait"},
			{"unknown priority", "POST", "/submissions", submission(1, func(j map[string]any) { j["rank"] = "top" }), 400, "rank"},
			{"unknown team", "POST", "/submissions", submission(1, func(j map[string]any) { j["roost"] = "green" }), 422, "roost"},
			{"fits no machine", "POST", "/submissions", submission(1, func(j map[string]any) { j["cores"] = 9 }), 422, ""},
			{"over the limit", "POST", "/submissions", submission(1, func(j map[string]any) { j["roost"], j["gait"], j["feathers"] = "red", "daemon", 9 }), 422, "feathers"},
			{"unknown job", "GET", "/submissions/wk-999999", nil, 404, ""},
			{"no id", "GET", "/submissions/nonsense", nil, 404, ""},
			{"cancel unknown", "POST", "/submissions/wk-999999/withdraw", nil, 404, ""},
			{"unknown path", "GET", "/nothing", nil, 404, ""},
			{"wrong method", "DELETE", "/submissions", nil, 405, ""},
			{"ready", "GET", "/ready", nil, 200, ""},
		} {
			status, answer, _ := tc.call(0, test.method, test.path, test.body)
			field, _ := answer["field"].(string)
			if status != test.status || test.field != "" && field != test.field {
				t.Errorf("%s: got %d %v, want %d about %q", test.name, status, answer, test.status, test.field)
			}
		}
	})
}

func mustJSON(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return text
}

// Cancelling stops what runs, also what a new leader only finds on machines.
func TestCancelRunning(t *testing.T) {
	withCluster(t, 2, func(tc *testCluster) {
		tc.fleet.RunFor = func(string) time.Duration { return 0 }
	}, func(tc *testCluster) {
		service := func(j map[string]any) { j["gait"] = "daemon" }
		tc.expect(0, "POST", "/submissions", submission(1, service), 201, "")
		tc.expect(0, "POST", "/submissions", submission(2, service), 201, "")
		time.Sleep(3 * time.Second)
		tc.expect(1, "POST", "/submissions/wk-000001/withdraw", nil, 200, "aborted")
		time.Sleep(3 * time.Second)
		if n := len(tc.fleet.Checker.Running()); n != 3 {
			t.Errorf("%d tasks run, want the other job's 3", n)
		}
		old := tc.leader()
		tc.crash(old)
		tc.expect((old+1)%3, "POST", "/submissions/wk-000002/withdraw", nil, 200, "aborted")
		time.Sleep(10 * time.Second)
		if running := tc.fleet.Checker.Running(); len(running) != 0 {
			t.Errorf("tasks of cancelled jobs run: %v", running)
		}
	})
}

// A start that is still under way when its job is cancelled may be carried
// out late; the token is raised so that it never is, or it is stopped.
func TestCancelWithLateStart(t *testing.T) {
	withCluster(t, 1, nil, func(tc *testCluster) {
		tc.fleet.HoldCommands("host-000001", true)
		tc.expect(0, "POST", "/submissions", submission(1, nil), 201, "")
		time.Sleep(100 * time.Millisecond)
		tc.expect(1, "POST", "/submissions/wk-000001/withdraw", nil, 200, "aborted")
		time.Sleep(10 * time.Second)
		tc.fleet.HoldCommands("host-000001", false)
		time.Sleep(3 * time.Second)
		if n := tc.fleet.Checker.Starts("wk-000001/0"); n != 0 {
			t.Errorf("a task of a cancelled job started %d times", n)
		}
		for i := range tc.nodes {
			tc.expect(i, "GET", "/submissions/wk-000001", nil, 200, "aborted")
		}
	})
}

// The leader ends while a worker cannot be reached. Its tasks may run on, so
// they are placed again only once its machine is returned or its lease gone.
func TestTakeoverWithUnreachableWorker(t *testing.T) {
	withCluster(t, 3, func(tc *testCluster) {
		tc.fleet.RunFor = func(string) time.Duration { return 0 }
	}, func(tc *testCluster) {
		tc.expect(0, "POST", "/submissions", submission(1, func(j map[string]any) { j["gait"], j["feathers"] = "daemon", 4 }), 201, "")
		time.Sleep(3 * time.Second)
		before := tc.fleet.Checker.Running()
		if len(before) != 4 {
			t.Fatalf("%d of 4 replicas run", len(before))
		}
		machine := before["wk-000001/0"]
		old := tc.leader()
		tc.fleet.SetCloud(true) // no proof by returning it
		tc.fleet.Cut(machine, true)
		tc.crash(old)
		time.Sleep(8 * time.Second)
		tc.start(old)
		if n := tc.fleet.Checker.Starts("wk-000001/0"); n != 1 {
			t.Errorf("started %d times before its lease can have lapsed", n)
		}
		time.Sleep(30 * time.Second)
		if running := tc.fleet.Checker.Running(); len(running) != 4 || running["wk-000001/0"] == machine {
			t.Errorf("replicas not all back on other machines: %v, lost %s", running, machine)
		}
	})
}

// In an outage of the state service nothing new is decided, but workers keep
// their leases and tasks run on; afterwards everything goes on.
func TestStateOutage(t *testing.T) {
	withCluster(t, 2, func(tc *testCluster) {
		tc.fleet.RunFor = func(string) time.Duration { return 50 * time.Second }
	}, func(tc *testCluster) {
		tc.expect(0, "POST", "/submissions", submission(1, nil), 201, "")
		time.Sleep(3 * time.Second)
		tc.state.SetOutage(true)
		time.Sleep(time.Second)
		began := time.Now()
		status, _, ctx := tc.call(1, "POST", "/submissions", submission(2, nil))
		if status != 503 || string(ctx.Response.Header.Peek("Retry-After")) == "" || time.Since(began) > 2*time.Second {
			t.Errorf("submission in an outage: status %d after %v, Retry-After %q", status, time.Since(began), ctx.Response.Header.Peek("Retry-After"))
		}
		time.Sleep(30 * time.Second) // far longer than a lease
		for i := range tc.nodes {
			tc.expect(i, "GET", "/ready", nil, 200, "")
		}
		tc.state.SetOutage(false)
		time.Sleep(25 * time.Second)
		tc.expect(2, "GET", "/submissions/wk-000001", nil, 200, "done")
		for i := range 3 {
			if n := tc.fleet.Checker.Starts(fmt.Sprintf("wk-000001/%d", i)); n != 1 {
				t.Errorf("task %d started %d times", i, n)
			}
		}
	})
}

// A controller that alone is refused by the state service answers through
// the others.
func TestStateRefusedToOne(t *testing.T) {
	withCluster(t, 2, nil, func(tc *testCluster) {
		tc.expect(0, "POST", "/submissions", submission(1, nil), 201, "")
		for i, n := range tc.nodes {
			tc.state.Refuse(n.name, true)
			time.Sleep(10 * time.Second)
			tc.expect(i, "GET", "/submissions/wk-000001", nil, 200, "")
			tc.expect(i, "POST", "/submissions", submission(10+i, nil), 201, "")
			tc.expect(i, "GET", "/submissions/wk-777777", nil, 404, "")
			tc.state.Refuse(n.name, false)
		}
	})
}

// A team's limit holds over a takeover: what may still run counts.
func TestQuotaOverTakeover(t *testing.T) {
	withCluster(t, 4, func(tc *testCluster) {
		tc.fleet.RunFor = func(string) time.Duration { return 0 }
	}, func(tc *testCluster) {
		for id := range 3 {
			tc.expect(0, "POST", "/submissions", submission(id, func(j map[string]any) { j["roost"], j["gait"], j["feathers"] = "red", "daemon", 4 }), 201, "")
		}
		time.Sleep(3 * time.Second)
		check := func(when string) {
			if n := len(tc.fleet.Checker.Running()); n != 8 {
				t.Errorf("%s: %d tasks of 2 CPUs run, the limit is 16 CPUs", when, n)
			}
		}
		check("before")
		for range 2 {
			old := tc.leader()
			tc.crash(old)
			time.Sleep(6 * time.Second)
			tc.start(old)
			time.Sleep(2 * time.Second)
			check("after a takeover")
		}
	})
}

// All controllers end at once and come back: nothing is lost, no lease lapses.
func TestAllControllersRestart(t *testing.T) {
	withCluster(t, 2, func(tc *testCluster) {
		tc.fleet.RunFor = func(string) time.Duration { return 25 * time.Second }
	}, func(tc *testCluster) {
		tc.expect(0, "POST", "/submissions", submission(1, nil), 201, "")
		time.Sleep(3 * time.Second)
		for i := range tc.nodes {
			tc.crash(i)
		}
		time.Sleep(5 * time.Second)
		for i := range tc.nodes {
			tc.start(i)
		}
		time.Sleep(22 * time.Second)
		for i := range tc.nodes {
			tc.expect(i, "GET", "/submissions/wk-000001", nil, 200, "done")
		}
		if n := tc.fleet.Checker.Starts("wk-000001/0"); n != 1 {
			t.Errorf("a task started %d times", n)
		}
	})
}

// A machine on which everything fails is set aside and returned; a job that
// fails everywhere empties no fleet.
func TestFailingMachineAndFailingJob(t *testing.T) {
	withCluster(t, 3, func(tc *testCluster) {
		tc.fleet.Fails = func(job, machine string) bool { return machine == "host-000001" || job == "wk-000099" }
	}, func(tc *testCluster) {
		tc.expect(0, "POST", "/submissions", submission(99, nil), 201, "")
		for id := range 6 {
			tc.expect(0, "POST", "/submissions", submission(id, nil), 201, "")
			time.Sleep(2 * time.Second)
		}
		time.Sleep(60 * time.Second)
		for id := range 6 {
			tc.expect(0, "GET", fmt.Sprintf("/submissions/wk-%06d", id), nil, 200, "done")
		}
		if !slices.Equal(tc.fleet.Returned, []string{"host-000001"}) {
			t.Errorf("returned %v, want only the failing machine", tc.fleet.Returned)
		}
		tc.expect(0, "GET", "/submissions/wk-000099", nil, 200, "")
		tc.expect(1, "POST", "/submissions/wk-000099/withdraw", nil, 200, "aborted")
	})
}

// Whatever machines have moved between shares: at most one controller answers
// a worker. An answer from another would renew a lease that the owner counts
// as lapsed, and its tasks would run twice.
func TestOneControllerAnswersEachWorker(t *testing.T) {
	withCluster(t, 6, func(tc *testCluster) {
		tc.fleet.RunFor = func(string) time.Duration { return 0 }
	}, func(tc *testCluster) {
		for id := range 8 {
			tc.expect(id%3, "POST", "/submissions", submission(id, func(j map[string]any) {
				j["roost"], j["gait"], j["feathers"] = []string{"red", "blue"}[id%2], "daemon", 2
			}), 201, "")
			time.Sleep(time.Second)
		}
		time.Sleep(40 * time.Second) // past a regrouping
		owners := map[string]int{}
		for m := 1; m <= 6; m++ {
			machine := fmt.Sprintf("host-%06d", m)
			nodes := tc.answering(machine)
			for _, node := range nodes {
				owners[node]++
			}
			if len(nodes) != 1 {
				t.Errorf("%v answer the worker of %s", nodes, machine)
			}
		}
		if len(owners) < 2 {
			t.Errorf("machines never moved between shares, so this shows little: %v", owners)
		}
	})
}

// A leader that alone loses all workers must not take them for dead and return
// them: it resigns, and who hears them takes over.
func TestLeaderCutOffFromWorkers(t *testing.T) {
	withCluster(t, 6, func(tc *testCluster) {
		tc.fleet.RunFor = func(string) time.Duration { return 0 }
	}, func(tc *testCluster) {
		for id := range 4 {
			tc.expect(0, "POST", "/submissions", submission(id, func(j map[string]any) { j["gait"], j["cores"] = "daemon", 3 }), 201, "")
		}
		time.Sleep(3 * time.Second)
		running := len(tc.fleet.Checker.Running())
		old := tc.leader()
		tc.fleet.Blind(tc.nodes[old].name, true)
		time.Sleep(20 * time.Second)
		if n := len(tc.fleet.Returned); n != 0 {
			t.Errorf("%d machines were returned", n)
		}
		if tc.leader() == old {
			t.Error("the leader that reaches no worker still leads")
		}
		tc.fleet.Blind(tc.nodes[old].name, false)
		time.Sleep(10 * time.Second)
		if n := len(tc.fleet.Checker.Running()); n != running || n == 0 {
			t.Errorf("%d tasks run, before it were %d", n, running)
		}
		for task := range tc.fleet.Checker.Running() {
			if n := tc.fleet.Checker.Starts(task); n != 1 {
				t.Errorf("%s started %d times", task, n)
			}
		}
	})
}

// A machine whose reports arrive, but which nothing reaches, is given no new
// tasks and is returned; its tasks run elsewhere.
func TestDeafMachine(t *testing.T) {
	withCluster(t, 3, func(tc *testCluster) {
		tc.fleet.RunFor = func(string) time.Duration { return 0 }
	}, func(tc *testCluster) {
		tc.expect(0, "POST", "/submissions", submission(1, func(j map[string]any) { j["gait"], j["feathers"] = "daemon", 4 }), 201, "")
		time.Sleep(3 * time.Second)
		machine := tc.fleet.Checker.Running()["wk-000001/0"]
		tc.fleet.Deafen(machine, true)
		tc.expect(0, "POST", "/submissions", submission(2, func(j map[string]any) { j["gait"], j["feathers"] = "daemon", 3 }), 201, "")
		time.Sleep(40 * time.Second)
		if running := tc.fleet.Checker.Running(); len(running) != 7 || slices.Contains(slices.Collect(maps.Values(running)), machine) {
			t.Errorf("%d of 7 replicas run, %v; %s hears nothing", len(running), running, machine)
		}
	})
}

// A machine that is back at once, its counters too, has none of its tasks.
func TestMachineStartsAnew(t *testing.T) {
	withCluster(t, 3, func(tc *testCluster) {
		tc.fleet.RunFor = func(string) time.Duration { return 0 }
	}, func(tc *testCluster) {
		tc.expect(0, "POST", "/submissions", submission(1, func(j map[string]any) { j["gait"], j["feathers"] = "daemon", 4 }), 201, "")
		time.Sleep(3 * time.Minute) // its new life does not soon count as far as the former
		tc.fleet.Restart(tc.fleet.Checker.Running()["wk-000001/0"])
		time.Sleep(12 * time.Second)
		if n := len(tc.fleet.Checker.Running()); n != 4 {
			t.Errorf("%d of 4 replicas run after a machine has started anew", n)
		}
	})
}

// A controller that loses the state service and its peers, but not its
// workers: others take them over before their leases lapse, and it refuses.
func TestControllerAloneWithItsWorkers(t *testing.T) {
	withCluster(t, 4, func(tc *testCluster) {
		tc.fleet.RunFor = func(string) time.Duration { return 0 }
	}, func(tc *testCluster) {
		for id := range 4 {
			tc.expect(0, "POST", "/submissions", submission(id, func(j map[string]any) { j["gait"], j["cores"] = "daemon", 2 }), 201, "")
		}
		time.Sleep(3 * time.Second)
		running := len(tc.fleet.Checker.Running())
		old := tc.leader()
		tc.nodes[old].alone.Store(true)
		tc.state.Refuse(tc.nodes[old].name, true)
		time.Sleep(10 * time.Second)
		tc.expect(old, "POST", "/submissions", submission(9, nil), 503, "")
		tc.expect(old, "GET", "/ready", nil, 503, "")
		time.Sleep(10 * time.Second)
		if n := len(tc.fleet.Checker.Running()); n != running || n != 12 {
			t.Errorf("%d replicas run, before it were %d", n, running)
		}
		for task := range tc.fleet.Checker.Running() {
			if n := tc.fleet.Checker.Starts(task); n != 1 {
				t.Errorf("%s started %d times", task, n)
			}
		}
		tc.nodes[old].alone.Store(false)
		tc.state.Refuse(tc.nodes[old].name, false)
		time.Sleep(10 * time.Second)
		for i := range tc.nodes {
			tc.expect(i, "GET", "/submissions/wk-000001", nil, 200, "running")
		}
	})
}

func TestMetrics(t *testing.T) {
	withCluster(t, 1, nil, func(tc *testCluster) {
		_, _, ctx := tc.call(tc.leader(), "GET", "/metrics", nil)
		for _, want := range []string{"heronwick_share_machines 1", `heronwick_answers_total{request="report",status="200"}`} {
			if !strings.Contains(string(ctx.Response.Body()), want) {
				t.Errorf("metrics lack %q", want)
			}
		}
	})
}

// Whatever one team or class asks for, for as long as it likes: over shares and
// lending, of every team, of every class and of a class's largest jobs at least
// half is served, and the largest begin within four minutes.
func TestHalfOfEverything(t *testing.T) {
	withCluster(t, 6, func(tc *testCluster) {
		tc.fleet.Capacity = 6
		tc.fleet.RunFor = func(string) time.Duration { return 5 * time.Second }
	}, func(tc *testCluster) {
		type asked struct {
			id, tasks int
			at, begun time.Time
		}
		kinds := map[string][]*asked{}
		jobs := 0
		submit := func(kind, team string, tasks int) {
			a := &asked{id: jobs, tasks: tasks, at: time.Now()}
			tc.expect(jobs%3, "POST", "/submissions", submission(jobs, func(j map[string]any) {
				j["flight"], j["roost"], j["feathers"], j["flight_s"] = kind, team, tasks, 5.0
			}), 201, "")
			kinds[kind] = append(kinds[kind], a)
			jobs++
		}
		started := func(a *asked) (n int) {
			for i := range a.tasks {
				n += min(1, tc.fleet.Checker.Starts(fmt.Sprintf("wk-%06d/%d", a.id, i)))
			}
			return n
		}
		// Of 48 CPUs, 59 are asked for all the time, nearly all by one team.
		for second := range 540 {
			submit("small", "blue", 2)
			submit("small", "blue", 2)
			if second%10 == 0 {
				submit("other", "red", 4)
			}
			if second%20 == 0 {
				submit("large", "blue", 30)
			}
			time.Sleep(time.Second)
			for _, all := range kinds {
				for _, a := range all {
					if a.begun.IsZero() && started(a) > 0 {
						a.begun = time.Now()
					}
				}
			}
		}
		for kind, all := range kinds {
			served, tasks := 0, 0
			for _, a := range all {
				if time.Since(a.at) < 4*time.Minute {
					continue // its time is not over
				}
				served, tasks = served+started(a), tasks+a.tasks
				if a.begun.IsZero() || a.begun.Sub(a.at) > 4*time.Minute {
					t.Errorf("%s job %d of %d tasks has not begun within four minutes", kind, a.id, a.tasks)
				}
			}
			if 2*served < tasks {
				t.Errorf("%s: %d of %d tasks have started", kind, served, tasks)
			}
		}
	})
}
