package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"heronwick/wire"
)

// On a slow link, answers to probes overtake a worker's heartbeats. The late
// heartbeats must still count as received: when they did not, the worker's replicas
// were moved repeatedly. A duplicate of an earlier heartbeat does not count.
func TestLateHeartbeatsCountAsReceived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, m := newTestScheduler(t)
		heartbeat := func(seq uint64) *wire.Heartbeat {
			return &wire.Heartbeat{Machine: "m1", Address: "m1", Type: "m", Zone: "z", Incarnation: 1, Seq: seq, FencingToken: 5}
		}
		answer := func(seq uint64) { // answers a probe
			s.mu.Lock()
			defer s.mu.Unlock()
			s.applyResponseLocked(m, heartbeat(seq), m.Position())
		}
		for seq := uint64(2); seq < 20; seq += 2 {
			time.Sleep(2 * time.Second)
			answer(seq + 1)
			s.HandleHeartbeat(heartbeat(seq))
			synctest.Wait()
			if s.detector.HeartbeatsMissing(&m.Worker, time.Now()) || time.Since(m.LastUnsolicited) > 0 {
				t.Fatalf("late heartbeat %d: ignored, want it counted as received", seq)
			}
		}
		for range 5 {
			time.Sleep(2 * time.Second)
			synctest.Wait()
			answer(m.Seq + 1)
			s.HandleHeartbeat(heartbeat(4))
		}
		synctest.Wait()
		if !s.detector.HeartbeatsMissing(&m.Worker, time.Now()) {
			t.Error("worker with replayed heartbeats only: they count as received, want heartbeats missing")
		}
	})
}

// A lease counts as expired only once it is certain that no other controller answers
// the worker.
func TestLeaseExpiryWaitsForTheFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, m := newTestScheduler(t)
		if _, ok := s.leaseExpiryLocked(m); ok {
			t.Error("got a lease expiry without proof about the other controllers, want none")
		}
		p.fencedSince = time.Now().Add(2 * time.Second)
		if at, ok := s.leaseExpiryLocked(m); !ok || at.Before(p.fencedSince.Add(10*time.Second)) {
			t.Errorf("got lease expiry %v, want at least one lease duration after the fence", at)
		}
	})
}

// A lease lasts from the last answered heartbeat or from the start of the
// incarnation. A worker that reaches no controller starts new incarnations by itself,
// and a task that it starts on a direct command runs for a full lease from then on.
// When this was not considered, tasks ran twice (rule ran_twice).
func TestLeaseOfAnUnansweredIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, m := newTestScheduler(t)
		m.fenceToken, m.LastReply = 0, time.Now()
		time.Sleep(10 * time.Second)
		s.applyHeartbeatLocked(m, &wire.Heartbeat{Machine: "m1", Address: "m1", Type: "m", Zone: "z", Incarnation: 2, Seq: 9, FencingToken: 5})
		if at, ok := s.leaseExpiryLocked(m); !ok || at.Before(time.Now().Add(s.opts.Settings.LeaseDuration)) {
			t.Errorf("lease that began now: expires in %v, want at least the lease duration", time.Until(at))
		}
	})
}

// A restarted machine has a new lease from the restart on, even if no controller has
// answered it: a late command to its former incarnation may have started a task in
// the new one. Such a task was placed again too soon while the cloud did not take the
// machine back (rule ran_twice).
func TestLeaseAfterMachineRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, m := newTestScheduler(t)
		m.Seq, m.fenceToken, m.LastReply = 50, 0, time.Now()
		m.returning = true // the cloud is unavailable, so the machine is not taken back
		time.Sleep(5 * time.Second)
		p.probeReply = &wire.Heartbeat{Machine: "m1", Address: "m1", Type: "m", Zone: "z", Incarnation: 1, Seq: 1}
		s.mu.Lock()
		s.probeLocked(m, time.Now())
		s.mu.Unlock()
		synctest.Wait()
		if at, ok := s.leaseExpiryLocked(m); !ok || at.Before(time.Now().Add(s.opts.Settings.LeaseDuration)) {
			t.Errorf("lease that may have begun now: expires in %v, want at least the lease duration", time.Until(at))
		}
	})
}
