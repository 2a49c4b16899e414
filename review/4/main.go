// Command 4 is the test of case 4 of the second review, see claim.txt. Its arguments are the
// built controller, a folder for settings and logs, and the path of the record.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"heronwick/internal/cluster"
	"heronwick/review/world"
	"heronwick/wire"
)

// The exit codes.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

const (
	team    = "cold-room" // the team whose job moves
	limit   = 105 * time.Second
	backIn  = 5 * time.Second        // after an end, a controller is back about 5 s later,
	quickly = 100 * time.Millisecond // and now and then within a fraction of a second
)

func main() { os.Exit(run(os.Args[1], os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")) }

// run plays the case and returns the exit code.
func run(program, dir, recordPath string, trouble bool) int {
	record, err := os.Create(filepath.Clean(recordPath))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer func() { _ = record.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	w, err := world.New(ctx, world.Options{
		Dir: dir, Program: program, Record: record, Nodes: []string{"perch-0", "perch-1", "perch-2"},
		Teams: []world.Team{{Name: "farm-liaison", CPUs: 256, CPUsMax: 608}, {Name: "courier-desk", CPUs: 176, CPUsMax: 608}, {Name: team, CPUs: 32, CPUsMax: 608}},
		Type: wire.MachineType{Name: "baobab", CPUs: 16, MemoryGB: 64, CacheGB: 50, FetchGBPerS: 1,
			Price: 1.17, SpotPrice: 0.36, BootS: 15, Zones: []string{"arusha-north"}},
		Workers: 15, Capacity: 28, ReportS: 2.5, LeaseS: 16, CancelS: 36, CoreShare: 0.18, RAMMB: 125,
		StateRPS: 150, StateWrites: 60, ValueKB: 16, TxnOps: 16,
		TaskDuration: taskDuration, ImageFetch: 1500 * time.Millisecond,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer w.Close()
	for _, n := range w.Nodes {
		if err := n.Start(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return cannotRun
		}
	}
	return play(ctx, w, trouble)
}

// members returns a condition on the members of the epoch.
func members(n int) func(*cluster.Epoch) bool {
	return func(e *cluster.Epoch) bool { return len(e.Members) == n }
}

func play(ctx context.Context, w *world.World, trouble bool) int {
	epoch, ok := w.WaitEpoch(ctx, 15*time.Second, members(3))
	if !ok {
		w.Event("the controllers have not come up: %+v", epoch)
		return cannotRun
	}
	time.Sleep(3 * time.Second)
	var cut, crashing *world.Node
	for _, n := range w.Nodes {
		switch {
		case n.Name == epoch.Leader:
		case cut == nil:
			cut = n
		default:
			crashing = n
		}
	}
	leader := w.Node(epoch.Leader)
	users := []*world.Node{leader}
	w.Event("leader %s, teams %v", epoch.Leader, epoch.Teams)
	for i := range 10 {
		if !w.Submit(service(fmt.Sprintf("wk-%06d", 900+i)), users, 10*time.Second) {
			return cannotRun
		}
	}
	sc := &scenario{world: w, cut: cut, crashing: crashing, users: users}
	if trouble {
		sc.begin()
	}
	for number := 1; ctx.Err() == nil; number++ {
		if !trouble {
			w.Submit(array(fmt.Sprintf("wk-%06d", number)), users, 10*time.Second)
			time.Sleep(backIn)
		} else if !sc.cycle(ctx, number) {
			break
		}
		if ranTwice(w) {
			return broken
		}
	}
	time.Sleep(time.Second)
	if ranTwice(w) {
		return broken
	}
	return held
}

// ranTwice reports whether the rule was broken since the last call: a task started on one
// machine while it was on a different one.
func ranTwice(w *world.World) (found bool) {
	for _, violation := range w.NewViolations() {
		var task, on, other string
		n, _ := fmt.Sscanf(violation, "ran_twice: %s starts on %s while on %s", &task, &on, &other)
		found = found || n == 3 && on != other
	}
	return found
}

// scenario is what happens to two controllers, again and again: crashing ends, comes back, ends,
// comes back at once and ends again; cut loses the state service when crashing comes back.
type scenario struct {
	world         *world.World
	cut, crashing *world.Node
	users         []*world.Node // the nodes that users reach
	ended         time.Time     // when crashing ended
}

// begin ends crashing.
func (s *scenario) begin() {
	s.crashing.Kill()
	s.ended = time.Now()
}

// cycle plays one round, in which one job is submitted. It reports whether it could.
func (s *scenario) cycle(ctx context.Context, number int) bool {
	w, id := s.world, fmt.Sprintf("wk-%06d", number)
	if _, ok := w.WaitEpoch(ctx, 4*time.Second, members(2)); !ok {
		w.Event("%s is still a member", s.crashing.Name)
		return false
	}
	w.Event("epoch %+v", w.Epoch())
	// About 5 s: from 4.6 s to 5.4 s.
	time.Sleep(time.Until(s.ended.Add(4600*time.Millisecond + time.Duration(number*170%900)*time.Millisecond)))
	if s.crashing.Start() != nil {
		return false
	}
	time.Sleep(450 * time.Millisecond)
	s.cut.SetStoreSilent(true)
	if e, ok := w.WaitEpoch(ctx, 5*time.Second, members(3)); ok {
		w.Event("%s is back: epoch %+v", s.crashing.Name, e)
	}
	joined := time.Now()
	if !w.Submit(array(id), s.users, 10*time.Second) {
		return false
	}
	time.Sleep(time.Until(joined.Add(530 * time.Millisecond)))
	s.crashing.Kill()
	time.Sleep(quickly)
	if s.crashing.Start() != nil {
		return false
	}
	time.Sleep(300 * time.Millisecond)
	s.begin()
	_, _ = w.WaitEpoch(ctx, time.Second, members(2))
	time.Sleep(100 * time.Millisecond)
	s.cut.SetStoreSilent(false)
	return ctx.Err() == nil
}

// array is a job of the class stem-match.
func array(id string) map[string]any {
	return map[string]any{
		"uid": id, "flight": "stem-match", "roost": team, "gait": "array", "rank": "normal", "feathers": 2,
		"cores": 4.0, "accelerators": 0.0, "ram_gb": 8.2, "plumage": "img-01", "pull_gb": 1.5, "breeds": nil, "marsh": nil,
		"same_place": false, "spread": false, "drift": true, "flight_s": 20.0, "molt_s": 0.0, "preen_s": 0.0, "dusk_s": nil,
	}
}

// service is a job of the class order-desk.
func service(id string) map[string]any {
	return map[string]any{
		"uid": id, "flight": "order-desk", "roost": "farm-liaison", "gait": "daemon", "rank": "prod", "feathers": 4,
		"cores": 2.0, "accelerators": 0.0, "ram_gb": 6.3, "plumage": "img-07", "pull_gb": 1.8, "breeds": nil, "marsh": nil,
		"same_place": false, "spread": false, "drift": false, "flight_s": 0.0, "molt_s": 0.0, "preen_s": 0.0, "dusk_s": nil,
	}
}

// taskDuration returns how long a task runs; 0 means until it is stopped.
func taskDuration(task string) time.Duration {
	if strings.HasPrefix(task, "wk-0009") {
		return 0
	}
	return 20 * time.Second
}
