package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"heronwick/internal/fleet"
	"heronwick/internal/queue"
	"heronwick/internal/quota"
	"heronwick/wire"
)

// During a lasting overload with small jobs, the largest job still starts within
// queue.MaxStartDelay (four minutes), and the small jobs are served first for a part of
// that time.
func TestLargestJobStartsUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, m := newTestScheduler(t)
		large := s.addJobLocked(p.add("wk-1", "ours", wire.PriorityNormal, 300, 8))
		large.EligibleAt = time.Now()
		began := time.Now()
		for i := 2; large.LiveTasks() == 0; i++ {
			if time.Since(began) > queue.MaxStartDelay {
				t.Fatal("largest job: not started within queue.MaxStartDelay")
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
					s.uncountWithoutWakeLocked(a, quota.Exited)
					delete(s.jobs, a.Job)
				}
			}
		}
		if took := time.Since(began); took < queue.MaxStartDelay/4 {
			t.Errorf("largest job: started after %v, want the small jobs to be served first for longer", took)
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
		// A failed placement must neither write a record nor trigger the next one.
		if m.record.Dirty || len(s.wake) > 0 {
			t.Errorf("waiting gang: got record dirty %v and scheduler woken %v, want neither", m.record.Dirty, len(s.wake) > 0)
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

// Among jobs that are about equal in the order of the queue, freed room goes first to a
// job whose image is cached on the machine. A job that passes up such room gets the next
// room once it has waited for as long as a fetch takes, and no room stays free if no
// other job can use it.
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
				s.uncountWithoutWakeLocked(a, quota.Exited)
			}
			m.LastHeartbeat = time.Now()
		}
		s.scheduleLocked(time.Now())
		if big.LiveTasks() != 1 || small.LiveTasks() != 0 {
			t.Errorf("room taken by a job that must fetch its image, want it taken by the job whose image is cached")
		}
		time.Sleep(4 * time.Second) // longer than the fetch
		free()
		s.scheduleLocked(time.Now())
		if small.LiveTasks() != 1 {
			t.Error("job that must fetch its image: still waits after the time of a fetch, want it placed")
		}
		free()
		delete(s.jobs, "wk-2")
		small.DeferredSince = time.Time{}
		s.scheduleLocked(time.Now())
		if small.LiveTasks() != 1 {
			t.Error("job that must fetch its image: still waits with room that no other job needs, want it placed")
		}
	})
}

// What a pass caches never changes which machine is chosen: on random fleets it is the
// same one that an exhaustive search without caches finds.
func TestPassMatchesExhaustiveSearch(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 7))
		s, p := newLargeScheduler([]int{40, 40, 2000}[seed%3])
		fillMachines(s, random)
		s.beginPassLocked()
		for i := range 60 {
			r := p.add(fmt.Sprintf("wk-%d", i), "ours", wire.PriorityNormal, 1, float64(2+2*random.IntN(7)))
			r.Job.Spot, r.Job.Image = random.IntN(2) == 0, fmt.Sprint("i", random.IntN(6))
			queued, now := s.newJob(r), time.Now()
			search := func(withImage bool) string {
				fits := func(m *machine) bool {
					return s.usableLocked(m, now) && queued.Size.Within(m.Free()) && s.packer.Allows(queued, m.packing) && (!withImage || m.HasImage(r.Job.Image))
				}
				for _, open := range s.packer.Open.Order() {
					if fits(s.machines[open.Name]) {
						return open.Name
					}
				}
				best := ""
				for name, m := range s.machines {
					if s.packer.Open.Has(m.packing) || !fits(m) {
						continue
					}
					if b := s.machines[best]; b == nil || m.Spot && !b.Spot || m.Spot == b.Spot && name < best {
						best = name
					}
				}
				return best
			}
			want := search(true)
			if want == "" {
				want = search(false)
			}
			got := ""
			m, _ := s.findWithImageLocked(queued, now, false)
			if m == nil {
				m = s.findAnyLocked(queued, now)
			}
			if m != nil {
				got = m.Name
				s.placeLocked(s.newAttempt(queued, 0), m, now)
			}
			if got != want {
				t.Fatalf("seed %d, task %d: the pass chose %q, the exhaustive search %q", seed, i, got, want)
			}
		}
	}
}
