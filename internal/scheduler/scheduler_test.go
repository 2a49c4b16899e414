package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"heronwick/internal/cluster"
	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/fleet"
	"heronwick/internal/job"
	"heronwick/internal/placement"
	"heronwick/internal/queue"
	"heronwick/internal/recovery"
	"heronwick/wire"
)

// The end of a job is fenced by the epoch under which its scheduler counted its tasks,
// and known to be outdated once that has changed.
func TestJobEndIsFencedByEpoch(t *testing.T) {
	s, p, _ := newTestScheduler(t)
	queued := s.addJobLocked(p.add("job", "ours", wire.PriorityNormal, 1, 1))
	queued.Done.Add(0)
	condition := p.View().Condition
	s.finishLocked(queued)
	if err := s.group.Wait(); err != nil {
		t.Fatal(err)
	}
	if len(p.fences) != 1 || p.fences[0].Condition != condition || !p.fences[0].Current() {
		t.Fatalf("job end: got fences %v, want the current epoch's only", p.fences)
	}
	p.epoch.Token++
	if p.fences[0].Current() {
		t.Error("fence under the next epoch: got it current, want it outdated")
	}
}

// A job that was accepted under the present shard assignment, and that the scheduler finds
// before it is told of it, is queued without reading the records of all machines.
// One that was accepted before it may have been placed, so they are read.
func TestOnlyEarlierJobsNeedRebuild(t *testing.T) {
	s, p, _ := newTestScheduler(t)
	s.mu.Lock() // a rebuild waits for it
	defer s.mu.Unlock()
	accepted := p.add("accepted", "ours", wire.PriorityNormal, 1, 1)
	accepted.Version = p.epoch.Token + 1
	p.listed = []*job.Record{accepted}
	s.followEpochLocked()
	if s.rebuilding || s.jobs["accepted"] == nil {
		t.Errorf("later job: got rebuilding %v and queued %v, want it queued without a rebuild", s.rebuilding, s.jobs["accepted"] != nil)
	}
	earlier := p.add("earlier", "ours", wire.PriorityNormal, 1, 1)
	earlier.Version = p.epoch.Token - 1
	p.listed = append(p.listed, earlier)
	s.followEpochLocked()
	if !s.rebuilding || s.jobs["earlier"] != nil {
		t.Errorf("earlier job: got rebuilding %v and queued %v, want a rebuild first", s.rebuilding, s.jobs["earlier"] != nil)
	}
}

// On a slow link the answers to probes overtake a worker's heartbeats. The worker counts
// as heard all the same, or its replicas were moved again and again; a copy of a heartbeat
// that has come before says nothing.
func TestOvertakenHeartbeatsAreHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, m := newTestScheduler(t)
		heartbeat := func(seq uint64) *wire.Heartbeat {
			return &wire.Heartbeat{Machine: "m1", Address: "m1", Type: "m", Zone: "z", Incarnation: 1, Seq: seq, FencingToken: 5}
		}
		answer := func(seq uint64) { // to a probe
			s.mu.Lock()
			defer s.mu.Unlock()
			s.applyLocked(m, heartbeat(seq))
		}
		for seq := uint64(2); seq < 20; seq += 2 {
			time.Sleep(2 * time.Second)
			answer(seq + 1)
			s.HandleHeartbeat(heartbeat(seq))
			synctest.Wait()
			if s.detector.HeartbeatsMissing(&m.Worker, time.Now()) || time.Since(m.LastUnsolicited) > 0 {
				t.Fatalf("heartbeat %d was not heard", seq)
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
			t.Error("worker with replayed heartbeats only: got it counted as reporting, want it not")
		}
	})
}

// A host that has rejoined knows nothing of the attempts that it hosted under its former
// membership: if it answered for that, tasks would run twice.
func TestSettleRejectsOtherMemberships(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := newTestScheduler(t)
		at := []*peerpb.Attempt{{Task: "wk-1/0", Attempt: 7}}
		if s.Settle(&peerpb.SettleRequest{Node: "peer", Token: 5, Since: 2, Attempts: at}).Ready {
			t.Error("settle for an earlier membership: got ready, want not ready")
		}
		if s.Settle(&peerpb.SettleRequest{Node: "peer", Token: 6, Since: 3, Attempts: at}).Ready {
			t.Error("settle for an unknown epoch: got ready, want not ready")
		}
		if !s.Settle(&peerpb.SettleRequest{Node: "peer", Token: 5, Since: 3, Attempts: at}).Ready {
			t.Error("settle for the present membership: got not ready, want ready")
		}
	})
}

