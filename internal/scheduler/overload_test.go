package scheduler

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"heronwick/internal/cluster"
	"heronwick/internal/fleet"
	"heronwick/internal/job"
	"heronwick/internal/recovery"
	"heronwick/wire"
)

// silentWorkers answers no request before its context ends, and counts the probes.
type silentWorkers struct {
	fakeEnvironment
	probes atomic.Int64
}

func (w *silentWorkers) Status(ctx context.Context, _ string) (*wire.Heartbeat, error) {
	w.probes.Add(1)
	<-ctx.Done()
	return nil, ctx.Err()
}

// addSilentMachines adds machines whose workers have sent one heartbeat and answer no
// requests.
func addSilentMachines(s *Scheduler, count int) *silentWorkers {
	w := &silentWorkers{}
	s.opts.Workers = w
	for i := range count {
		name := fmt.Sprint("n", i)
		m := s.addMachineLocked(fleet.NewMachine(name), time.Now())
		s.applyHeartbeatLocked(m, &wire.Heartbeat{Machine: name, Address: name, Type: "m", Zone: "z", Incarnation: 1, Seq: 1, FencingToken: 5})
	}
	return w
}

// watchMachinesFor watches the machines for a duration, like the scheduler's loop.
func watchMachinesFor(s *Scheduler, duration time.Duration) {
	for began := time.Now(); time.Since(began) < duration; time.Sleep(200 * time.Millisecond) {
		s.mu.Lock()
		s.watchMachinesLocked(time.Now())
		s.mu.Unlock()
	}
}

// A controller that is itself short of processor time does not conclude from a
// missing answer that a worker is silent. Without this rule, an overloaded controller
// returned hundreds of healthy machines and resigned, and the next leader did the same.
func TestBusyControllerSuspectsNoWorker(t *testing.T) {
	for _, test := range []struct {
		name    string
		latency time.Duration // scheduling latency of goroutines
		delay   time.Duration // delay of the scheduler's loop
		silent  bool          // whether the workers must be considered silent
	}{
		{"not busy", 0, 0, true},
		{"short of processor time", time.Second, 0, false},
		{"long passes", 0, time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, p, first := newTestScheduler(t)
				p.latency = test.latency
				s.opts.WorkersAtPeers = func() int { return 0 }
				addSilentMachines(s, 11)
				for range 6 {
					s.mu.Lock()
					s.detector.RecordDelay(test.delay, time.Now())
					s.mu.Unlock()
					watchMachinesFor(s, time.Second)
				}
				time.Sleep(time.Second)
				s.mu.Lock()
				defer s.mu.Unlock()
				failing := 0
				for _, m := range s.machines {
					if m != first && !m.Responsive() {
						failing++
					}
				}
				if test.silent && failing != 11 || !test.silent && failing != 0 {
					t.Errorf("got %d of 11 workers considered silent, want all if the controller is not busy, otherwise none", failing)
				}
				if s.detector.Partitioned() != test.silent {
					t.Errorf("got partitioned %v, want %v", s.detector.Partitioned(), test.silent)
				}
			})
		})
	}
}

// Probes take no more than their share of a small controller's time, however many
// workers are silent. Before there was a limit, each of hundreds of workers was
// probed again after 0.7 s, which left no time to read any heartbeats.
func TestProbeRateIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := newTestScheduler(t)
		s.probeRate = probeRate(0.05)
		var cancel context.CancelFunc
		s.ctx, cancel = context.WithCancel(s.ctx)
		s.opts.WorkersAtPeers = func() int { return 0 }
		w := addSilentMachines(s, 600)
		watchMachinesFor(s, 12*time.Second)
		n := w.probes.Load()
		cancel()
		synctest.Wait()
		if n < 400 || n > 12*50+100 {
			t.Errorf("got %d probes in 12 s, want 400 to 700", n)
		}
	})
}

// Attempts of a done job that the records still name have no deadline. When they had
// one, machines were returned at a takeover because their workers had not shown within
// two seconds that such attempts were gone. The attempts of a cancelled job do have a
// deadline.
func TestStaleRecordsOfDoneJobsReturnNoMachine(t *testing.T) {
	for state, want := range map[wire.JobState]bool{wire.JobDone: false, wire.JobCancelled: true} {
		synctest.Test(t, func(t *testing.T) {
			s, _, _ := newTestScheduler(t)
			r := fleet.Record{Address: "m9", Type: "m", Zone: "z", Incarnation: 1, Attempts: map[string]uint64{"wk-000001/0": 7}}
			ended := map[string]job.Outcome{"wk-000001": {State: state, Tasks: 1, Team: "ours", CPUs: 1}}
			s.mu.Lock()
			s.adoptMachineLocked(fleet.FromRecord("m9", r, 5, time.Now()), nil, recovery.Records{Outcomes: ended}, time.Now())
			s.mu.Unlock()
			time.Sleep(3 * s.opts.Settings.HeartbeatInterval)
			s.mu.Lock()
			defer s.mu.Unlock()
			if got := s.cancelledTaskOverdueLocked(s.machines["m9"], time.Now()); got != want {
				t.Errorf("%s: got overdue %v, want %v", state, got, want)
			}
		})
	}
}

