package scheduler

import (
	"testing"
	"testing/synctest"

	"google.golang.org/protobuf/proto"

	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/fleet"
	"heronwick/wire"
)

// A host that has rejoined does not know the attempts that it hosted under its former
// membership. If it answered a settle request for that membership, it would deny running
// attempts, and their tasks would run twice.
func TestSettleRejectsOtherMemberships(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := newTestScheduler(t)
		at := []*peerpb.Attempt{{Task: "wk-1/0", Attempt: 7}}
		if s.Settle(&peerpb.SettleRequest{Node: "peer", Token: 5, Since: 2, Attempts: at}).Ready {
			t.Error("settle request for an earlier membership: got ready, want not ready")
		}
		if s.Settle(&peerpb.SettleRequest{Node: "peer", Token: 6, Since: 3, Attempts: at}).Ready {
			t.Error("settle request from an unknown epoch: got ready, want not ready")
		}
		if !s.Settle(&peerpb.SettleRequest{Node: "peer", Token: 5, Since: 3, Attempts: at}).Ready {
			t.Error("settle request for the current membership: got not ready, want ready")
		}
	})
}

// An attempt whose placement request is still in flight is not settled: the host would
// deny it, and refuse it when the request arrives.
func TestPendingPlaceRequestsAreNotSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, _ := newTestScheduler(t)
		queued := s.addJobLocked(p.add("wk-1", "ours", wire.PriorityNormal, 1, 2))
		a := s.newAttempt(queued, 0)
		s.trackRemoteLocked(a, "peer", "")
		s.remoteAttempts.Get(a.Key).RequestInFlight = true
		if n := len(s.settleRequestsLocked()); n != 0 {
			t.Errorf("got %d settle requests for a placement request in flight, want none", n)
		}
		s.remoteAttempts.Get(a.Key).RequestInFlight = false
		if parts := s.settleRequestsLocked()["peer"]; len(parts) != 1 || parts[0].Since != 4 {
			t.Errorf("got settle requests %v, want one for the membership of peer", parts)
		}
	})
}

// If one scheduler owns most machines of a large fleet, it hosts tens of thousands of
// tasks for another. They are settled in messages that gRPC accepts: a larger one would
// fail every time, and the end of the hosted tasks would never become known.
func TestManyRemoteTasksAreSettledInParts(t *testing.T) {
	const maxMessageBytes = 4 << 20 // gRPC default
	synctest.Test(t, func(t *testing.T) {
		s, p, _ := newTestScheduler(t)
		const tasks = 100_000
		queued := s.addJobLocked(p.add("wk-with-a-name-of-usual-length", "ours", wire.PriorityNormal, tasks, 2))
		for range tasks {
			index, _ := queued.NextTask()
			queued.Dequeue()
			s.trackRemoteLocked(s.newAttempt(queued, index), "peer", "")
		}
		settled := map[fleet.Key]bool{}
		for _, req := range s.settleRequestsLocked()["peer"] {
			reply := &peerpb.SettleReply{Ready: true}
			for _, at := range req.Attempts {
				settled[fleet.Key{Task: at.Task, Attempt: at.Attempt}] = true
				reply.Hosted = append(reply.Hosted, &peerpb.Hosted{Attempt: at, Known: true, Zone: "a-zone-with-a-long-name",
					State: string(wire.TaskExited), Why: string(wire.ExitDone)})
			}
			if size := max(proto.Size(req), proto.Size(reply)); size > maxMessageBytes/2 {
				t.Errorf("message of %d bytes is too large", size)
			}
		}
		if len(settled) != tasks {
			t.Errorf("got %d tasks settled, want %d", len(settled), tasks)
		}
	})
}