// An attempt that the host has denied is never hosted, even if its request arrives later.
func TestDeniedAttemptIsNeverHosted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, m := newTestScheduler(t)
		p.add("wk-1", "theirs", wire.PriorityNormal, 2, 2)
		m.Add(&fleet.Attempt{Key: fleet.Key{Task: "wk-9/0", Attempt: 1}, Sized: true}, time.Now()) // busy, so not given away
		s.packer.Open.Append(m.packing)
		s.Settle(&peerpb.SettleRequest{Node: "peer", Token: 5, Since: 3, Attempts: []*peerpb.Attempt{{Task: "wk-1/0", Attempt: 7}}})
		reply := s.Place(wanted("wk-1", 7, 8))
		if len(reply.Taken) != 1 || reply.Taken[0].Attempt.Attempt != 8 {
			t.Errorf("got attempts %v hosted, want only attempt 8", reply.Taken)
		}
	})
}

// Settling an attempt whose place request is still under way would bar it.
func TestPendingPlaceRequestsAreNotSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, _ := newTestScheduler(t)
		queued := s.addJobLocked(p.add("wk-1", "ours", wire.PriorityNormal, 1, 2))
		a := s.newAttempt(queued, 0)
		s.trackRemoteLocked(a, "peer", "")
		s.remoteAttempts.Get(a.Key).Requested = true
		if n := len(s.settleRequestsLocked()); n != 0 {
			t.Errorf("got %d settle requests for a pending place request, want none", n)
		}
		s.remoteAttempts.Get(a.Key).Requested = false
		if parts := s.settleRequestsLocked()["peer"]; len(parts) != 1 || parts[0].Since != 4 {
			t.Errorf("got settle requests %v, want one for the membership of peer", parts)
		}
	})
}

// A hosted attempt that was not recorded under the shard assignment in which its owner asked
// never starts: a new owner has read the records without it.
func TestStaleHostedAttemptIsNotRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, m := newTestScheduler(t)
		p.add("wk-1", "theirs", wire.PriorityNormal, 1, 2)
		m.Add(&fleet.Attempt{Key: fleet.Key{Task: "wk-9/0", Attempt: 1}, Sized: true, Durable: true}, time.Now())
		s.packer.Open.Append(m.packing)
		if len(s.Place(wanted("wk-1", 7)).Taken) != 1 {
			t.Fatal("got the attempt refused, want it hosted")
		}
		p.epoch.Token, p.epoch.Teams = 6, map[string]string{"ours": "me", "theirs": "me"}
		view := p.View()
		s.takeEpochLocked(view)
		s.recordPlacementsLocked()
		if m.Attempts.Get(fleet.Key{Task: "wk-1/0", Attempt: 7}) != nil {
			t.Error("a hosted attempt of the shard assignment before is still to be recorded")
		}
	})
}

// Room that was made for a hosted job is not given to the host's own queue before
// its owner asks again.
func TestRoomMadeForHostedJobIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, m := newTestScheduler(t)
		low := s.addJobLocked(p.add("wk-1", "ours", wire.PriorityLow, 8, 4))
		s.scheduleLocked(time.Now())
		if m.ActiveCount() != 2 {
			t.Fatalf("got %d own tasks placed, want 2", m.ActiveCount())
		}
		p.add("wk-2", "theirs", wire.PriorityProd, 1, 4)
		if reply := s.Place(wanted("wk-2", 7)); !reply.Making {
			t.Fatalf("got reply %v, want room to be made", reply)
		}
		for _, a := range m.Attempts.All() {
			if a.Stop {
				m.Attempts.Delete(a.Key)
				s.uncountAttemptLocked(a)
			}
		}
		s.scheduleLocked(time.Now())
		if m.ActiveCount() != 1 {
			t.Errorf("got the room taken by the host's queue with %d tasks of %s waiting, want it kept", low.Pending(), low.Record.Job.ID)
		}
		if reply := s.Place(wanted("wk-2", 8)); len(reply.Taken) != 1 {
			t.Error("the hosted job does not get the room made for it")
		}
	})
}

