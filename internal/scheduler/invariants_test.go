package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"heronwick/internal/fleet"
	"heronwick/wire"
)

// Guards against a second attempt of a running task that goes unnoticed: it is counted, and
// stopped.
func TestSecondAttemptOfTaskViolatesInvariant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, m := newTestScheduler(t)
		s.opts.Violations = &Violations{}
		queued := s.addJobLocked(p.add("wk-000001", "ours", wire.PriorityNormal, 1, 1))
		other := s.addMachineLocked(fleet.NewMachine("m2"), time.Now())
		s.placeLocked(s.newAttempt(queued, 0), other, time.Now())
		found := fleet.Key{Task: "wk-000001/0", Attempt: 1}
		s.applyHeartbeatLocked(m, &wire.Heartbeat{Machine: "m1", Address: "m1", Type: "m", Zone: "z", Incarnation: 1, Seq: 2, FencingToken: 5,
			Tasks: []wire.TaskStatus{{Task: found.Task, Attempt: found.Attempt, State: wire.TaskRunning}}})
		if got := s.opts.Violations.Count(); got != 1 {
			t.Errorf("got %d violations, want 1", got)
		}
		if a := m.Attempts.Get(found); a == nil || !a.Stop {
			t.Errorf("got attempt %+v, want it stopped", a)
		}
	})
}
