package main

import (
	"fmt"
	"testing"
	"time"
)

// after makes a submission need jobs.
func after(ids ...int) func(map[string]any) {
	return func(j map[string]any) {
		names := []string{}
		for _, id := range ids {
			names = append(names, fmt.Sprintf("wk-%06d", id))
		}
		j["follows"] = names
	}
}

// everywhere expects the same answer about a job of every controller.
func (tc *testCluster) everywhere(id int, stance string) {
	tc.t.Helper()
	for i := range tc.nodes {
		tc.expect(i, "GET", jobPath(id), nil, 200, stance)
	}
}

// A diamond over two teams and three controllers: what needs others waits for all
// of them, and begins well within a second of the last one's end.
func TestChainRunsInOrder(t *testing.T) {
	withCluster(t, 4, nil, func(tc *testCluster) {
		team := func(name string, change func(map[string]any)) func(map[string]any) {
			return func(j map[string]any) { j["roost"] = name; change(j) }
		}
		tc.expect(0, "POST", "/submissions", submission(1, nil), 201, "queued")
		tc.expect(1, "POST", "/submissions", submission(2, team("red", after(1))), 201, "queued")
		tc.expect(2, "POST", "/submissions", submission(3, team("blue", after(1, 1))), 201, "queued")
		tc.expect(0, "POST", "/submissions", submission(4, team("red", after(2, 3, 1))), 201, "queued")
		time.Sleep(10 * time.Second)
		tc.everywhere(1, "running")
		tc.everywhere(2, "queued")
		tc.everywhere(4, "queued")
		time.Sleep(12 * time.Second)
		tc.everywhere(1, "done")
		for id := 2; id <= 3; id++ {
			if n := tc.fleet.Checker.Starts(fmt.Sprintf("wk-%06d/0", id)); n != 1 {
				t.Errorf("job %d has started %d times, 2 s after what it needs was done", id, n)
			}
		}
		time.Sleep(45 * time.Second)
		tc.everywhere(4, "done")
	})
}

// Names in a submission: a list of job ids that were accepted, by anybody and in
// any state; what cannot be told now is refused for now.
func TestChainSubmissions(t *testing.T) {
	withCluster(t, 2, nil, func(tc *testCluster) {
		tc.expect(0, "POST", "/submissions", submission(1, nil), 201, "")
		tc.expect(0, "POST", "/submissions", submission(2, func(j map[string]any) { j["gait"] = "daemon" }), 201, "")
		tc.expect(0, "POST", "/submissions", submission(3, nil), 201, "")
		tc.expect(0, "POST", "/submissions/wk-000003/withdraw", nil, 200, "aborted")
		with := func(follows any) func(map[string]any) {
			return func(j map[string]any) { j["follows"] = follows }
		}
		for i, test := range []struct {
			follows any
			status  int
			stance  string
		}{
			{nil, 201, "queued"},
			{[]string{}, 201, "queued"},
			{[]string{"wk-000001", "wk-000001"}, 201, "queued"},
			{"wk-000001", 400, ""},
			{[]int{1}, 400, ""},
			{[]any{nil}, 400, ""},
			{[]string{"wk-999999"}, 422, ""},
			{[]string{"nonsense"}, 422, ""},
			{[]string{"wk-000002"}, 422, ""},
			{[]string{"wk-000001", "wk-000003"}, 201, "aborted"},
		} {
			tc.expect(i%3, "POST", "/submissions", submission(10+i, with(test.follows)), test.status, test.stance)
		}
		tc.expect(1, "POST", "/submissions", submission(30, after(30)), 422, "")
		// A repetition is answered as such, whatever it names now.
		tc.expect(2, "POST", "/submissions", submission(12, after(999999)), 200, "queued")
		tc.state.SetOutage(true)
		time.Sleep(time.Second)
		tc.expect(2, "POST", "/submissions", submission(31, after(888888)), 503, "")
		tc.state.SetOutage(false)
		time.Sleep(90 * time.Second)
		tc.everywhere(12, "done")
		tc.everywhere(19, "aborted")
	})
}