// A lease counts as expired only from when surely nobody else answers.
func TestLeaseExpiryWaitsForTheFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, m := newTestScheduler(t)
		if _, ok := s.leaseExpiryLocked(m); ok {
			t.Error("got a lease expiry without proof about the other controllers, want none")
		}
		p.fenced = time.Now().Add(2 * time.Second)
		if at, ok := s.leaseExpiryLocked(m); !ok || at.Before(p.fenced.Add(10*time.Second)) {
			t.Errorf("expiry at %v, less than a lease after the fence", at)
		}
	})
}

// A lasting overload of small jobs does not keep the largest from starting:
// within four minutes it runs, and the small ones go on after that.
func TestLargestJobStartsUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, m := newTestScheduler(t)
		large := s.addJobLocked(p.add("wk-1", "ours", wire.PriorityNormal, 300, 8))
		large.EligibleAt = time.Now()
		began := time.Now()
		for i := 2; large.LiveTasks() == 0; i++ {
			if time.Since(began) > queue.MaxStartDelay {
				t.Fatal("largest job: got no start in time, want one")
			}
			small := s.addJobLocked(p.add(fmt.Sprint("wk-", i), "ours", wire.PriorityNormal, 1, 8))
			small.EligibleAt = time.Now()
			time.Sleep(time.Second)
			m.LastHeartbeat, m.LastUnsolicited = time.Now(), time.Now()
			s.scheduleLocked(time.Now())
			if large.LiveTasks() == 0 {
				for _, a := range m.Attempts.All() {
					m.Attempts.Delete(a.Key)
					s.jobs[a.Job].Done.Add(a.Index)
					s.releaseAttemptLocked(a)
					delete(s.jobs, a.Job)
				}
			}
		}
		if took := time.Since(began); took < queue.MaxStartDelay/4 {
			t.Errorf("largest job: got a start after %v, want the small jobs first for longer", took)
		}
	})
}

// A hosted job that comes before an own job in the order gets freed room first,
// though it is not there to take it at once.
func TestHostedJobsTakeTheirTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, m := newTestScheduler(t)
		running := &fleet.Attempt{Key: fleet.Key{Task: "wk-9/0", Attempt: 1}, Sized: true, Durable: true}
		running.Size.CPUs = 8
		m.Add(running, time.Now())
		s.packer.Open.Append(m.packing)
		p.add("wk-1", "theirs", wire.PriorityNormal, 1, 8)
		if reply := s.Place(wanted("wk-1", 7)); len(reply.Taken) != 0 {
			t.Fatal("got a task hosted on a full machine, want it refused")
		}
		big := s.addJobLocked(p.add("wk-2", "ours", wire.PriorityNormal, 5, 8))
		m.Attempts.Delete(running.Key)
		s.scheduleLocked(time.Now())
		if m.ActiveCount() != 0 {
			t.Errorf("got the room taken by %s, which has more work left, want it kept for the hosted task", big.Record.Job.ID)
		}
		if reply := s.Place(wanted("wk-1", 8)); len(reply.Taken)+int(reply.Given) == 0 {
			t.Error("the hosted job does not get its turn")
		}
	})
}

// A gang is placed as a whole under one attempt number, or not at all.
func TestGangIsPlacedAtomically(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, m := newTestScheduler(t)
		r := p.add("wk-1", "ours", wire.PriorityNormal, 3, 3)
		r.Job.Kind = wire.KindGang
		gang := s.addJobLocked(r)
		for len(s.wake) > 0 {
			<-s.wake
		}
		s.scheduleLocked(time.Now())
		if m.ActiveCount() != 0 || gang.Pending() != 3 || gang.UnplacedSince.IsZero() {
			t.Errorf("got %d of 3 gang tasks placed where 2 fit, want none", m.ActiveCount())
		}
		// Trying in vain must neither write a record nor set off the next try.
		if m.record.Dirty || len(s.wake) > 0 {
			t.Errorf("waiting gang: got record to be written %v and woken at once %v, want neither", m.record.Dirty, len(s.wake) > 0)
		}
		delete(s.jobs, "wk-1")
		r = p.add("wk-2", "ours", wire.PriorityNormal, 2, 3)
		r.Job.Kind = wire.KindGang
		s.addJobLocked(r)
		s.scheduleLocked(time.Now())
		numbers := map[uint64]bool{}
		for _, a := range m.Attempts.All() {
			numbers[a.Attempt] = true
		}
		if m.ActiveCount() != 2 || len(numbers) != 1 {
			t.Errorf("got %d tasks placed under %d attempt numbers, want 2 under one", m.ActiveCount(), len(numbers))
		}
	})
}

