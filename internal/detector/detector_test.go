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

// newTestDetector makes a detector for heartbeats each second and leases of ten.
func newTestDetector(latency time.Duration) *Detector {
	return New(Settings{HeartbeatInterval: time.Second, LeaseDuration: 10 * time.Second, CommandTimeout: 2 * time.Second,
		Latency: func() time.Duration { return latency }})
}

// newTestWorker makes a worker that was heard at start.
func newTestWorker(name, zone string) *Worker {
	w := NewWorker(fleet.NewMachine(name), start)
	w.Address, w.Zone, w.Type = name, zone, &wire.MachineType{BootS: 10}
	return &w
}

// failProbes has probes go unanswered since the last sign of life.
func failProbes(w *Worker, count int, now time.Time) {
	for range count {
		w.ProbeFailed(now)
	}
}

// The machines of a zone that is partitioned off are kept for a while; one that
// alone is silent is lost at once.
func TestPartitionedZoneKeepsItsMachines(t *testing.T) {
	d := newTestDetector(0)
	var workers []*Worker
	zones := map[string][]*Worker{}
	for i := range 12 {
		w := newTestWorker(fmt.Sprint("n", i), []string{"z", "y"}[i%2])
		workers, zones[w.Zone] = append(workers, w), append(zones[w.Zone], w)
	}
	silent := zones["y"][0]
	failedAlone := func(now time.Time) bool { return d.Assess(slices.Values(workers), now, false).failedAlone(silent) }
	failProbes(silent, deadProbes, start)
	now := start.Add(3 * time.Second)
	for _, w := range workers {
		if w.failedProbes == 0 {
			w.LastHeartbeat = now
		}
	}
	if !failedAlone(now) {
		t.Error("a worker that alone is silent does not count as dead")
	}
	for _, w := range zones["y"] {
		w.failedProbes, w.failingSince = deadProbes, now
	}
	now = now.Add(3 * time.Second)
	for _, w := range zones["z"] {
		w.LastHeartbeat = now
	}
	if failedAlone(now) {
		t.Error("a worker of a zone that is partitioned off counts as dead at once")
	}
	now = now.Add(2*d.settings.LeaseDuration + 25*time.Second)
	for _, w := range zones["z"] {
		w.LastHeartbeat = now
	}
	if !failedAlone(now) {
		t.Error("a machine of a zone that is partitioned off is kept for ever")
	}
}

// A worker counts as one that nothing reaches only after probes of its own have
// failed: a command that timed out while this controller was busy, and the turn
// for a probe that did not come since, were proof enough to return 143 machines.
func TestUnreachableOnlyAfterProbes(t *testing.T) {
	d, w := newTestDetector(0), newTestWorker("m1", "z")
	w.NoteUnreachable(start)
	now := start.Add(20 * time.Second)
	w.LastHeartbeat = now
	unreachable := func() bool { return d.Assess(slices.Values([]*Worker{w}), now, false).Unreachable(w) }
	for probes := range deadProbes + 1 {
		w.unansweredProbes = probes
		if got, want := unreachable(), probes == deadProbes; got != want {
			t.Errorf("after %d probes it counts as unreachable: %v", probes, got)
		}
	}
	if w.NoteReachable(); w.unansweredProbes != 0 || unreachable() {
		t.Error("it still counts as unreachable after an answer")
	}
}

// What holds of a worker after so long a silence, with so many failed probes.
func TestSilentWorker(t *testing.T) {
	for _, test := range []struct {
		silence                     time.Duration
		latency                     time.Duration
		serves                      bool
		failed                      int
		probeDue, suspected, isDead bool
	}{
		{silence: time.Second},
		{silence: time.Second, serves: true, probeDue: true},
		{silence: 1500 * time.Millisecond, failed: deadProbes},
		{silence: 1501 * time.Millisecond, failed: deadProbes, isDead: true},
		{silence: 2 * time.Second},
		{silence: 2001 * time.Millisecond, probeDue: true, suspected: true},
		{silence: 2001 * time.Millisecond, latency: time.Second},
		{silence: 3001 * time.Millisecond, latency: time.Minute, probeDue: true, suspected: true},
		{silence: time.Minute, failed: deadProbes - 1, probeDue: true, suspected: true},
		{silence: time.Minute, failed: deadProbes, probeDue: true, suspected: true, isDead: true},
	} {
		d, w, other := newTestDetector(test.latency), newTestWorker("m1", "z"), newTestWorker("m2", "z")
		now := start.Add(test.silence)
		other.LastHeartbeat = now
		if test.serves {
			w.Add(&fleet.Attempt{Key: fleet.Key{Task: "wk-1/0", Attempt: 1}, Service: true}, start)
		}
		failProbes(w, test.failed, start)
		dead := d.Assess(slices.Values([]*Worker{w, other}), now, false).Dead(w)
		if d.ProbeDue(w, now) != test.probeDue || d.Suspected(w, now) != test.suspected || dead != test.isDead {
			t.Errorf("%+v: probe due %v, suspected %v, dead %v", test, d.ProbeDue(w, now), d.Suspected(w, now), dead)
		}
	}
}
