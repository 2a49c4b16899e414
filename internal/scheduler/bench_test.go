package scheduler

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"heronwick/internal/cluster"
	"heronwick/internal/config"
	"heronwick/internal/fleet"
	"heronwick/internal/job"
	"heronwick/internal/placement"
	"heronwick/internal/quota"
	"heronwick/internal/recovery"
	"heronwick/internal/state"
	"heronwick/wire"
)

// newLargeScheduler returns a scheduler with the given number of machines. They have 16
// CPUs and are spread over three zones. Every third is a spot machine, and every second
// has one of the images i0 to i3 cached.
func newLargeScheduler(machines int) (*Scheduler, *fakeEnvironment) {
	p := &fakeEnvironment{active: map[string]*job.Record{}, epoch: cluster.Epoch{Token: 5, Leader: "me",
		Members: map[string]cluster.Member{"me": {Incarnation: 1, Since: 3}}, Teams: map[string]string{"ours": "me"}}}
	s := New(Options{
		Node: "me", Authority: p, Workers: p, Jobs: p, Committer: p, TxnLimits: state.NewTxnLimits(16, slog.New(slog.DiscardHandler)), Actions: unfencedActions(),
		Settings: &config.Settings{HeartbeatInterval: time.Second, LeaseDuration: 10 * time.Second, CancelTimeout: 20 * time.Second,
			MaxValueBytes: 16 << 10, MaxTxnOps: 16, StateWriteRate: 60},
		Types: []wire.MachineType{{Name: "m", CPUs: 16, MemoryGB: 64, CacheGB: 30, Zones: []string{"a", "b", "c"}}},
		Log:   slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	s.ctx, s.group = context.Background(), &errgroup.Group{}
	view := p.View()
	s.setEpochLocked(view)
	s.loaded, s.adoptedToken = true, view.Epoch.Token
	s.teams.SetBasis(quota.Basis{Token: view.Epoch.Token, Assignment: view.Epoch.Assignment.Token, Revision: 1})
	for i := range machines {
		m := s.addMachineLocked(fleet.NewMachine(fmt.Sprintf("host-%06d", i)), time.Now())
		s.applyHeartbeatLocked(m, &wire.Heartbeat{Machine: m.Name, Address: m.Name, Type: "m", Zone: []string{"a", "b", "c"}[i%3], Spot: i%3 == 1, Incarnation: 1, Seq: 1, FencingToken: 5})
		if i%2 == 0 {
			m.CachedImages[fmt.Sprint("i", i/2%4)] = fleet.CachedImage{GB: 1}
		}
	}
	return s, p
}

// fillMachines adds running tasks of 2 to 8 CPUs to the machines at random.
func fillMachines(s *Scheduler, random *rand.Rand) {
	for _, m := range s.machines {
		for random.IntN(4) > 0 {
			a := &fleet.Attempt{Key: fleet.Key{Task: fmt.Sprintf("wk-%s/%d", m.Name, m.Attempts.Len()), Attempt: 1}, Job: "wk-0", SizeKnown: true, Recorded: true, State: wire.TaskRunning}
			a.Size = placement.Resources{CPUs: float64(2 + 2*random.IntN(4)), MemoryGB: 8}
			if !a.Size.Within(m.Free()) {
				break
			}
			m.Add(a, time.Now())
			s.packer.Open.MoveToFront(m.packing)
		}
	}
}

// fleetSizes are the numbers of machines to measure with. The cost of work that depends
// only on what has changed must not grow with them.
var fleetSizes = []int{1000, 2000, 4000}

// forEachFleetSize runs a benchmark with each fleet size.
func forEachFleetSize(b *testing.B, measure func(b *testing.B, machines int)) {
	for _, machines := range fleetSizes {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			b.ReportAllocs()
			measure(b, machines)
		})
	}
}

// newFullScheduler returns a scheduler with the given number of machines, all of them
// full, and 200 jobs that wait for room. It calls prepare for each job before queueing it.
func newFullScheduler(machines int, prepare func(i int, j *wire.Job)) *Scheduler {
	s, p := newLargeScheduler(machines)
	fillMachines(s, rand.New(rand.NewPCG(1, 1)))
	for i := range 200 {
		r := p.add(fmt.Sprintf("wk-%d", i), "ours", wire.PriorityNormal, 1_000_000, 2)
		prepare(i, &r.Job)
		s.addJobLocked(r)
	}
	s.scheduleLocked(time.Now()) // fills the room that is left
	return s
}

// A pass over full machines with 200 waiting jobs.
func BenchmarkPass(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, machines int) {
		s := newFullScheduler(machines, func(i int, j *wire.Job) {
			j.CPUs, j.Image = float64(2+2*(i%4)), fmt.Sprint("i", i%8)
		})
		for b.Loop() {
			s.scheduleLocked(time.Now())
		}
	})
}

// A pass over full machines with 200 waiting jobs after one task has exited: it places
// one task.
func BenchmarkPassAfterTaskExit(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, machines int) {
		s := newFullScheduler(machines, func(int, *wire.Job) {})
		all := slices.Collect(maps.Values(s.machines))
		for i := 0; b.Loop(); i++ {
			m := all[i%len(all)]
			for _, a := range m.Attempts.All() {
				m.Attempts.Delete(a.Key)
				s.uncountAttemptLocked(a, quota.Exited)
				break
			}
			s.scheduleLocked(time.Now())
		}
	})
}

