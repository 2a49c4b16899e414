package main

import (
	"fmt"
	"testing"
	"time"

	"heronwick/internal/config"
	"heronwick/wire"
)

// storeLimits are the key-value store's limits on the size of a value and on the number
// of operations in a transaction.
type storeLimits struct{ valueBytes, operations int }

// The limits that the old version is configured with, and the announced lower limits.
var (
	oldStoreLimits = storeLimits{16 << 10, 16}
	newStoreLimits = storeLimits{2 << 10, 5}
)

// Guards against lost jobs, and against values and transactions that are too large, when
// the key-value store's announced lower limits take effect without further notice: the
// controllers read the values that the old version wrote and split them in time, however
// many tasks, machines and images there are.
func TestStoreLimitsLowered(t *testing.T) {
	for _, scenario := range []struct {
		name string
		// run calls lower, which lowers the limits, before, during or after a failure.
		run func(tc *testCluster, lower func())
	}{
		{"right after the upgrade", func(_ *testCluster, lower func()) { lower() }},
		{"during a leader failover", func(tc *testCluster, lower func()) {
			leader := tc.leader()
			tc.crash(leader)
			time.Sleep(2 * time.Second)
			lower()
			time.Sleep(5 * time.Second)
			tc.start(leader)
		}},
		{"during a store outage", func(tc *testCluster, lower func()) {
			tc.state.SetOutage(true)
			time.Sleep(5 * time.Second)
			lower()
			tc.state.SetOutage(false)
		}},
		{"before all controllers restart", func(tc *testCluster, lower func()) {
			lower()
			tc.crashAll()
			time.Sleep(3 * time.Second)
			tc.startAll()
		}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			const machines, jobs = 80, 50
			withCluster(t, machines, (*testCluster).prepareStoreLimits, func(tc *testCluster) {
				tc.submitManyTaskJobs(0, jobs/2)
				time.Sleep(15 * time.Second)
				if key, size := tc.state.LargestValue(); size <= newStoreLimits.valueBytes {
					t.Fatalf("got %s of %d bytes as the old version's largest value, want one over the new limit of %d, which the test depends on", key, size, newStoreLimits.valueBytes)
				}
				tc.upgradeAll()
				tc.lowerLimitsDuring(scenario.run)
				time.Sleep(8 * time.Second)
				tc.submitManyTaskJobs(jobs/2, jobs)
				time.Sleep(4 * time.Minute)
				for job := range jobs {
					tc.expectStateEverywhere(job, wire.JobDone)
				}
				if rejected := tc.state.TooLarge; rejected > 0 {
					t.Errorf("got %d transactions over the limits, want none", rejected)
				}
				if key, size := tc.state.LargestValue(); size > newStoreLimits.valueBytes {
					t.Errorf("got %s of %d bytes in the store, want at most %d", key, size, newStoreLimits.valueBytes)
				}
			})
		})
	}
}

// prepareStoreLimits has all controllers start with the old version. Controllers of the
// old version are configured with the old limits, those of the new version with the new
// limits. The tasks of a job end one after the other.
func (tc *testCluster) prepareStoreLimits() {
	tc.useOldVersion()
	tc.adjustSettings = func(settings *config.Settings) {
		limits := oldStoreLimits
		for _, n := range tc.nodes {
			if n.name == settings.Node && !n.oldVersion.Load() {
				limits = newStoreLimits
			}
		}
		settings.MaxValueBytes, settings.MaxTxnOps = limits.valueBytes, limits.operations
	}
	tc.state.MaxValueBytes, tc.state.MaxTxnOps = oldStoreLimits.valueBytes, oldStoreLimits.operations
	tc.fleet.Types = []wire.MachineType{machineType(16, 64, 30)}
	tc.fleet.TaskDuration = func(task string) time.Duration {
		_, index, _ := wire.SplitTaskID(task)
		return time.Duration(20+index%40) * time.Second
	}
}

// submitManyTaskJobs submits the jobs with the numbers from to to-1. Each has many tasks
// and a long image name, so that its records are large.
func (tc *testCluster) submitManyTaskJobs(from, to int) {
	tc.t.Helper()
	for job := from; job < to; job++ {
		image := fmt.Sprintf("registry/with/a/longer/name-%d", job%12)
		tc.expectAccepted(job%3, job, withTasks(40), with(fieldCPUs, 1.0), with(fieldMemory, 1.0), with(fieldImage, image))
	}
}

// upgradeAll restarts the controllers one after the other with the new version.
func (tc *testCluster) upgradeAll() {
	for i, n := range tc.nodes {
		tc.crash(i)
		n.oldVersion.Store(false)
		time.Sleep(time.Second)
		tc.start(i)
		time.Sleep(4 * time.Second)
	}
}

// lowerLimitsDuring runs a scenario that must call lower, the function that lowers the
// limits, and ends the test if the scenario did not call it.
func (tc *testCluster) lowerLimitsDuring(run func(tc *testCluster, lower func())) {
	lowered := false
	run(tc, func() {
		tc.state.LowerLimits(newStoreLimits.valueBytes, newStoreLimits.operations)
		lowered = true
	})
	if !lowered {
		tc.t.Fatal("got the old limits after the scenario, want the new ones")
	}
}
