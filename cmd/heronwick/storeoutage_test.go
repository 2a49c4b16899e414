package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"heronwick/wire"
)

// outageCluster is a test cluster in which jobs run on machines of every
// controller, and some of them are about to be cancelled while an outage of the
// key-value store begins that lasts far longer than their tasks may keep running.
type outageCluster struct {
	*testCluster
	leader    int
	jobs      int
	cancelled []int // whose user was told so
	refused   int   // cancellations that were refused
	at        time.Time
}

// nonLeader returns the index of the controller n places after the leader.
func (g *outageCluster) nonLeader(n int) int { return (g.leader + n) % len(g.nodes) }

func (g *outageCluster) refuseStore(i int, on bool) { g.state.RejectNode(g.nodes[i].name, on) }
func (g *outageCluster) isolate(i int, on bool)     { g.nodes[i].alone.Store(on) }

// cancel asks a controller to cancel the next so many jobs.
func (g *outageCluster) cancel(node, count int) {
	for range count {
		id := len(g.cancelled) + g.refused
		began := time.Now()
		status, answer, ctx := g.call(node, "POST", fmt.Sprintf("/submissions/wk-%06d/withdraw", id), nil)
		switch {
		case status == 200 && answer["stance"] == "aborted":
			g.cancelled = append(g.cancelled, id)
			g.at = time.Now()
		case status == 503:
			g.refused++
			if string(ctx.Response.Header.Peek("Retry-After")) == "" {
				g.t.Errorf("refused without saying when to come back")
			}
		default:
			g.t.Errorf("cancelling %d: %d %v", id, status, answer)
		}
		if took := time.Since(began); took > 1500*time.Millisecond {
			g.t.Errorf("a cancellation was answered %d after %v", status, took)
		}
	}
}

// runningCancelledTasks counts the running tasks of jobs whose users were told
// that they are cancelled.
func (g *outageCluster) runningCancelledTasks() (n int) {
	for task := range g.fleet.Checker.Running() {
		for _, id := range g.cancelled {
			if strings.HasPrefix(task, fmt.Sprintf("wk-%06d/", id)) {
				n++
			}
		}
	}
	return n
}