// A machine whose record is on two buckets, as after it has changed hands, keeps
// the newer one until its own bucket holds it: whatever is written first, the
// store always names what may be on the machine.
func TestRecordSurvivesMoveToAnotherBucket(t *testing.T) {
	for _, current := range []string{"machines/old/1/1", "machines/old/1/2"} {
		synctest.Test(t, func(t *testing.T) {
			s, p, _ := newTestScheduler(t)
			p.add("wk-1", "ours", wire.PriorityNormal, 1, 1)
			s.addJobLocked(p.active["wk-1"])
			stored := map[string]fleet.RecordBucket{}
			r := recovery.Records{}
			for _, key := range []string{"machines/old/1/1", "machines/old/1/2"} {
				bucket := fleet.RecordBucket{Machines: map[string]fleet.Record{"m2": {Address: "m2", Type: "m", Zone: "z", Incarnation: 1}}}
				if key == current {
					bucket.Machines["m2"] = fleet.Record{Address: "m2", Type: "m", Zone: "z", Incarnation: 1, Attempts: map[string]uint64{"wk-1/0": 9}}
				}
				stored[key] = bucket
				r.Buckets = append(r.Buckets, recovery.Bucket{RecordBucket: bucket, Key: key, Version: 3, Size: 100})
			}
			s.mu.Lock() // the worker is asked meanwhile
			s.placeRecordsLocked(r, nil, map[string]bool{"wk-1": true}, time.Now())
			s.mu.Unlock()
			for range 3 {
				s.mu.Lock()
				s.tidyRecordsLocked(time.Now())
				s.recordPlacementsLocked()
				s.mu.Unlock()
				synctest.Wait()
				for _, w := range p.writes {
					for _, change := range w.Then {
						delete(stored, change.Delete)
						if change.Put != "" {
							bucket, err := fleet.ReadBucket(change.Put, change.Value)
							if err != nil {
								t.Fatal(err)
							}
							stored[change.Put] = bucket
						}
					}
					found := false
					for _, bucket := range stored {
						found = found || bucket.Machines["m2"].Attempts["wk-1/0"] == 9
					}
					if !found {
						t.Fatalf("current in bucket %s: got no record of what may be on the machine, want one", current)
					}
				}
				p.writes = nil
			}
			if len(stored) != 1 {
				t.Errorf("current in bucket %s: got %d buckets that name the machine in the end, want 1", current, len(stored))
			}
		})
	}
}

// Among jobs of about the same place in the queue, freed room goes first to one whose
// image is cached there; one that passes it up gets the next in time, and nothing stays free.
func TestFreedRoomPrefersCachedImage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, m := newTestScheduler(t)
		m.Type.FetchGBPerS = 1
		m.CachedImages["here"] = fleet.CachedImage{GB: 1}
		add := func(id, image string, tasks int) *queue.Job {
			r := p.add(id, "ours", wire.PriorityNormal, tasks, 8)
			r.Job.Image, r.Job.ImageGB = image, 3
			return s.addJobLocked(r)
		}
		small, big := add("wk-1", "elsewhere", 1), add("wk-2", "here", 9)
		free := func() {
			for _, a := range m.Attempts.All() {
				m.Attempts.Delete(a.Key)
				s.releaseAttemptLocked(a)
			}
			m.LastHeartbeat = time.Now()
		}
		s.scheduleLocked(time.Now())
		if big.LiveTasks() != 1 || small.LiveTasks() != 0 {
			t.Errorf("got the room taken by a job that must fetch its image, want the one whose image is cached")
		}
		time.Sleep(4 * time.Second) // longer than the fetch
		free()
		s.scheduleLocked(time.Now())
		if small.LiveTasks() != 1 {
			t.Error("got the job still waiting after the time of a fetch, want it placed")
		}
		free()
		delete(s.jobs, "wk-2")
		small.DeferredSince = time.Time{}
		s.scheduleLocked(time.Now())
		if small.LiveTasks() != 1 {
			t.Error("got free room that nobody else wants, want the job placed")
		}
	})
}