// A worker that may have a task of a cancelled job is sent the new token, and then
// the stop, before all others and regardless of the rate limit.
func TestTakeoverStopsCancelledFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := newTestScheduler(t)
		w := &slowWorkers{commands: map[string]int{}}
		s.opts.Workers = w
		s.tokenSync.rate = tokenRequestRate(0.05)
		ended := map[string]job.Outcome{"wk-000001": {State: wire.JobCancelled, Tasks: 1, Team: "ours", CPUs: 1}}
		s.mu.Lock()
		for i := range 600 {
			r := fleet.Record{Address: fmt.Sprint("n", i), Type: "m", Zone: "z", Incarnation: 1}
			if i == 599 {
				r.Attempts = map[string]uint64{"wk-000001/0": 7}
			}
			s.adoptMachineLocked(fleet.FromRecord(r.Address, r, 5, time.Now()), nil, recovery.Records{Outcomes: ended}, time.Now())
		}
		s.mu.Unlock()
		time.Sleep(time.Millisecond)
		w.mu.Lock()
		if w.commands["n599"] != 1 {
			t.Error("got no command, or several, to the worker with a cancelled task, want one at once")
		}
		w.mu.Unlock()
		time.Sleep(10 * time.Second)
	})
}

// A scheduler that is short of processor time hands idle machines over to the member
// with the fewest machines that is not short of it. Without this rule, one controller
// owned all machines after a takeover, and their heartbeats took more processor time
// than it had, while the other controllers were idle.
func TestOverloadedSchedulerHandsOverIdleMachines(t *testing.T) {
	for _, test := range []struct {
		name       string
		latency    time.Duration
		loads      map[string]cluster.PeerLoad
		handedOver int
	}{
		{"not overloaded", 0, map[string]cluster.PeerLoad{"peer": {}}, 0},
		{"overloaded", time.Second, map[string]cluster.PeerLoad{"peer": {}}, 10},
		{"peer has nearly as many machines", time.Second, map[string]cluster.PeerLoad{"peer": {Machines: 15}}, 3},
		{"peer is overloaded too", time.Second, map[string]cluster.PeerLoad{"peer": {Overloaded: true}}, 0},
		{"no peers", time.Second, nil, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, p, _ := newTestScheduler(t)
				p.latency = test.latency
				p.loads = test.loads
				addSilentMachines(s, 20)
				s.mu.Lock()
				s.shedIdleMachinesLocked(time.Now())
				handedOver := s.transfers.MovingCount()
				s.mu.Unlock()
				synctest.Wait()
				if handedOver != test.handedOver {
					t.Errorf("got %d of 21 idle machines handed over, want %d", handedOver, test.handedOver)
				}
			})
		})
	}
}

// A member that gets a placement request from an overloaded controller hosts the
// tasks itself. If it handed over an idle machine, that machine's heartbeats would go
// to the controller that cannot process them.
func TestOverloadedPeerGetsPlacementsNotMachines(t *testing.T) {
	for overloaded, want := range map[bool]uint32{false: 1, true: 0} {
		synctest.Test(t, func(t *testing.T) {
			s, p, _ := newTestScheduler(t)
			p.loads = map[string]cluster.PeerLoad{"peer": {Overloaded: overloaded}}
			p.add("wk-000001", "theirs", wire.PriorityNormal, 1, 2)
			reply := s.Place(placeRequestFor("wk-000001", 7))
			synctest.Wait()
			if reply.Given != want || len(reply.Taken) != 1-int(want) {
				t.Errorf("overloaded %v: got %d machines handed over and %d tasks hosted, want a machine unless overloaded, else a task", overloaded, reply.Given, len(reply.Taken))
			}
		})
	}
}

// A member keeps its idle machines while the leader is short of processor time.
// Otherwise the next rebalancing would hand back the machines that the leader has
// just handed over.
func TestIdleMachinesStayWhileLeaderIsOverloaded(t *testing.T) {
	for overloaded, want := range map[bool]int{false: 16, true: 0} {
		synctest.Test(t, func(t *testing.T) {
			s, p, _ := newTestScheduler(t)
			s.epoch.Leader = "peer"
			p.loads = map[string]cluster.PeerLoad{"peer": {Overloaded: overloaded}}
			addSilentMachines(s, 16)
			s.mu.Lock()
			s.rebalanceIdleLocked(time.Now())
			got := s.transfers.MovingCount()
			s.mu.Unlock()
			synctest.Wait()
			if got != want {
				t.Errorf("overloaded %v: got %d machines handed over to the leader, want %d", overloaded, got, want)
			}
		})
	}
}
