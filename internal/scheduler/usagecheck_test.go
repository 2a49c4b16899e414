package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/config"
	"heronwick/internal/fleet"
	"heronwick/internal/quota"
	"heronwick/wire"
)

// newLimitedScheduler is newTestScheduler with limits of 4 CPUs for the teams "ours" and
// "theirs". Violations are counted.
func newLimitedScheduler(t *testing.T) (*Scheduler, *fakeEnvironment, *machine) {
	t.Helper()
	s, p, m := newTestScheduler(t)
	s.opts.Violations = &Violations{}
	s.teams.Ledger = quota.NewLedger([]config.Team{{Name: "ours", CPUsMax: 4}, {Name: "theirs", CPUsMax: 4}}, s.log)
	s.teams.SetBasis(quota.Basis{Token: 5, Assignment: 5, Revision: 1})
	return s, p, m
}

// reportRunning applies a heartbeat of machine m1 that shows a task as running.
func reportRunning(s *Scheduler, m *machine, key fleet.Key) {
	s.applyHeartbeatLocked(m, &wire.Heartbeat{Machine: "m1", Address: "m1", Type: "m", Zone: "z", Incarnation: 1, Seq: m.Seq + 1, FencingToken: 5,
		Tasks: []wire.TaskStatus{{Task: key.Task, Attempt: key.Attempt, State: wire.TaskRunning}}})
}

// Guards against usage that lacks a running task without anybody noticing: the next check counts
// it, and the team gets no start until a check finds nothing.
func TestRunningTaskThatIsNotCountedViolatesInvariant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, m := newLimitedScheduler(t)
		s.mu.Lock()
		defer s.mu.Unlock()
		queued := s.addJobLocked(p.add("wk-000001", "ours", wire.PriorityNormal, 2, 2))
		a := s.newAttempt(queued, 0)
		s.placeLocked(a, m, time.Now())
		reportRunning(s, m, a.Key)
		s.checkUsageLocked()
		if got := s.opts.Violations.Count(); got != 0 {
			t.Fatalf("got %d violations while the task is counted, want none", got)
		}
		s.teams.Release(a.Key, a.Team, quota.NeverSent) // the planted fault
		s.checkUsageLocked()
		if got := s.opts.Violations.Count(); got != 1 || s.teams.MayStart(queued, 1) || !s.teams.Holds(a.Key, "ours") {
			t.Errorf("got %d violations, a start allowed %v, the task counted %v; want 1, false, true", got, s.teams.MayStart(queued, 1), s.teams.Holds(a.Key, "ours"))
		}
		s.checkUsageLocked()
		if got := s.opts.Violations.Count(); got != 1 || !s.teams.MayStart(queued, 1) {
			t.Errorf("got %d violations, a start allowed %v after the task is counted again; want 1, true", got, s.teams.MayStart(queued, 1))
		}
	})
}

// Guards against a start that goes out without being counted in its team's usage.
func TestStartThatIsNotCountedIsWithheld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, m := newLimitedScheduler(t)
		s.mu.Lock()
		defer s.mu.Unlock()
		queued := s.addJobLocked(p.add("wk-000001", "ours", wire.PriorityNormal, 2, 2))
		var placed []*fleet.Attempt
		for index := range 2 {
			a := s.newAttempt(queued, index)
			s.placeLocked(a, m, time.Now())
			a.Recorded = true
			placed = append(placed, a)
		}
		s.teams.Release(placed[1].Key, "ours", quota.NeverSent) // the planted fault
		heartbeat := &wire.Heartbeat{Machine: "m1", Address: "m1", Type: "m", Zone: "z", Incarnation: 1, Seq: 2, FencingToken: 5}
		s.applyHeartbeatLocked(m, heartbeat)
		reply := s.replyLocked(m, heartbeat, true, newReply(5))
		if len(reply.Commands) != 1 || reply.Commands[0].Task != placed[0].Task || s.opts.Violations.Count() != 1 {
			t.Errorf("got commands %v and %d violations, want the start of %s only and 1", reply.Commands, s.opts.Violations.Count(), placed[0].Task)
		}
	})
}

// Guards against a team's owner that does not count a task on another controller's machine: the
// host notices that the owner settles its other attempts only, and hosts no more of the team.
func TestHostedTaskThatItsOwnerDoesNotTrackViolatesInvariant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, m := newLimitedScheduler(t)
		p.add("wk-000001", "theirs", wire.PriorityNormal, 4, 1)
		m.Add(&fleet.Attempt{Key: fleet.Key{Task: "wk-9/0", Attempt: 1}, SizeKnown: true}, time.Now()) // not idle, so not handed over
		if reply := s.Place(placeRequestFor("wk-000001", 7, 8)); len(reply.Taken) != 2 {
			t.Fatalf("got %d attempts hosted, want 2", len(reply.Taken))
		}
		for _, key := range []fleet.Key{{Task: "wk-000001/0", Attempt: 7}, {Task: "wk-000001/1", Attempt: 8}} {
			m.Attempts.Get(key).State = wire.TaskRunning
		}
		settleFor := func(duration time.Duration, attempts ...*peerpb.Attempt) {
			for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(settleInterval) {
				s.Settle(&peerpb.SettleRequest{Node: "peer", Token: 5, Since: 3, Attempts: attempts})
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.checkUsageLocked()
		}
		first, second := &peerpb.Attempt{Task: "wk-000001/0", Attempt: 7}, &peerpb.Attempt{Task: "wk-000001/1", Attempt: 8}
		settleFor(4*untrackedAfter, first, second)
		if got := s.opts.Violations.Count(); got != 0 {
			t.Fatalf("got %d violations while the owner tracks both attempts, want none", got)
		}
		settleFor(2*untrackedAfter, first) // the planted fault
		if got := s.opts.Violations.Count(); got != 1 {
			t.Errorf("got %d violations, want 1", got)
		}
		req := placeRequestFor("wk-000001", 9)
		if reply := s.Place(req); len(reply.Taken)+int(reply.Given) != 0 {
			t.Errorf("got reply %v, want no more tasks of the team hosted", reply)
		}
	})
}

// Guards against a false alarm: a late copy of an old heartbeat shows a task that has ended long ago
// on a machine that was adopted and has not been heard from since.
func TestTaskInOldHeartbeatOfAdoptedMachineViolatesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, m := newLimitedScheduler(t)
		p.add("wk-000001", "theirs", wire.PriorityNormal, 1, 1)
		m.syncToken = 9 // the worker has not been heard from under the token of this epoch
		s.mu.Lock()
		reportRunning(s, m, fleet.Key{Task: "wk-000001/0", Attempt: 7})
		s.mu.Unlock()
		for end := time.Now().Add(3 * untrackedAfter); time.Now().Before(end); time.Sleep(settleInterval) {
			s.Settle(&peerpb.SettleRequest{Node: "peer", Token: 5, Since: 3})
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.checkUsageLocked()
		if got := s.opts.Violations.Count(); got != 0 {
			t.Errorf("got %d violations, want none", got)
		}
	})
}