// One controller rents for all: what waits in other schedulers counts in full, not
// only the few tasks of it that it is just asked to place, and the reserve is
// filled at once. Machines came two a second before, while thousands of tasks
// waited.
func TestRentsForAllQueuedTasks(t *testing.T) {
	s, p := newLargeScheduler(40)
	for _, m := range s.machines {
		m.Add(&fleet.Attempt{Key: fleet.Key{Task: m.Name + "/0", Attempt: 1}, Sized: true, Size: placement.Resources{CPUs: 16}}, time.Now())
	}
	for i := range 20 {
		id := fmt.Sprintf("wk-%d", i)
		p.add(id, "theirs", wire.PriorityNormal, 50, 8)
		p.wants = append(p.wants, &peerpb.Want{Job: id, Tasks: 4})
	}
	count := func() (n int) {
		for _, r := range s.rentRequestsLocked(time.Now()) {
			n += r.Count
		}
		return n
	}
	if n := count(); n < 40 {
		t.Errorf("got %d machines rented for 80 tasks that take half of one each, want at least 40", n)
	}
	p.wants = nil
	if n := count(); n != 10 {
		t.Errorf("got %d machines rented as the reserve of 40 full ones, want 10", n)
	}
}

// slowWorkers answers each command after a while. It counts the commands by worker
// and records how many were under way at a time.
type slowWorkers struct {
	scripted
	inFlight, peak int
	commands       map[string]int // by worker
}

func (w *slowWorkers) Command(_ context.Context, address string, _ *wire.CommandRequest) (*wire.Heartbeat, error) {
	w.mu.Lock()
	w.inFlight++
	w.peak = max(w.peak, w.inFlight)
	w.commands[address]++
	w.mu.Unlock()
	time.Sleep(100 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
	return &wire.Heartbeat{Machine: address, Address: address, Type: "m", Zone: "z", Incarnation: 1, Seq: 1, FencingToken: 5}, nil
}

// A takeover of thousands shows the token to some workers at a time, and to
// none that has reported by itself meanwhile: a connection to each at once, with
// theirs, was more than there are sockets.
func TestTakeoverLimitsConcurrentCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := newTestScheduler(t)
		w := &slowWorkers{commands: map[string]int{}}
		s.opts.Workers = w
		s.mu.Lock()
		for i := range 2000 {
			r := fleet.Record{Address: fmt.Sprint("n", i), Type: "m", Zone: "z", Incarnation: 1}
			s.adoptMachineLocked(fleet.FromRecord(r.Address, r, 5, time.Now()), nil, nil, time.Now())
		}
		s.applyLocked(s.machines["n1999"], &wire.Heartbeat{Machine: "n1999", Address: "n1999", Type: "m", Zone: "z", Incarnation: 1, Seq: 9, FencingToken: 5})
		s.mu.Unlock()
		time.Sleep(5 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		if w.peak > maxTokenRequests {
			t.Errorf("got %d commands under way at a time, want at most the limit", w.peak)
		}
		for name, m := range s.machines {
			if !s.synced(m) || w.commands[name] > 1 {
				t.Fatalf("%s: got synced %v after %d commands, want it synced after one at most", name, s.synced(m), w.commands[name])
			}
		}
		if w.commands["n1999"] > 0 {
			t.Error("got a command to a worker that had reported, want none")
		}
	})
}