// A cancellation reaches all jobs after it at once, through owners and teams;
// what is done can not be cancelled, and what needs it goes on.
func TestChainCancellation(t *testing.T) {
	withCluster(t, 4, nil, func(tc *testCluster) {
		tc.expect(0, "POST", "/submissions", submission(1, nil), 201, "")
		tc.expect(1, "POST", "/submissions", submission(2, after(1)), 201, "")
		tc.expect(2, "POST", "/submissions", submission(3, func(j map[string]any) { j["roost"] = "red"; after(2)(j) }), 201, "")
		tc.expect(0, "POST", "/submissions", submission(4, after(2, 3)), 201, "")
		tc.expect(0, "POST", "/submissions", submission(5, after(1)), 201, "")
		time.Sleep(5 * time.Second)
		tc.expect(1, "POST", "/submissions/wk-000002/withdraw", nil, 200, "aborted")
		for _, id := range []int{2, 3, 4} {
			tc.everywhere(id, "aborted")
		}
		tc.everywhere(5, "queued")
		tc.expect(2, "POST", "/submissions", submission(6, after(4)), 201, "aborted")
		time.Sleep(20 * time.Second)
		tc.expect(0, "POST", "/submissions/wk-000001/withdraw", nil, 200, "done")
		tc.everywhere(5, "running")
		for i := range tc.nodes { // nothing of it is only in memory
			tc.crash(i)
		}
		for i := range tc.nodes {
			tc.start(i)
		}
		time.Sleep(30 * time.Second)
		tc.everywhere(5, "done")
		for _, id := range []int{2, 3, 4, 6} {
			tc.everywhere(id, "aborted")
			if n := tc.fleet.Checker.Starts(fmt.Sprintf("wk-%06d/0", id)); n != 0 {
				t.Errorf("job %d started %d times", id, n)
			}
		}
	})
}

// Whoever the state service refuses, and whose watch is silent, answers for jobs
// after a cancelled one like the others, or not at all: also when an outage
// follows that is longer than they may be called queued.
func TestChainCancellationMeetsAnOutage(t *testing.T) {
	withCluster(t, 4, nil, func(tc *testCluster) {
		for id := 1; id <= 6; id++ {
			change := after(id - 1)
			if id == 1 {
				change = nil
			}
			tc.expect(id%3, "POST", "/submissions", submission(id, change), 201, "")
		}
		time.Sleep(3 * time.Second)
		leader := tc.leader()
		tc.state.RejectNode(tc.nodes[leader].name, true)
		tc.nodes[leader].alone.Store(true)
		time.Sleep(300 * time.Millisecond)
		tc.expect((leader+1)%3, "POST", "/submissions/wk-000001/withdraw", nil, 200, "aborted")
		ask := func() {
			for id := 1; id <= 6; id++ {
				for i := range tc.nodes {
					if status, answer, _ := tc.call(i, "GET", jobPath(id), nil); status == 200 && answer["stance"] != "aborted" {
						t.Errorf("%s says of job %d that it is %v", tc.nodes[i].name, id, answer["stance"])
					}
				}
			}
		}
		ask()
		tc.state.SetOutage(true)
		for range 8 {
			time.Sleep(5 * time.Second)
			ask()
		}
		tc.state.SetOutage(false)
		tc.state.RejectNode(tc.nodes[leader].name, false)
		tc.nodes[leader].alone.Store(false)
		time.Sleep(10 * time.Second)
		for id := 1; id <= 6; id++ {
			tc.everywhere(id, "aborted")
		}
	})
}

