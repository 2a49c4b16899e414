// Command 5 is the test of the cases 5 and 6 of the second review, see their claim.txt. Its
// arguments are the built controller, a folder for settings and logs, the path of the record,
// and what happens to the job whose start is repeated: "moved" or "cancelled".
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

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
	cancelS = 36
	copied  = "wk-000001" // the job whose start is repeated
	urgent  = "wk-000002" // the job that takes its place
)

func main() {
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3], os.Args[4] == "cancelled", os.Getenv("TROUBLE") != "0"))
}

// run plays the case and returns the exit code.
func run(program, dir, recordPath string, cancelled, trouble bool) int {
	record, err := os.Create(filepath.Clean(recordPath))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer func() { _ = record.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	w, err := world.New(ctx, world.Options{
		Dir: dir, Program: program, Record: record, Nodes: []string{"perch-0", "perch-1", "perch-2"},
		Teams: []world.Team{{Name: "farm-liaison", CPUs: 256, CPUsMax: 608}, {Name: "courier-desk", CPUs: 176, CPUsMax: 608}},
		Type: wire.MachineType{Name: "baobab", CPUs: 16, MemoryGB: 64, CacheGB: 50, FetchGBPerS: 1,
			Price: 1.17, SpotPrice: 0.36, BootS: 15, Zones: []string{"arusha-north"}},
		Workers: 2, Capacity: 2, ReportS: 2.5, LeaseS: 16, CancelS: cancelS, CoreShare: 0.18, RAMMB: 125,
		StateRPS: 150, StateWrites: 60, ValueKB: 16, TxnOps: 16,
		TaskDuration: func(string) time.Duration { return 0 }, ImageFetch: 300 * time.Millisecond,
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
	return play(w, cancelled, trouble)
}

func play(w *world.World, cancelled, trouble bool) int {
	time.Sleep(8 * time.Second)
	if !w.Submit(service(copied, "idle"), w.Nodes, 20*time.Second) {
		return cannotRun
	}
	first := waitForMachine(w, copied, "")
	if first == "" {
		return cannotRun
	}
	time.Sleep(3 * time.Second)
	if cancelled {
		if !w.Cancel(copied, w.Nodes, 20*time.Second) {
			return cannotRun
		}
		time.Sleep((cancelS + 2) * time.Second)
	} else {
		if !w.Submit(service(urgent, "prod"), w.Nodes, 20*time.Second) || waitForMachine(w, copied, first) == "" {
			return cannotRun
		}
		time.Sleep(5 * time.Second)
	}
	w.Event("on machines: %v", w.Checker.Running())
	if len(w.NewViolations()) > 0 {
		return cannotRun // not by the disruption of this case
	}
	if trouble {
		w.Event("%s ends and is back", first)
		w.Fleet.Restart(first)
		time.Sleep(10 * time.Millisecond)
		w.Event("the start of %s arrives at %s once more", copied, first)
		if !w.Fleet.RepeatStart(first, copied+"/0") {
			w.Event("its start was not sent directly")
			return cannotRun
		}
	}
	time.Sleep(15 * time.Second)
	return judge(w, cancelled)
}

// judge returns the exit code by the rule of the case.
func judge(w *world.World, cancelled bool) int {
	code := held
	for _, violation := range w.NewViolations() {
		var task, on, other string
		n, _ := fmt.Sscanf(violation, "ran_twice: %s starts on %s while on %s", &task, &on, &other)
		if !cancelled && n == 3 && on != other || cancelled && strings.HasPrefix(violation, "ran_cancelled:") {
			code = broken
		}
	}
	return code
}

// waitForMachine waits until a job's task is on a machine other than one, and returns it, or ""
// after 20 s.
func waitForMachine(w *world.World, job, other string) string {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if on := w.Checker.Running()[job+"/0"]; on != "" && on != other {
			return on
		}
	}
	return ""
}

// service is a job of one replica that fills a machine.
func service(id, rank string) map[string]any {
	return map[string]any{
		"uid": id, "flight": "order-desk", "roost": "farm-liaison", "gait": "daemon", "rank": rank, "feathers": 1,
		"cores": 16.0, "accelerators": 0.0, "ram_gb": 6.3, "plumage": "img-07", "pull_gb": 1.8, "breeds": nil, "marsh": nil,
		"same_place": false, "spread": false, "drift": false, "flight_s": 0.0, "molt_s": 0.0, "preen_s": 0.0, "dusk_s": nil,
	}
}