// Recording one placement in a journal. The machines are full of running tasks, whose
// records are in buckets.
func BenchmarkRecordPlacement(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, machines int) {
		s, p := newLargeScheduler(machines)
		s.opts.Settings.StateWriteRate = math.MaxFloat64 // journals do not wait for each other
		fillMachines(s, rand.New(rand.NewPCG(1, 1)))
		queued := s.addJobLocked(p.add("wk-1", "ours", wire.PriorityNormal, 1_000_000, 0))
		all := slices.Collect(maps.Values(s.machines))
		for i := 0; b.Loop(); i++ {
			m := all[i%len(all)]
			s.mu.Lock()
			a := s.newAttempt(queued, i)
			s.placeLocked(a, m, time.Now())
			s.recordPlacementsLocked()
			s.mu.Unlock()
			_ = s.group.Wait()
			s.mu.Lock()
			m.Attempts.Delete(a.Key)
			s.uncountAttemptLocked(a, quota.Exited)
			s.mu.Unlock()
			p.writes = p.writes[:0]
		}
	})
}

// The cost of one second without events on machines that run tasks: five ticks, and the
// passes after them.
func BenchmarkIdleSecond(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, machines int) {
		s, _ := newLargeScheduler(machines)
		fillMachines(s, rand.New(rand.NewPCG(1, 1)))
		now := time.Now()
		for b.Loop() {
			for range time.Second / tickInterval {
				now = now.Add(tickInterval)
				for _, m := range s.machines {
					m.LastHeartbeat, m.LastUnsolicited = now, now
				}
				s.tick(now)
				s.schedule()
			}
		}
	})
}

// A heartbeat of a machine with eight running tasks, and the reply to it.
func BenchmarkHeartbeat(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, machines int) {
		s, _ := newLargeScheduler(machines)
		heartbeat := &wire.Heartbeat{Machine: "host-000000", Address: "a", Type: "m", Zone: "a", Incarnation: 1, FencingToken: 5}
		for i := range 8 {
			heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: fmt.Sprintf("wk-000001/%d", i), Attempt: 1, State: wire.TaskRunning})
		}
		for i := uint64(2); b.Loop(); i++ {
			heartbeat.Seq = i
			s.HandleHeartbeat(heartbeat)
		}
	})
}

// Adopting the machines of a scheduler that has ended, with about two tasks on each.
func BenchmarkTakeover(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, machines int) {
		full, _ := newLargeScheduler(machines)
		fillMachines(full, rand.New(rand.NewPCG(1, 1)))
		left := recordsOf(full)
		for b.Loop() {
			s, p := newLargeScheduler(0)
			s.mu.Lock() // adoption starts requests to workers, which use the lock
			s.addJobLocked(p.add("wk-0", "ours", wire.PriorityNormal, 4*machines, 2))
			s.restoreRecordsLocked(left, nil, map[string]bool{"wk-0": true}, time.Now())
			s.mu.Unlock()
		}
	})
}

// recordsOf returns the records that a scheduler that has ended leaves of its machines.
func recordsOf(s *Scheduler) (left recovery.Records) {
	const machinesPerBucket = 30
	for _, m := range s.machines {
		if last := len(left.Buckets) - 1; last < 0 || len(left.Buckets[last].Machines) == machinesPerBucket {
			key := fleet.BucketKey("old", 1, uint64(len(left.Buckets)+1))
			left.Buckets = append(left.Buckets, recovery.Bucket{RecordBucket: fleet.RecordBucket{Machines: map[string]fleet.Record{}}, Key: key, Version: 1})
		}
		left.Buckets[len(left.Buckets)-1].Machines[m.Name] = m.Record(func(*fleet.Attempt) bool { return false })
	}
	return left
}

// liveHeap returns the number of heap bytes in use after a garbage collection.
func liveHeap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// The live heap of a scheduler per machine, per task that may be on a machine, and per
// waiting job.
func BenchmarkLiveHeap(b *testing.B) {
	const jobs = 1000
	forEachFleetSize(b, func(b *testing.B, machines int) {
		for b.Loop() {
			empty := liveHeap()
			s, p := newLargeScheduler(machines)
			withMachines := liveHeap()
			tasks := 0
			for _, m := range s.machines {
				for i := range 10 {
					m.Add(&fleet.Attempt{Key: fleet.Key{Task: fmt.Sprintf("wk-%06d/%d", tasks/50, i), Attempt: uint64(tasks)},
						Job: "wk-000000", SizeKnown: true, Recorded: true, State: wire.TaskRunning}, time.Now())
					tasks++
				}
			}
			withTasks := liveHeap()
			for i := range jobs {
				s.addJobLocked(p.add(fmt.Sprintf("wk-%06d", i), "ours", wire.PriorityNormal, 50, 2))
			}
			withJobs := liveHeap()
			b.ReportMetric((withMachines-empty)/float64(machines), "B/machine")
			b.ReportMetric((withTasks-withMachines)/float64(tasks), "B/task")
			b.ReportMetric((withJobs-withTasks)/jobs, "B/job")
			runtime.KeepAlive(s)
		}
	})
}
