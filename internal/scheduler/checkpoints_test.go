package scheduler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"heronwick/internal/fleet"
	"heronwick/internal/recovery"
	"heronwick/wire"
)

// The write of a job's end is fenced by the epoch under which its scheduler counted
// the tasks. Once the epoch has changed, the fence is known to be outdated.
func TestJobEndIsFencedByEpoch(t *testing.T) {
	s, p, _ := newTestScheduler(t)
	queued := s.addJobLocked(p.add("job", "ours", wire.PriorityNormal, 1, 1))
	queued.Done.Add(0)
	condition := p.View().Condition
	s.finishLocked(queued)
	if err := s.group.Wait(); err != nil {
		t.Fatal(err)
	}
	if len(p.fences) != 1 || p.fences[0].Condition != condition || !p.fences[0].IsCurrent() {
		t.Fatalf("job end: got fences %v, want the current epoch's only", p.fences)
	}
	p.epoch.Token++
	if p.fences[0].IsCurrent() {
		t.Error("fence under the next epoch: still current, want it outdated")
	}
}

// A machine can have records in two buckets after it has changed owner. The newer
// record is kept until the machine's own bucket contains it: whichever bucket is
// written first, the store always names the attempts that may be on the machine.
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
			s.mu.Lock() // token requests run concurrently
			s.restoreRecordsLocked(r, nil, map[string]bool{"wk-1": true}, time.Now())
			s.mu.Unlock()
			for range 3 {
				s.mu.Lock()
				s.rewriteStaleBucketsLocked(time.Now())
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
						t.Fatalf("newer record in bucket %s: got no record of the attempt on the machine, want one", current)
					}
				}
				p.writes = nil
			}
			if len(stored) != 1 {
				t.Errorf("newer record in bucket %s: got %d buckets in the end, want 1", current, len(stored))
			}
		})
	}
}

// There are enough journals for the tasks that run on a scheduler's machines.
// Otherwise the journals are always full, and the far more numerous buckets of the
// machines are written again and again.
func TestJournalsSufficeForRunningTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p := newLargeScheduler(400)
		s.opts.Settings.MaxValueBytes = 6 << 10
		for i := range 30 {
			r := p.add(fmt.Sprintf("wk-%06d", i), "ours", wire.PriorityNormal, 10, 16)
			r.Job.Spot = true
			s.mu.Lock()
			s.addJobLocked(r)
			s.scheduleLocked(time.Now())
			s.recordPlacementsLocked()
			s.mu.Unlock()
			time.Sleep(45 * time.Millisecond)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		buckets := 0
		for _, w := range p.writes {
			for _, c := range w.Then {
				if !fleet.IsJournal(c.Put) {
					buckets++
				}
			}
		}
		if n := len(s.packer.Open.Order()); n != 300 {
			t.Errorf("got %d machines with a task, want 300", n)
		}
		if buckets > 0 {
			t.Errorf("got %d bucket writes in %d transactions, want none", buckets, len(p.writes))
		}
	})
}