// A replayed place request is refused, also once what it asked for has
// ended here and nothing remembers it: the task may be elsewhere by then.
func TestReplayedPlaceRequestIsRefused(t *testing.T) {
	s, p, m := newTestScheduler(t)
	p.add("wk-1", "theirs", wire.PriorityNormal, 3, 2)
	req := &peerpb.PlaceRequest{Node: "peer", Token: 5, Wanted: []*peerpb.Wanted{{Job: "wk-1", Pending: 3,
		Attempts: []*peerpb.Attempt{{Task: "wk-1/0", Attempt: 7}}}}}
	ask := func() int { reply := s.Place(req); return len(reply.Taken) + int(reply.Given) }
	s.packer.Open.MoveToFront(m.packing)
	m.Add(&fleet.Attempt{Key: fleet.Key{Task: "wk-2/0", Attempt: 1}, Sized: true}, time.Now()) // not idle
	if n := ask(); n != 1 {
		t.Fatalf("got %d tasks hosted at first, want 1", n)
	}
	m.Attempts.Delete(fleet.Key{Task: "wk-1/0", Attempt: 7}) // ended, settled and forgotten
	if n := ask(); n != 0 {
		t.Error("replayed request: got a task hosted, want none")
	}
	req.Wanted[0].Attempts[0].Attempt = 8
	if n := ask(); n != 1 {
		t.Errorf("newer request: got %d tasks hosted, want 1", n)
	}
	// Refused, so its tasks are placed elsewhere: a copy is refused as well.
	req.Wanted[0].Attempts[0].Attempt = 9
	s.loaded = false
	if n := ask(); n != 0 {
		t.Fatalf("got %d tasks hosted before the records were read, want none", n)
	}
	s.loaded = true
	if n := ask(); n != 0 {
		t.Error("replay of a refused request: got a task hosted, want none")
	}
}

// A lease lasts from the last answered heartbeat or from when its incarnation began: a
// worker that reaches nobody starts incarnations by itself, and what it was commanded
// directly since runs for a lease from then (ran_twice).
func TestLeaseOfAnUnansweredIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, m := newTestScheduler(t)
		m.fenceToken, m.LastReply = 0, time.Now()
		time.Sleep(10 * time.Second)
		s.applyLocked(m, &wire.Heartbeat{Machine: "m1", Address: "m1", Type: "m", Zone: "z", Incarnation: 2, Seq: 9, FencingToken: 5})
		if at, ok := s.leaseExpiryLocked(m); !ok || at.Before(time.Now().Add(s.opts.Settings.LeaseDuration)) {
			t.Errorf("a lease that began now counts as expired in %v", time.Until(at))
		}
	})
}

// A machine that has started anew has a lease from then on, though nobody answered
// it: a late command to its former incarnation may have started a task in this one, which
// was placed again too soon while the cloud did not take the machine back (ran_twice).
func TestLeaseAfterMachineRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, m := newTestScheduler(t)
		m.Seq, m.fenceToken, m.LastReply = 50, 0, time.Now()
		m.returning = true // the cloud is away
		time.Sleep(5 * time.Second)
		p.status = &wire.Heartbeat{Machine: "m1", Address: "m1", Type: "m", Zone: "z", Incarnation: 1, Seq: 1}
		s.mu.Lock()
		s.probeLocked(m, time.Now())
		s.mu.Unlock()
		synctest.Wait()
		if at, ok := s.leaseExpiryLocked(m); !ok || at.Before(time.Now().Add(s.opts.Settings.LeaseDuration)) {
			t.Errorf("a lease that may have begun now counts as expired in %v", time.Until(at))
		}
	})
}

// What may still run of a cancelled job counts for whoever owns its team next,
// though nobody gains the job (quota: a team at its limit, machines that cannot
// be asked, a cancellation, and a change of leader).
func TestTasksOfEndedJobsCountForNextOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, m := newTestScheduler(t)
		for i, id := range []string{"wk-000001", "wk-000002"} { // one is over, the other active and another's
			a := &fleet.Attempt{Key: fleet.Key{Task: id + "/0", Attempt: uint64(7 + i)}, Job: id, Team: "theirs", Sized: true,
				Size: placement.Resources{CPUs: 2}, Durable: true, Hosted: true, Stop: i == 0}
			m.Add(a, time.Now())
		}
		p.active["wk-000002"] = &job.Record{}
		view := p.View()
		view.Epoch.Token++
		view.Epoch.Teams = map[string]string{"ours": "me", "theirs": "me"}
		p.epoch = view.Epoch
		s.rebuild(context.Background(), view, nil, nil)
		if used := s.teams.Used("theirs").CPUs; used != 2 {
			t.Errorf("got %v CPUs counted for the team, want the 2 of the job that has ended", used)
		}
	})
}