// A cancellation that a user was told of is known to whoever may still answer
// the workers, whatever fails at that moment: the tasks are gone in time though
// the state service, which alone holds it, is out for far longer.
func TestAcknowledgedCancellationOutlastsStoreOutage(t *testing.T) {
	for _, test := range []struct {
		name  string
		nodes int
		do    func(g *outageCluster)
		// confirmed: how many cancellations must be confirmed, refused: how
		// many must be refused; -1: either is right.
		confirmed, refused int
		// keeps: the tasks of the other jobs run on, where they are.
		keeps bool
	}{
		{"leader refused, then all", 3, func(g *outageCluster) {
			g.refuseStore(g.leader, true)
			time.Sleep(1900 * time.Millisecond)
			g.cancel(g.nonLeader(1), 2)
			g.cancel(g.nonLeader(2), 2)
			g.state.SetOutage(true)
			// Known means stopped, by answers and commands, without the store.
			time.Sleep(5 * time.Second)
			if n := g.runningCancelledTasks(); n > 0 {
				g.t.Errorf("%d tasks run 5 s after their jobs were cancelled", n)
			}
		}, 4, 0, true},
		{"the owner is cut from its peers too", 3, func(g *outageCluster) {
			g.refuseStore(g.leader, true)
			g.isolate(g.leader, true)
			time.Sleep(500 * time.Millisecond)
			g.cancel(g.nonLeader(1), 2)
			g.cancel(g.nonLeader(2), 2)
			g.state.SetOutage(true)
		}, 4, 0, false},
		{"who confirms is a minority of one", 3, func(g *outageCluster) {
			g.isolate(g.nonLeader(1), true)
			g.refuseStore(g.leader, true)
			g.refuseStore(g.nonLeader(2), true)
			time.Sleep(500 * time.Millisecond)
			g.cancel(g.nonLeader(1), 3)
			// Nor may it be told by a question or a repetition.
			g.expect(g.nonLeader(1), "GET", "/submissions/wk-000000", nil, 503, "")
			g.expect(g.nonLeader(1), "POST", "/submissions", submission(0, nil), 503, "")
			g.state.SetOutage(true)
		}, 0, 3, false},
		{"who confirms ends right after", 3, func(g *outageCluster) {
			g.refuseStore(g.leader, true)
			time.Sleep(1500 * time.Millisecond)
			g.cancel(g.nonLeader(1), 3)
			g.crash(g.nonLeader(1))
			g.state.SetOutage(true)
		}, 3, 0, false},
		{"who confirms is cut off right after, the other starts anew", 3, func(g *outageCluster) {
			g.refuseStore(g.leader, true)
			time.Sleep(1500 * time.Millisecond)
			g.isolate(g.leader, true)
			g.cancel(g.nonLeader(1), 3)
			g.state.SetOutage(true)
			g.isolate(g.nonLeader(1), true)
			g.isolate(g.leader, false)
			g.crash(g.nonLeader(2))
			time.Sleep(300 * time.Millisecond)
			g.start(g.nonLeader(2))
		}, 3, 0, false},
		{"a confirming peer starts anew right before, and has read the store since", 3, func(g *outageCluster) {
			// The leader is refused and cut off, so it hears of nothing; who
			// knew is cut off later, and who confirms then read the jobs after
			// the cancellation and cannot name it.
			g.refuseStore(g.leader, true)
			g.isolate(g.leader, true)
			g.cancel(g.nonLeader(1), 3)
			g.crash(g.nonLeader(2))
			g.start(g.nonLeader(2))
			time.Sleep(700 * time.Millisecond)
			g.state.SetOutage(true)
			g.crash(g.nonLeader(1))
			g.isolate(g.leader, false)
		}, 3, 0, false},
		{"the leader ends, and its successor has not taken the machines over", 3, func(g *outageCluster) {
			g.cancel(g.nonLeader(1), 2)
			g.crash(g.leader)
			// Another holds the leader's key until its lease ends.
			time.Sleep(3100 * time.Millisecond)
			g.state.SetOutage(true)
		}, 2, 0, false},
		{"a new leader in the outage", 3, func(g *outageCluster) {
			g.refuseStore(g.leader, true)
			time.Sleep(1500 * time.Millisecond)
			g.cancel(g.nonLeader(1), 2)
			g.state.SetOutage(true)
			g.crash(g.leader)
			time.Sleep(2 * time.Second)
			g.start(g.leader)
		}, 2, 0, false},
		{"all start anew in the outage", 3, func(g *outageCluster) {
			g.refuseStore(g.leader, true)
			time.Sleep(1500 * time.Millisecond)
			g.cancel(g.nonLeader(1), 2)
			g.state.SetOutage(true)
			for i := range g.nodes {
				g.crash(i)
				g.start(i)
			}
		}, 2, 0, false},
		{"two of three end, the last confirms and loses the store", 3, func(g *outageCluster) {
			g.crash(g.nonLeader(1))
			g.crash(g.nonLeader(2))
			time.Sleep(6 * time.Second)
			g.cancel(g.leader, 2)
			g.state.SetOutage(true)
		}, 2, 0, false},
		{"machines that are cut off", 3, func(g *outageCluster) {
			g.refuseStore(g.leader, true)
			time.Sleep(1500 * time.Millisecond)
			g.cancel(g.nonLeader(1), 4)
			g.state.SetOutage(true)
			for m := 1; m <= 6; m += 2 {
				g.fleet.Disconnect(fmt.Sprintf("host-%06d", m), true)
			}
			g.fleet.SetCloud(true) // they cannot be returned either
		}, 4, 0, false},
		{"machines that hear nothing", 3, func(g *outageCluster) {
			g.refuseStore(g.leader, true)
			time.Sleep(1500 * time.Millisecond)
			for m := 1; m <= 6; m += 2 {
				g.fleet.DropInbound(fmt.Sprintf("host-%06d", m), true)
			}
			g.cancel(g.nonLeader(1), 4)
			g.state.SetOutage(true)
			g.fleet.SetCloud(true)
		}, 4, 0, false},
		{"two controllers", 2, func(g *outageCluster) {
			g.refuseStore(g.leader, true)
			time.Sleep(1500 * time.Millisecond)
			g.cancel(g.nonLeader(1), 3)
			g.state.SetOutage(true)
		}, 3, 0, true},
		{"two controllers, cut from each other", 2, func(g *outageCluster) {
			g.refuseStore(g.leader, true)
			g.isolate(g.leader, true)
			g.cancel(g.nonLeader(1), 3)
			g.state.SetOutage(true)
		}, 3, 0, false},
		{"one controller", 1, func(g *outageCluster) {
			g.cancel(g.leader, 3)
			g.state.SetOutage(true)
		}, 3, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			withCluster(t, 6, func(tc *testCluster) {
				tc.fleet.RunFor = func(string) time.Duration { return 0 }
				tc.fleet.Nodes, tc.nodes = tc.fleet.Nodes[:test.nodes], tc.nodes[:test.nodes]
			}, func(tc *testCluster) {
				g := &outageCluster{testCluster: tc}
				for g.jobs < 10 {
					// Accepted by one, placed by another, on machines of any.
					tc.expect(g.jobs%test.nodes, "POST", "/submissions", submission(g.jobs, func(j map[string]any) {
						j["roost"], j["gait"], j["feathers"] = []string{"red", "blue"}[g.jobs%2], "daemon", 2
					}), 201, "")
					g.jobs++
					time.Sleep(500 * time.Millisecond)
				}
				time.Sleep(31 * time.Second) // past a regrouping
				before := tc.fleet.Checker.Running()
				if len(before) < 18 {
					t.Fatalf("only %d of 20 tasks run", len(before))
				}
				g.leader = tc.leader()
				test.do(g)
				if test.confirmed >= 0 && (len(g.cancelled) != test.confirmed || g.refused != test.refused) {
					t.Errorf("%d cancellations confirmed, %d refused, want %d and %d", len(g.cancelled), g.refused, test.confirmed, test.refused)
				}
				time.Sleep(time.Until(g.at.Add(26 * time.Second)))
				if n := g.runningCancelledTasks(); n > 0 {
					t.Errorf("%d tasks of cancelled jobs run 26 s after", n)
				}
				time.Sleep(20 * time.Second)
				if test.keeps {
					for task, machine := range before {
						job, _, _ := wire.SplitTaskID(task)
						over := false
						for _, id := range g.cancelled {
							over = over || job == fmt.Sprintf("wk-%06d", id)
						}
						if now := tc.fleet.Checker.Running()[task]; !over && now != machine {
							t.Errorf("%s was on %s and is on %q", task, machine, now)
						}
					}
				}
				tc.state.SetOutage(false)
				tc.fleet.SetCloud(false)
				for m := 1; m <= 6; m++ {
					tc.fleet.Disconnect(fmt.Sprintf("host-%06d", m), false)
					tc.fleet.DropInbound(fmt.Sprintf("host-%06d", m), false)
				}
				for i, n := range tc.nodes {
					g.refuseStore(i, false)
					g.isolate(i, false)
					if n.current.Load() == nil {
						tc.start(i)
					}
				}
				time.Sleep(60 * time.Second)
				for i := range tc.nodes {
					for id := range g.jobs {
						stance := "running"
						if id < len(g.cancelled)+g.refused {
							stance = "aborted" // it is in the store also where that was refused
						}
						tc.expect(i, "GET", fmt.Sprintf("/submissions/wk-%06d", id), nil, 200, stance)
					}
				}
			})
		})
	}
}
