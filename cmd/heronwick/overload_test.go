package main

import (
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"heronwick/internal/cluster"
	"heronwick/internal/standin"
	"heronwick/wire"
)

// Guards against controllers that are considered failed because they are short of CPU
// time for minutes: no other leader is elected and no lease expires. The controllers
// respond to heartbeats, place queued tasks and refuse submissions without delay, and
// accept submissions again afterwards.
func TestOverloadChangesNoLeader(t *testing.T) {
	for _, test := range []struct {
		name    string
		disrupt func(tc *testCluster) // called once the controllers are overloaded
	}{
		{"three controllers", func(*testCluster) {}},
		{"only one controller left", func(tc *testCluster) { tc.crashAllExcept(tc.leader()) }},
		{"all controllers just restarted", func(tc *testCluster) {
			tc.crashAll()
			tc.startAll()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			const machines, jobs, seconds = 6, 60, 180
			responses := &heartbeatResponses{refused: map[string]bool{}}
			withCluster(t, machines, func(tc *testCluster) {
				tasksRunFor(4 * time.Second)(tc)
				tc.fleet.DeliverHeartbeat = responses.wrap(tc.deliverHeartbeat)
			}, func(tc *testCluster) {
				for job := range jobs {
					tc.expectAccepted(job%3, job)
				}
				tc.setOverloaded(true)
				test.disrupt(tc)
				time.Sleep(10 * time.Second)
				leader := tc.leader()
				epoch := tc.nodes[leader].current.Load().members.View().Epoch
				responses.reset()
				tc.expectSubmissionsRefused(leader, jobs, seconds)
				tc.expectSameTerm(leader, &epoch, seconds*time.Second)
				responses.check(tc, machines*seconds/3)
				if expired := tc.fleet.LeaseExpiries(); expired > 0 {
					t.Errorf("got %d expired leases, want none", expired)
				}
				for job := range jobs {
					tc.expectState(leader, job, wire.JobDone)
				}
				tc.expectCancel(leader, 0, wire.JobDone)
				tc.expectSubmit(leader, "{", 400, "")
				tc.setOverloaded(false)
				tc.expectSubmit(leader, submission(jobs), 201, wire.JobQueued)
			})
		})
	}
}

// expectSubmissionsRefused submits a job once per second and expects each submission to
// be refused with a Retry-After header.
func (tc *testCluster) expectSubmissionsRefused(i, job, seconds int) {
	tc.t.Helper()
	for range seconds {
		if resp := tc.submit(i, submission(job)); !resp.retryLater() {
			tc.t.Errorf("submission under overload: got %v, want 503 with Retry-After", resp)
			return
		}
		time.Sleep(time.Second)
	}
}

// expectSameTerm expects the same leader and the same memberships as in the epoch before
// the overload: nobody was elected, removed or has joined. Besides, the fencing token may
// have been incremented for exited tasks that workers have to forget, at most once per
// exitTokenInterval.
func (tc *testCluster) expectSameTerm(leader int, before *cluster.Epoch, elapsed time.Duration) {
	tc.t.Helper()
	const exitTokenInterval = 15 * time.Second
	if got := tc.leader(); got != leader {
		tc.t.Errorf("got node %d as leader, want node %d as before the overload", got, leader)
	}
	got := tc.nodes[leader].current.Load().members.View().Epoch
	if got.Incarnation != before.Incarnation || !maps.Equal(got.Members, before.Members) {
		tc.t.Errorf("got leader's incarnation %d and members %v, want %d and %v as before the overload",
			got.Incarnation, got.Members, before.Incarnation, before.Members)
	}
	if limit := before.Token + 2 + uint64(elapsed/exitTokenInterval); got.Token > limit {
		tc.t.Errorf("got fencing token %d, want at most %d", got.Token, limit)
	}
}

// heartbeatResponses records how controllers respond to the workers' heartbeats.
type heartbeatResponses struct {
	mu       sync.Mutex
	accepted int
	refused  map[string]bool // machines that had a heartbeat refused
}

// deliverFunc sends a heartbeat to a node. It is the type of
// standin.Fleet.DeliverHeartbeat.
type deliverFunc = func(node string, heartbeat *wire.Heartbeat) standin.HeartbeatResponse

// wrap returns a function that calls deliver and records the response.
func (r *heartbeatResponses) wrap(deliver deliverFunc) deliverFunc {
	return func(node string, heartbeat *wire.Heartbeat) standin.HeartbeatResponse {
		response := deliver(node, heartbeat)
		r.mu.Lock()
		defer r.mu.Unlock()
		switch response.Status {
		case 200:
			r.accepted++
		case 503:
			r.refused[heartbeat.Machine] = true
		}
		return response
	}
}

// reset discards the responses recorded so far.
func (r *heartbeatResponses) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted = 0
	clear(r.refused)
}

// check expects at least minAccepted accepted heartbeats, and no refused heartbeat of a
// machine that was not returned.
func (r *heartbeatResponses) check(tc *testCluster, minAccepted int) {
	tc.t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.accepted < minAccepted {
		tc.t.Errorf("got %d heartbeats accepted, want at least %d", r.accepted, minAccepted)
	}
	refused := maps.Clone(r.refused)
	for _, machine := range tc.fleet.ReturnedMachines {
		delete(refused, machine) // its last heartbeat may arrive after its return
	}
	if len(refused) > 0 {
		tc.t.Errorf("got heartbeats of %v refused, want none", slices.Sorted(maps.Keys(refused)))
	}
}

// Guards against completions that are recorded later and later because submissions
// exceed the write rate of the key-value store: controllers that accept jobs must leave
// part of the write rate to the jobs' owner. Accepted jobs are soon done, and all other
// submissions are refused without delay.
func TestJobCompletionKeepsUpWithSubmissions(t *testing.T) {
	const perSecond, seconds = 60, 60
	withCluster(t, 6, func(tc *testCluster) {
		tasksRunFor(10 * time.Millisecond)(tc)
		tc.state.RequestRate, tc.state.WriteRate = 150, 60
	}, func(tc *testCluster) {
		var mu sync.Mutex
		accepted := map[int]bool{}
		for job := range perSecond * seconds {
			go func() {
				resp := tc.submit(job%3, submission(job, withTasks(1)))
				mu.Lock()
				defer mu.Unlock()
				if resp.status == 201 {
					accepted[job] = true
				}
			}()
			time.Sleep(time.Second / perSecond)
		}
		time.Sleep(30 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		done := 0
		for job := range accepted {
			if tc.jobStatus(0, job).state() == wire.JobDone {
				done++
			}
		}
		t.Logf("%d jobs accepted, %d of them done", len(accepted), done)
		if want := 10 * seconds; len(accepted) < want {
			t.Errorf("got %d jobs accepted, want at least %d", len(accepted), want)
		}
		if want := len(accepted) * 95 / 100; done < want {
			t.Errorf("got %d of %d accepted jobs done after 30 s, want at least %d", done, len(accepted), want)
		}
	})
}