// A rebuild goes by one epoch, though the next begins under way. By the old
// one a machine and the journal with its record are a peer's; had the machine
// been taken by the new one, the journal would have been removed as nobody's, and
// the next to take the machine over would not know what runs there (ran_twice).
func TestRebuildFollowsOneEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, _ := newTestScheduler(t)
		s.loaded = false
		value, err := json.Marshal(fleet.RecordBucket{Machines: map[string]fleet.Record{"m9": {Address: "m9", Incarnation: 1, Attempts: map[string]uint64{"wk-000001/0": 7}}}})
		if err != nil {
			t.Fatal(err)
		}
		p.active["wk-000001"] = &job.Record{Job: wire.Job{ID: "wk-000001", Team: "ours", Tasks: 1}}
		p.items = []wire.Item{{Key: fleet.JournalKey("peer", 3, 0), Value: value, Version: 9}}
		p.since = map[string]uint64{"m9": 3}
		old := p.View()
		old.Epoch.Leader = "me"
		old.Epoch.Members = map[string]cluster.Member{"me": {Incarnation: 1, Since: 1}, "peer": {Incarnation: 2, Since: 3}}
		p.epoch = old.Epoch
		s.rebuild(context.Background(), old, nil, nil)
		if s.machines["m9"] != nil || s.checkpoints.Bucket(p.items[0].Key) != nil {
			t.Error("got a machine or a journal of another member taken over, want neither")
		}
		next := old.Epoch
		next.Token++
		next.Members = map[string]cluster.Member{"me": {Incarnation: 1, Since: 1}}
		p.epoch = next
		s.rebuild(context.Background(), p.View(), nil, []string{"m9"})
		var kept fleet.Record
		m, journal := s.machines["m9"], s.checkpoints.Bucket(p.items[0].Key)
		if journal != nil {
			kept, _ = journal.Kept("m9")
		}
		if m == nil || kept.Attempts["wk-000001/0"] != 7 {
			t.Errorf("got machine %v and journal %v, want both, with the record kept", m, journal)
		}
	})
}

// A machine is given to a peer, the answer of the store is lost, and the peer has
// already placed on it when its job becomes this scheduler's: what the record says is
// known, though the handover is still under way here (ran_twice).
func TestRebuildKnowsMachinesBeingTransferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, _ := newTestScheduler(t)
		value, err := json.Marshal(fleet.RecordBucket{Machines: map[string]fleet.Record{"m9": {Address: "m9", Incarnation: 1, Attempts: map[string]uint64{"wk-000001/0": 7}}}})
		if err != nil {
			t.Fatal(err)
		}
		gained := p.add("wk-000001", "ours", wire.PriorityNormal, 1, 1)
		p.items = []wire.Item{{Key: fleet.JournalKey("peer", 4, 0), Value: value, Version: 9}}
		p.since = map[string]uint64{"m9": 4}
		s.transfers.BeginMove("m9")
		s.rebuild(context.Background(), p.View(), []*job.Record{gained}, nil)
		if s.remoteAttempts.Get(fleet.Key{Task: "wk-000001/0", Attempt: 7}) == nil {
			t.Error("got no attempt on the transferred machine, want the recorded one")
		}
		if s.machines["m9"] != nil {
			t.Error("got the transferred machine taken over, want it left to its owner")
		}
	})
}

// A controller with little of a core shows the token no faster than half of its
// time allows: the workers whose heartbeats come by themselves come first.
func TestTakeoverRateIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := newTestScheduler(t)
		w := &slowWorkers{commands: map[string]int{}}
		s.opts.Workers = w
		s.tokenSync.rate = tokenRequestRate(0.05)
		s.mu.Lock()
		for i := range 600 {
			r := fleet.Record{Address: fmt.Sprint("n", i), Type: "m", Zone: "z", Incarnation: 1}
			s.adoptMachineLocked(fleet.FromRecord(r.Address, r, 5, time.Now()), nil, nil, time.Now())
		}
		s.mu.Unlock()
		time.Sleep(time.Second)
		w.mu.Lock()
		if n := len(w.commands); n < 100 || n > 300 {
			t.Errorf("got commands to %d workers within a second, want 100 to 300", n)
		}
		w.mu.Unlock()
		time.Sleep(5 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		for name, m := range s.machines {
			if !s.synced(m) {
				t.Fatalf("%s: got no sync, want one", name)
			}
		}
	})
}
