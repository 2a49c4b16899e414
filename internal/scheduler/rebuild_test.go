package scheduler

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"heronwick/internal/cluster"
	"heronwick/internal/fleet"
	"heronwick/internal/job"
	"heronwick/internal/placement"
	"heronwick/internal/recovery"
	"heronwick/wire"
)

// A job that was accepted under the current shard assignment, and that the scheduler
// finds before JobAdded is called for it, is queued without reading the records of
// all machines. A job that was accepted earlier may have been placed, so the records
// are read.
func TestOnlyEarlierJobsNeedRebuild(t *testing.T) {
	s, p, _ := newTestScheduler(t)
	s.mu.Lock() // blocks the rebuild
	defer s.mu.Unlock()
	accepted := p.add("accepted", "ours", wire.PriorityNormal, 1, 1)
	accepted.Version = p.epoch.Token + 1
	p.allActive = []*job.Record{accepted}
	s.followEpochLocked()
	if s.rebuilding || s.jobs["accepted"] == nil {
		t.Errorf("later job: got rebuilding %v and queued %v, want it queued without a rebuild", s.rebuilding, s.jobs["accepted"] != nil)
	}
	earlier := p.add("earlier", "ours", wire.PriorityNormal, 1, 1)
	earlier.Version = p.epoch.Token - 1
	p.allActive = append(p.allActive, earlier)
	s.followEpochLocked()
	if !s.rebuilding || s.jobs["earlier"] != nil {
		t.Errorf("earlier job: got rebuilding %v and queued %v, want a rebuild first", s.rebuilding, s.jobs["earlier"] != nil)
	}
}

// Guards against ran_twice: between two epochs with equal members and teams there was one,
// which this scheduler never saw, in which another member owned its team and placed the
// tasks of its jobs. Neither a job accepted meanwhile nor one that was queued here before may
// be placed again before the records are read.
func TestUnseenAssignmentBetweenEqualOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, _ := newTestScheduler(t)
		before := s.addJobLocked(p.add("wk-000001", "ours", wire.PriorityNormal, 1, 1)).Record
		earlier := p.epoch
		p.beginAssignment(func(e *cluster.Epoch) { e.Teams = map[string]string{"ours": "peer", "theirs": "peer"} })
		meanwhile := p.add("wk-000002", "ours", wire.PriorityNormal, 1, 1)
		meanwhile.Version = p.epoch.Token + 1
		p.epoch.Token++ // leaves room for the version of the job that was accepted meanwhile
		p.beginAssignment(func(e *cluster.Epoch) { e.Teams = earlier.Teams })
		value, err := json.Marshal(fleet.RecordBucket{Machines: map[string]fleet.Record{
			"m9": {Address: "m9", Incarnation: 1, Attempts: map[string]uint64{"wk-000001/0": 7, "wk-000002/0": 8}},
		}})
		if err != nil {
			t.Fatal(err)
		}
		p.records = []wire.Item{{Key: fleet.JournalKey("peer", 4, 0), Value: value, Version: 9}}
		p.peerSince = map[string]uint64{"m9": 4}
		p.allActive = []*job.Record{before, meanwhile}

		s.mu.Lock()
		s.followEpochLocked()
		if !s.rebuilding || len(s.jobs) > 0 {
			t.Errorf("got rebuilding %v with %d jobs queued, want a rebuild before any is queued", s.rebuilding, len(s.jobs))
		}
		s.mu.Unlock()
		synctest.Wait()
		for id, attempt := range map[string]uint64{"wk-000001": 7, "wk-000002": 8} {
			if s.jobs[id] == nil || s.remoteAttempts.Get(fleet.Key{Task: id + "/0", Attempt: attempt}) == nil {
				t.Errorf("%s: got no queued job or no attempt of it, want both, as recorded by the peer", id)
			}
		}
	})
}

// An epoch that differs only by its token changes no owner, so nothing is read again.
func TestIncrementedTokenNeedsNoRebuild(t *testing.T) {
	s, p, _ := newTestScheduler(t)
	queued := s.addJobLocked(p.add("wk-000001", "ours", wire.PriorityNormal, 1, 1))
	p.allActive = []*job.Record{queued.Record}
	p.epoch.Token += 2
	s.mu.Lock()
	defer s.mu.Unlock()
	s.followEpochLocked()
	if s.rebuilding || s.jobs["wk-000001"] != queued || s.epoch.Token != p.epoch.Token {
		t.Errorf("got rebuilding %v and token %d, want token %d followed without a rebuild", s.rebuilding, s.epoch.Token, p.epoch.Token)
	}
}