// Jobs that need others are accepted once every controller has been seen with the
// new version, in whatever order they come and whoever leads; one that is away
// counts as old. From then on that holds for whoever starts.
func TestUpgradeMakesTheSwitch(t *testing.T) {
	for order, upgraded := range [][]int{{0, 1, 2}, {1, 2, 0}, {2, 0, 1}} {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			withCluster(t, 4, func(tc *testCluster) {
				for _, n := range tc.nodes {
					n.old.Store(true)
				}
			}, func(tc *testCluster) {
				tc.expect(0, "POST", "/submissions", submission(1, nil), 201, "")
				refused := func(when string) {
					t.Helper()
					for i, n := range tc.nodes {
						if n.current.Load() == nil || n.old.Load() {
							continue
						}
						status, _, ctx := tc.call(i, "POST", "/submissions", submission(2, after(1)))
						if status != 503 || string(ctx.Response.Header.Peek("Retry-After")) == "" {
							t.Errorf("%s: %s answers %d", when, n.name, status)
						}
					}
				}
				again := func(i int, old bool) {
					tc.crash(i)
					time.Sleep(2 * time.Second)
					tc.nodes[i].old.Store(old)
					tc.start(i)
					time.Sleep(4 * time.Second)
				}
				again(upgraded[0], false)
				refused("one is new")
				again(upgraded[1], false)
				refused("two are new")
				again(upgraded[2], true) // it dies before its turn
				refused("two are new, the third came back old")
				tc.crash(upgraded[2])
				time.Sleep(10 * time.Second)
				refused("the third is away")
				tc.nodes[upgraded[2]].old.Store(false)
				tc.nodes[upgraded[2]].alone.Store(true)
				tc.start(upgraded[2])
				time.Sleep(5 * time.Second)
				refused("the third is cut off")
				tc.nodes[upgraded[2]].alone.Store(false)
				time.Sleep(5 * time.Second)
				for i := range tc.nodes {
					tc.expect(i, "POST", "/submissions", submission(10+i, after(1)), 201, "")
				}
				// It is recorded: one that starts alone knows it.
				for i := range tc.nodes {
					tc.crash(i)
				}
				time.Sleep(time.Second)
				tc.start(upgraded[0])
				time.Sleep(8 * time.Second)
				tc.expect(upgraded[0], "POST", "/submissions", submission(20, after(10, 11)), 201, "")
				tc.start(upgraded[1])
				tc.start(upgraded[2])
				time.Sleep(70 * time.Second)
				tc.everywhere(20, "done")
			})
		})
	}
}

// A chain in danger is shown early to operators, with every job of it, and counted
// once; one that is in time is not.
func TestChainInDangerIsShown(t *testing.T) {
	withCluster(t, 4, nil, func(tc *testCluster) {
		deadline := func(seconds float64, change func(map[string]any)) func(map[string]any) {
			return func(j map[string]any) { j["dusk_s"] = seconds; change(j) }
		}
		tc.expect(0, "POST", "/submissions", submission(1, nil), 201, "")
		tc.expect(0, "POST", "/submissions", submission(2, after(1)), 201, "")
		tc.expect(0, "POST", "/submissions", submission(3, deadline(50, after(2))), 201, "") // needs 60 s
		tc.expect(0, "POST", "/submissions", submission(4, deadline(500, after(1))), 201, "")
		time.Sleep(5 * time.Second)
		endangered := int64(0)
		for i, n := range tc.nodes {
			_, answer, _ := tc.call(i, "GET", "/chains", nil)
			chains, _ := answer["chains"].([]any)
			if len(chains) != 2 {
				t.Fatalf("%d chains are shown, want 2: %v", len(chains), answer)
			}
			first, _ := chains[0].(map[string]any)
			second, _ := chains[1].(map[string]any)
			jobs, _ := first["jobs"].([]any)
			if first["last"] != "wk-000003" || first["in_danger"] != true || second["in_danger"] != false || len(jobs) != 3 {
				t.Errorf("%s shows %v", n.name, answer)
			}
			endangered += n.current.Load().dagMonitor.endangered.Load()
		}
		if endangered != 1 {
			t.Errorf("the chain in danger was counted %d times", endangered)
		}
		time.Sleep(90 * time.Second)
		_, answer, _ := tc.call(1, "GET", "/chains", nil)
		if answer["chains"] != nil {
			t.Errorf("chains that are over are shown: %v", answer)
		}
	})
}
