package detector

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"heronwick/internal/fleet"
	"heronwick/wire"
)

var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// newTestDetector returns a detector for a heartbeat interval of 1 s and leases of 10 s,
// with the given scheduling latency.
func newTestDetector(latency time.Duration) *Detector {
	return New(Settings{HeartbeatInterval: time.Second, LeaseDuration: 10 * time.Second, CommandTimeout: 2 * time.Second,
		Latency: func() time.Duration { return latency }})
}

// newTestWorker returns a worker that was last heard from at start.
func newTestWorker(name, zone string) *Worker {
	w := NewWorker(fleet.NewMachine(name), start)
	w.Address, w.Zone, w.Type = name, zone, &wire.MachineType{BootS: 10}
	return &w
}

// failProbes records count failed probes, sent at the time now.
func failProbes(w *Worker, count int, now time.Time) {
	for range count {
		w.ProbeFailed(now)
	}
}

// The machines of a partitioned zone are kept for a while. A single silent worker counts
// as dead at once.
func TestPartitionedZoneKeepsItsMachines(t *testing.T) {
	d := newTestDetector(0)
	var workers []*Worker
	zones := map[string][]*Worker{}
	for i := range 12 {
		w := newTestWorker(fmt.Sprint("n", i), []string{"z", "y"}[i%2])
		workers, zones[w.Zone] = append(workers, w), append(zones[w.Zone], w)
	}
	silent := zones["y"][0]
	failedIndividually := func(now time.Time) bool {
		return d.Assess(slices.Values(workers), now, false).failedIndividually(silent)
	}
	failProbes(silent, deadProbeThreshold, start)
	now := start.Add(3 * time.Second)
	for _, w := range workers {
		if w.failedProbes == 0 {
			w.LastHeartbeat = now
		}
	}
	if !failedIndividually(now) {
		t.Error("the only silent worker does not count as dead")
	}
	for _, w := range zones["y"] {
		w.failedProbes, w.failingSince = deadProbeThreshold, now
	}
	now = now.Add(3 * time.Second)
	for _, w := range zones["z"] {
		w.LastHeartbeat = now
	}
	if failedIndividually(now) {
		t.Error("a worker of a partitioned zone counts as dead before the partition timeout")
	}
	now = now.Add(2*d.settings.LeaseDuration + 25*time.Second)
	for _, w := range zones["z"] {
		w.LastHeartbeat = now
	}
	if !failedIndividually(now) {
		t.Error("a worker of a partitioned zone does not count as dead after the partition timeout")
	}
}

// A worker counts as unreachable only after probes of it have failed. Without this rule
// 143 machines were returned because a command to each had timed out while the controller
// was busy, and no probe had been sent since.
func TestUnreachableOnlyAfterProbes(t *testing.T) {
	d, w := newTestDetector(0), newTestWorker("m1", "z")
	w.MarkUnreachable(start)
	now := start.Add(20 * time.Second)
	w.LastHeartbeat = now
	unreachable := func() bool { return d.Assess(slices.Values([]*Worker{w}), now, false).Unreachable(w) }
	for probes := range deadProbeThreshold + 1 {
		w.unansweredProbes = probes
		if got, want := unreachable(), probes == deadProbeThreshold; got != want {
			t.Errorf("after %d failed probes: got unreachable %v, want the opposite", probes, got)
		}
	}
	if w.MarkReachable(); w.unansweredProbes != 0 || unreachable() {
		t.Error("the worker still counts as unreachable after an answer")
	}
}

// Whether a worker is due for a probe, suspected or dead depends on its silence, its
// failed probes, its service replicas and the controller's scheduling latency.
func TestSilentWorker(t *testing.T) {
	for _, test := range []struct {
		silence                     time.Duration
		latency                     time.Duration
		hasReplicas                 bool
		failed                      int
		probeDue, suspected, isDead bool
	}{
		{silence: time.Second},
		{silence: time.Second, hasReplicas: true, probeDue: true},
		{silence: 1500 * time.Millisecond, failed: deadProbeThreshold},
		{silence: 1501 * time.Millisecond, failed: deadProbeThreshold, isDead: true},
		{silence: 2 * time.Second},
		{silence: 2001 * time.Millisecond, probeDue: true, suspected: true},
		{silence: 2001 * time.Millisecond, latency: time.Second},
		{silence: 3001 * time.Millisecond, latency: time.Minute, probeDue: true, suspected: true},
		{silence: time.Minute, failed: deadProbeThreshold - 1, probeDue: true, suspected: true},
		{silence: time.Minute, failed: deadProbeThreshold, probeDue: true, suspected: true, isDead: true},
	} {
		d, w, other := newTestDetector(test.latency), newTestWorker("m1", "z"), newTestWorker("m2", "z")
		now := start.Add(test.silence)
		other.LastHeartbeat = now
		if test.hasReplicas {
			w.Add(&fleet.Attempt{Key: fleet.Key{Task: "wk-1/0", Attempt: 1}, Service: true}, start)
		}
		failProbes(w, test.failed, start)
		dead := d.Assess(slices.Values([]*Worker{w, other}), now, false).Dead(w)
		if d.ProbeDue(w, now) != test.probeDue || d.Suspected(w, now) != test.suspected || dead != test.isDead {
			t.Errorf("%+v: got probe due %v, suspected %v, dead %v", test, d.ProbeDue(w, now), d.Suspected(w, now), dead)
		}
	}
}