// Tasks of a cancelled job that may still run count for the next owner of its team,
// even if no scheduler gains the job. The team's limit was exceeded (rule quota) when
// a team was at its limit, machines were unreachable, a job was cancelled and the
// leader changed.
func TestTasksOfEndedJobsCountForNextOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, m := newTestScheduler(t)
		for i, id := range []string{"wk-000001", "wk-000002"} { // the first has ended, the second is active and owned by another scheduler
			a := &fleet.Attempt{Key: fleet.Key{Task: id + "/0", Attempt: uint64(7 + i)}, Job: id, Team: "theirs", SizeKnown: true,
				Size: placement.Resources{CPUs: 2}, Recorded: true, Hosted: true, Stop: i == 0}
			m.Add(a, time.Now())
		}
		p.active["wk-000002"] = &job.Record{}
		p.beginAssignment(func(e *cluster.Epoch) { e.Teams = map[string]string{"ours": "me", "theirs": "me"} })
		s.rebuild(context.Background(), p.View(), false, nil)
		if used := s.teams.Used("theirs").CPUs; used != placement.QuantityOf(2) {
			t.Errorf("got %v CPUs counted for the team, want the 2 of the job that has ended", used)
		}
	})
}

// A rebuild uses one epoch throughout, even if the next one begins meanwhile. In the
// old epoch, a machine and the journal with its record belong to a peer. If the
// machine were adopted by the new epoch, the journal would be removed as ownerless,
// and the next owner of the machine would not know what runs there (rule ran_twice).
func TestRebuildFollowsOneEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, _ := newTestScheduler(t)
		s.loaded = false
		value, err := json.Marshal(fleet.RecordBucket{Machines: map[string]fleet.Record{"m9": {Address: "m9", Incarnation: 1, Attempts: map[string]uint64{"wk-000001/0": 7}}}})
		if err != nil {
			t.Fatal(err)
		}
		p.active["wk-000001"] = &job.Record{Job: wire.Job{ID: "wk-000001", Team: "ours", Tasks: 1}}
		p.records = []wire.Item{{Key: fleet.JournalKey("peer", 3, 0), Value: value, Version: 9}}
		p.peerSince = map[string]uint64{"m9": 3}
		old := p.View()
		old.Epoch.Leader = "me"
		old.Epoch.Members = map[string]cluster.Member{"me": {Incarnation: 1, Since: 1}, "peer": {Incarnation: 2, Since: 3}}
		p.epoch = old.Epoch
		s.rebuild(context.Background(), old, false, nil)
		if s.machines["m9"] != nil || s.checkpoints.Bucket(p.records[0].Key) != nil {
			t.Error("got a machine or a journal of another member taken over, want neither")
		}
		p.beginAssignment(func(e *cluster.Epoch) { e.Members = map[string]cluster.Member{"me": {Incarnation: 1, Since: 1}} })
		s.rebuild(context.Background(), p.View(), false, []string{"m9"})
		var kept fleet.Record
		m, journal := s.machines["m9"], s.checkpoints.Bucket(p.records[0].Key)
		if journal != nil {
			kept, _ = journal.Retained("m9")
		}
		if m == nil || kept.Attempts["wk-000001/0"] != 7 {
			t.Errorf("got machine %v and journal %v, want both, with the record kept", m, journal)
		}
	})
}

// A machine is handed over to a peer, but the store's response is lost, and the peer
// has already placed a task on the machine when this scheduler gains the task's job.
// The recorded attempt must be known even though the handover is still in progress
// here (rule ran_twice).
func TestRebuildKnowsMachinesBeingTransferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, _ := newTestScheduler(t)
		value, err := json.Marshal(fleet.RecordBucket{Machines: map[string]fleet.Record{"m9": {Address: "m9", Incarnation: 1, Attempts: map[string]uint64{"wk-000001/0": 7}}}})
		if err != nil {
			t.Fatal(err)
		}
		p.allActive = []*job.Record{p.add("wk-000001", "ours", wire.PriorityNormal, 1, 1)}
		p.records = []wire.Item{{Key: fleet.JournalKey("peer", 4, 0), Value: value, Version: 9}}
		p.peerSince = map[string]uint64{"m9": 4}
		s.transfers.BeginMove("m9")
		s.rebuild(context.Background(), p.View(), true, nil)
		if s.remoteAttempts.Get(fleet.Key{Task: "wk-000001/0", Attempt: 7}) == nil {
			t.Error("got no attempt on the transferred machine, want the recorded one")
		}
		if s.machines["m9"] != nil {
			t.Error("got the transferred machine taken over, want it left to its owner")
		}
	})
}

