package main

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"heronwick/internal/config"
	"heronwick/wire"
)

const (
	scaleMachines     = 4000
	scaleLease        = 26500 * time.Millisecond
	scaleServices     = 400
	scaleFirstService = 1000 // number of the first service
)

// scaleRun is one run of a large cluster under load and failures.
type scaleRun struct {
	*testCluster
	random        *rand.Rand
	jobs          int // number of accepted arrays, and of the next array
	crashedLeader int // the leader that crashes during the store outage
	leaseExpiries int // before any machine was disconnected
	peaks         peakUsage
}

// Guards against a cluster that works only at a small scale: four thousand machines are
// idle at first, then run bursts of large arrays during the failures of injectFailures.
// The key-value store's limits are observed, no lease expires because of slowness, no rule
// is violated, and every job is known to all controllers and ends. The resource use of a
// controller stays within bounds.
func TestFourThousandMachinesUnderFailures(t *testing.T) {
	withCluster(t, scaleMachines, (*testCluster).prepareScale, func(tc *testCluster) {
		run := &scaleRun{testCluster: tc, random: rand.New(rand.NewPCG(1, 2))}
		run.checkIdleWrites()
		run.submitServices()
		for second := range 150 {
			if second%10 == 0 {
				run.submitArray(600)
			} else {
				run.submitArray(100)
			}
			if second%10 == 5 {
				run.peaks.sample(tc)
			}
			run.injectFailures(second)
			time.Sleep(time.Second)
		}
		if run.leaseExpiries != 0 {
			t.Errorf("got %d expired leases before any machine was disconnected, want none", run.leaseExpiries)
		}
		time.Sleep(100 * time.Second)
		run.checkJobs()
		run.peaks.check(t, scaleMachines)
		run.checkStoreUse()
	})
}

// prepareScale configures a cluster for a large number of machines. Tasks of services run
// until they are stopped.
func (tc *testCluster) prepareScale() {
	tc.adjustSettings = func(settings *config.Settings) {
		settings.Teams = []config.Team{{Name: redTeam, CPUsMax: redTeamCPUs}, {Name: blueTeam, CPUs: 24000}}
		settings.HeartbeatInterval, settings.LeaseDuration, settings.CancelTimeout = 5*time.Second, scaleLease, 46500*time.Millisecond
		settings.StateRequestRate, settings.StateWriteRate = 700, 300
	}
	tc.state.RequestRate, tc.state.WriteRate, tc.state.MaxValueBytes, tc.state.MaxTxnOps = 700, 300, 16<<10, 16
	tc.fleet.HeartbeatInterval, tc.fleet.Lease = 5*time.Second, scaleLease
	tc.fleet.Types = []wire.MachineType{machineType(16, 64, 30)}
	tc.fleet.TaskDuration = func(task string) time.Duration {
		if task >= jobID(scaleFirstService) {
			return 0
		}
		return 15 * time.Second
	}
}

// checkIdleWrites checks the number of writes to the store while the cluster is idle.
func (r *scaleRun) checkIdleWrites() {
	const maxWrites = 100
	before := r.state.Writes
	time.Sleep(20 * time.Second)
	if writes := r.state.Writes - before; writes > maxWrites {
		r.t.Errorf("got %d writes in 20 s without load, want at most %d", writes, maxWrites)
	}
}

// submitServices submits the services, distributed over the controllers.
func (r *scaleRun) submitServices() {
	for n := range scaleServices {
		image := fmt.Sprintf("img-%d", n%8)
		r.submit(n%3, submission(scaleFirstService+n, service(6), withPriority(wire.PriorityProd), with(fieldMemory, 6.0), with(fieldImage, image)))
	}
}

// submitArray submits an array to the first controller that accepts it. There is no retry
// if no controller accepts it.
func (r *scaleRun) submitArray(tasks int) {
	image := fmt.Sprintf("img-%d", r.jobs%6)
	for i := range r.nodes {
		resp := r.submit(i, submission(r.jobs, withTasks(tasks), with(fieldCPUs, 4.0), with(fieldMemory, 8.0), with(fieldImage, image)))
		if resp.status == 201 {
			r.jobs++
			return
		}
	}
}

