package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

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
		tc.fleet.Disconnect(machine, true)
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
			tc.state.RejectNode(n.name, true)
			time.Sleep(10 * time.Second)
			tc.expect(i, "GET", "/submissions/wk-000001", nil, 200, "")
			tc.expect(i, "POST", "/submissions", submission(10+i, nil), 201, "")
			tc.expect(i, "GET", "/submissions/wk-777777", nil, 404, "")
			tc.state.RejectNode(n.name, false)
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
			nodes := tc.controllersAnswering(machine)
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
		tc.fleet.Isolate(tc.nodes[old].name, true)
		time.Sleep(20 * time.Second)
		if n := len(tc.fleet.Returned); n != 0 {
			t.Errorf("%d machines were returned", n)
		}
		if tc.leader() == old {
			t.Error("the leader that reaches no worker still leads")
		}
		tc.fleet.Isolate(tc.nodes[old].name, false)
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
		tc.fleet.DropInbound(machine, true)
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
		tc.state.RejectNode(tc.nodes[old].name, true)
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
		tc.state.RejectNode(tc.nodes[old].name, false)
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