// Guards against a team that exceeds its limit because a job of it ended between the read of
// the records and their restoration: its tasks count at once, on adopted and on other machines.
func TestTasksOfJobThatEndedDuringReadCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, _ := newTestScheduler(t)
		record := p.add("wk-000001", "ours", wire.PriorityNormal, 3, 2)
		delete(p.active, "wk-000001") // it has ended since
		p.peerSince = map[string]uint64{"m8": 4}
		adopted := fleet.Record{Address: "m9", Incarnation: 1, Attempts: map[string]uint64{"wk-000001/0": 7}}
		others := fleet.Record{Address: "m8", Incarnation: 1, Attempts: map[string]uint64{"wk-000001/1": 8, "wk-000002/0": 9}}
		records := recovery.Records{
			Buckets: []recovery.Bucket{{Key: fleet.JournalKey("gone", 3, 0), RecordBucket: fleet.RecordBucket{
				Machines: map[string]fleet.Record{"m9": adopted, "m8": others}}}},
			Active: map[string]*job.Record{"wk-000001": record, "wk-000002": {Job: wire.Job{ID: "wk-000002", Team: "theirs", Tasks: 1, CPUs: 2}}},
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.restoreLocked(records, nil, 0)
		if used := s.teams.Used("ours").CPUs; used != placement.QuantityOf(4) {
			t.Errorf("got %v CPUs counted for the team, want the 4 of the two tasks of the job that has ended", used.Amount())
		}
		if used := s.teams.Used("theirs").CPUs; used != 0 {
			t.Errorf("got %v CPUs counted for the team of another controller, want none", used.Amount())
		}
	})
}

// Guards against ran_twice: a task was placed here, but not recorded yet, when an assignment began
// that this scheduler never saw and in which another member placed it.
func TestUnrecordedAttemptIsDroppedAfterUnseenAssignment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, m := newTestScheduler(t)
		queued := s.addJobLocked(p.add("wk-000001", "ours", wire.PriorityNormal, 1, 1))
		a := s.newAttempt(queued, 0)
		s.placeLocked(a, m, time.Now())
		earlier := p.epoch
		p.beginAssignment(func(e *cluster.Epoch) { e.Teams = map[string]string{"ours": "peer", "theirs": "peer"} })
		p.beginAssignment(func(e *cluster.Epoch) { e.Teams = earlier.Teams })
		value, err := json.Marshal(fleet.RecordBucket{Machines: map[string]fleet.Record{
			"m9": {Address: "m9", Incarnation: 1, Attempts: map[string]uint64{"wk-000001/0": 7}},
		}})
		if err != nil {
			t.Fatal(err)
		}
		p.records = []wire.Item{{Key: fleet.JournalKey("peer", 4, 0), Value: value, Version: 9}}
		p.peerSince = map[string]uint64{"m9": 4}
		p.allActive = []*job.Record{queued.Record}
		s.mu.Lock()
		s.followEpochLocked()
		s.mu.Unlock()
		synctest.Wait()
		s.mu.Lock()
		s.recordPlacementsLocked()
		s.mu.Unlock()
		synctest.Wait()
		s.mu.Lock()
		defer s.mu.Unlock()
		if dropped := m.Attempts.Get(a.Key); dropped != nil {
			t.Errorf("got attempt %d here, recorded %v, beside the one of the other member, want it dropped", dropped.Attempt, dropped.Recorded)
		}
	})
}

// Guards against a leader that adopts no machines of a member that has left and joined again,
// because their transfers are gone by then: the records still name their tasks (rule ran_twice).
func TestLeaderReadsRecordsWhenMembershipEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, _ := newTestScheduler(t)
		value, err := json.Marshal(fleet.RecordBucket{Machines: map[string]fleet.Record{
			"m9": {Address: "m9", Incarnation: 1, Attempts: map[string]uint64{"wk-000001/0": 7}},
		}})
		if err != nil {
			t.Fatal(err)
		}
		p.active["wk-000001"] = &job.Record{Job: wire.Job{ID: "wk-000001", Team: "theirs", Tasks: 1, CPUs: 1}}
		p.records = []wire.Item{{Key: fleet.JournalKey("peer", 4, 0), Value: value, Version: 9}}
		p.peerSince = map[string]uint64{"m9": 4}
		p.beginAssignment(func(e *cluster.Epoch) {
			e.Members = map[string]cluster.Member{"me": {Incarnation: 1, Since: 3}, "peer": {Incarnation: 3, Since: e.Token}}
		})
		s.mu.Lock()
		s.followEpochLocked()
		s.mu.Unlock()
		synctest.Wait()
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.adoptedToken != p.epoch.Token || s.machines["m9"] == nil {
			t.Errorf("got machines adopted under token %d of %d, and m9 among them %v, want it adopted", s.adoptedToken, p.epoch.Token, s.machines["m9"] != nil)
		}
	})
}