// injectFailures starts and ends the failures that are scheduled for a second of the run.
func (r *scaleRun) injectFailures(second int) {
	switch second {
	case 15: // one controller restarts
		r.restart(0, 100*time.Millisecond)
	case 30, 38: // all restart, the second time during the recovery from the first
		r.crashAll()
		time.Sleep(5 * time.Second)
		r.startAll()
	case 55: // old transactions and heartbeats are replayed
		r.state.ReplayTransactions()
		for range 200 {
			r.sendHeartbeat(r.random.IntN(3), r.randomHeartbeat(r.random))
		}
	case 60: // two stop, so that one controller carries the whole load
		leader := r.leader()
		r.crash(leader)
		r.crash((leader + 1) % 3)
	case 80:
		r.startStoppedNodes()
		r.leaseExpiries = r.fleet.LeaseExpiries()
	case 85: // machines fail permanently
		r.setDisconnected(0, 100, true)
	case 90: // others are disconnected temporarily
		r.setDisconnected(100, 280, true)
	case 100:
		r.state.SetOutage(true)
	case 103: // the leader crashes during the store outage
		r.crashedLeader = r.leader()
		r.crash(r.crashedLeader)
	case 106:
		r.start(r.crashedLeader)
	case 115:
		r.state.SetOutage(false)
	case 143: // they reconnect two lease durations later; their leases have expired, so their tasks are gone
		r.setDisconnected(100, 280, false)
	}
}

// setDisconnected disconnects or reconnects every seventh machine: those with the numbers
// 7*from+1 to 7*(to-1)+1.
func (r *scaleRun) setDisconnected(from, to int, on bool) {
	for n := from; n < to; n++ {
		r.fleet.Disconnect(machineName(7*n+1), on)
	}
}

// checkJobs checks that enough arrays were accepted, and that every controller reports
// the arrays as done and the services as running.
func (r *scaleRun) checkJobs() {
	for i := range r.nodes {
		for job := range r.jobs {
			r.expectState(i, job, wire.JobDone)
		}
		for n := range scaleServices {
			r.expectState(i, scaleFirstService+n, wire.JobRunning)
		}
		time.Sleep(2 * time.Second)
	}
	if minJobs := 120; r.jobs < minJobs {
		r.t.Errorf("got %d jobs accepted, want at least %d", r.jobs, minJobs)
	}
}

// checkStoreUse checks that the key-value store's limits were observed.
func (r *scaleRun) checkStoreUse() {
	if maxRefused := r.state.Requests / 100; r.state.RateLimited > maxRefused {
		r.t.Errorf("got %d of %d requests over the store's limits, want at most %d", r.state.RateLimited, r.state.Requests, maxRefused)
	}
	if r.state.TooLarge > 0 {
		r.t.Errorf("got %d transactions that were too large, want none", r.state.TooLarge)
	}
}

// peakUsage holds the peaks of the resource use that grows with the number of machines.
type peakUsage struct {
	goroutines int    // of one controller
	values     int    // in the key-value store
	valueBytes int    // of the largest value
	heapBytes  uint64 // of the whole test process: three controllers and the fakes
}

// sample updates the peaks with the current use.
func (u *peakUsage) sample(tc *testCluster) {
	for _, n := range tc.nodes {
		u.goroutines = max(u.goroutines, n.goroutines())
	}
	_, largest := tc.state.LargestValue()
	u.values, u.valueBytes = max(u.values, tc.state.Count()), max(u.valueBytes, largest)
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	u.heapBytes = max(u.heapBytes, stats.HeapAlloc)
}

// check compares the peaks with the limits for a number of machines. The goroutines that
// serve requests belong to the fakes here and are not counted as a controller's.
func (u *peakUsage) check(t *testing.T, machines int) {
	t.Helper()
	t.Logf("peak use: %d goroutines of one controller, %d values, largest value %d bytes, heap %d MB", u.goroutines, u.values, u.valueBytes, u.heapBytes>>20)
	for _, peak := range []struct {
		name       string
		got, limit uint64
	}{
		{"goroutines of one controller", uint64(u.goroutines), uint64(machines / 2)},
		{"values in the store", uint64(u.values), uint64(machines)},
		{"bytes of heap", u.heapBytes, 1 << 30},
		{"bytes of the largest value", uint64(u.valueBytes), 16 << 10},
	} {
		if peak.got > peak.limit {
			t.Errorf("got %d %s for %d machines, want at most %d", peak.got, peak.name, machines, peak.limit)
		}
	}
}
