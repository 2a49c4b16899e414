package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"heronwick/internal/cluster"
	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/fleet"
	"heronwick/internal/quota"
	"heronwick/wire"
)

// An attempt that the host has denied when it was settled is never hosted, even if the
// placement request for it arrives later.
func TestDeniedAttemptIsNeverHosted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, m := newTestScheduler(t)
		p.add("wk-1", "theirs", wire.PriorityNormal, 2, 2)
		m.Add(&fleet.Attempt{Key: fleet.Key{Task: "wk-9/0", Attempt: 1}, SizeKnown: true}, time.Now()) // not idle, so not handed over
		s.packer.Open.Append(m.packing)
		s.Settle(&peerpb.SettleRequest{Node: "peer", Token: 5, Since: 3, Attempts: []*peerpb.Attempt{{Task: "wk-1/0", Attempt: 7}}})
		reply := s.Place(placeRequestFor("wk-1", 7, 8))
		if len(reply.Taken) != 1 || reply.Taken[0].Attempt.Attempt != 8 {
			t.Errorf("got attempts %v hosted, want only attempt 8", reply.Taken)
		}
	})
}

// A hosted attempt never starts if it was not recorded under the shard assignment under
// which its owner requested it: a new owner of its job has read the records without it.
func TestStaleHostedAttemptIsNotRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, m := newTestScheduler(t)
		p.add("wk-1", "theirs", wire.PriorityNormal, 1, 2)
		m.Add(&fleet.Attempt{Key: fleet.Key{Task: "wk-9/0", Attempt: 1}, SizeKnown: true, Recorded: true}, time.Now())
		s.packer.Open.Append(m.packing)
		if len(s.Place(placeRequestFor("wk-1", 7)).Taken) != 1 {
			t.Fatal("attempt refused, want it hosted")
		}
		p.beginAssignment(func(e *cluster.Epoch) { e.Teams = map[string]string{"ours": "me", "theirs": "me"} })
		s.setEpochLocked(p.View())
		s.recordPlacementsLocked()
		if m.Attempts.Get(fleet.Key{Task: "wk-1/0", Attempt: 7}) != nil {
			t.Error("hosted attempt from the previous shard assignment is still going to be recorded")
		}
	})
}

// Room that preemption has made for a hosted job is not given to the host's own jobs
// before the owner of the hosted job requests it again.
func TestPreemptedRoomIsReservedForHostedJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, m := newTestScheduler(t)
		low := s.addJobLocked(p.add("wk-1", "ours", wire.PriorityLow, 8, 4))
		s.scheduleLocked(time.Now())
		if m.ActiveCount() != 2 {
			t.Fatalf("got %d own tasks placed, want 2", m.ActiveCount())
		}
		p.add("wk-2", "theirs", wire.PriorityProd, 1, 4)
		if reply := s.Place(placeRequestFor("wk-2", 7)); !reply.Making {
			t.Fatalf("got reply %v, want room to be made", reply)
		}
		for _, a := range m.Attempts.All() {
			if a.Stop {
				m.Attempts.Delete(a.Key)
				s.uncountAttemptLocked(a, quota.Exited)
			}
		}
		s.scheduleLocked(time.Now())
		if m.ActiveCount() != 1 {
			t.Errorf("room taken by the host's own queue (%d tasks of %s still wait), want it reserved", low.Pending(), low.Record.Job.ID)
		}
		if reply := s.Place(placeRequestFor("wk-2", 8)); len(reply.Taken) != 1 {
			t.Error("hosted job: refused the room that was made for it")
		}
	})
}

// A hosted job that precedes an own job in the order of the queue gets freed room first,
// although it cannot use the room before its owner sends the next request.
func TestHostedJobsAreServedInQueueOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, m := newTestScheduler(t)
		running := &fleet.Attempt{Key: fleet.Key{Task: "wk-9/0", Attempt: 1}, SizeKnown: true, Recorded: true}
		running.Size.CPUs = 8
		m.Add(running, time.Now())
		s.packer.Open.Append(m.packing)
		p.add("wk-1", "theirs", wire.PriorityNormal, 1, 8)
		if reply := s.Place(placeRequestFor("wk-1", 7)); len(reply.Taken) != 0 {
			t.Fatal("task hosted on a full machine, want it refused")
		}
		big := s.addJobLocked(p.add("wk-2", "ours", wire.PriorityNormal, 5, 8))
		m.Attempts.Delete(running.Key)
		s.scheduleLocked(time.Now())
		if m.ActiveCount() != 0 {
			t.Errorf("room taken by %s, which has more work left, want it reserved for the hosted job", big.Record.Job.ID)
		}
		if reply := s.Place(placeRequestFor("wk-1", 8)); len(reply.Taken)+int(reply.Given) == 0 {
			t.Error("hosted job: refused the room that was reserved for it")
		}
	})
}

// A replayed placement request is refused, even after its task has ended here and is no
// longer remembered: by then the task may be running elsewhere.
func TestReplayedPlaceRequestIsRefused(t *testing.T) {
	s, p, m := newTestScheduler(t)
	p.add("wk-1", "theirs", wire.PriorityNormal, 3, 2)
	req := &peerpb.PlaceRequest{Node: "peer", Token: 5, Wanted: []*peerpb.Wanted{{Job: "wk-1", Pending: 3,
		Attempts: []*peerpb.Attempt{{Task: "wk-1/0", Attempt: 7}}}}}
	place := func() int { reply := s.Place(req); return len(reply.Taken) + int(reply.Given) }
	s.packer.Open.MoveToFront(m.packing)
	m.Add(&fleet.Attempt{Key: fleet.Key{Task: "wk-2/0", Attempt: 1}, SizeKnown: true}, time.Now()) // not idle
	if n := place(); n != 1 {
		t.Fatalf("first request: got %d tasks hosted, want 1", n)
	}
	m.Attempts.Delete(fleet.Key{Task: "wk-1/0", Attempt: 7}) // ended, settled and forgotten
	if n := place(); n != 0 {
		t.Error("replayed request: got a task hosted, want none")
	}
	req.Wanted[0].Attempts[0].Attempt = 8
	if n := place(); n != 1 {
		t.Errorf("newer request: got %d tasks hosted, want 1", n)
	}
	// A refused request is placed elsewhere, so a replay of it must be refused as well.
	req.Wanted[0].Attempts[0].Attempt = 9
	s.loaded = false
	if n := place(); n != 0 {
		t.Fatalf("request before the records are read: got %d tasks hosted, want none", n)
	}
	s.loaded = true
	if n := place(); n != 0 {
		t.Error("replay of a refused request: got a task hosted, want none")
	}
}
