package scheduler

// Hosting: tasks of other controllers' jobs that find no room there are
// placed on this scheduler's machines; their owner settles what became of
// them.

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/fleet"
	"heronwick/wire"
)

// Place takes tasks of another share's jobs, as far as they find room here;
// an idle machine goes to the asking share as a whole instead.
func (s *Scheduler) Place(req *peerpb.PlaceRequest) *peerpb.PlaceReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := &peerpb.PlaceReply{}
	if !s.opts.PlaceRequests.Newer(req) {
		return reply // a late copy: what it asks for may have been taken, ended and taken elsewhere since
	}
	if !s.loaded || !s.permitted() || req.Token > s.epoch.Token || req.Token < s.epoch.from || s.opts.Authority.Token() != s.epoch.Token {
		return reply // not of one mind about who owns what
	}
	reply.Ready = true
	now := time.Now()
	s.beginPassLocked()
	overloaded := s.opts.Authority.PeerLoads()[req.Node].Overloaded
	for _, w := range req.Wanted {
		s.placeWantedLocked(req.Node, overloaded, w, reply, now)
	}
	if len(reply.Taken) > 0 {
		s.poke()
	}
	return reply
}

// PlaceRequestHistory remembers, by peer, the newest attempt that a placement
// request has named, however it was answered and whether a Scheduler was
// running: what was refused is placed elsewhere, and a late copy must not be
// taken then (ran_twice). It lasts as long as the process; requests to an
// earlier incarnation are from before this one's membership. Its zero value
// is ready to use and it is safe for concurrent use.
type PlaceRequestHistory struct {
	mu     sync.Mutex
	newest map[string]uint64 // by peer, the newest attempt that it has asked about
}

// Newer tells whether all attempts that a peer asks about are newer than those
// of its requests before: their numbers rise, and it asks once for each.
func (r *PlaceRequestHistory) Newer(req *peerpb.PlaceRequest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.newest[req.Node]
	newest := before
	for _, w := range req.Wanted {
		for _, at := range w.Attempts {
			if at.Attempt <= before {
				return false
			}
			newest = max(newest, at.Attempt)
		}
	}
	if r.newest == nil {
		r.newest = map[string]uint64{}
	}
	r.newest[req.Node] = newest
	return true
}

// placeWantedLocked places what one job asks for. An asker that is overloaded is
// given no machine as a whole.
func (s *Scheduler) placeWantedLocked(from string, overloaded bool, w *peerpb.Wanted, reply *peerpb.PlaceReply, now time.Time) {
	r := s.opts.Jobs.Active(w.Job)
	if r == nil || s.epoch.OwnerOf(r.Job.Team, r.Job.ID) != from {
		return
	}
	g := s.hosted[w.Job]
	if g == nil {
		g = s.newJob(r)
		g.Hosted = true
		s.hosted[w.Job] = g
	}
	g.OwnerGuaranteed, g.OwnerUnplaced = w.Guaranteed, 0
	g.Zones = map[string]int{}
	for zone, n := range w.Zones {
		g.Zones[zone] = int(n)
	}
	left := len(w.Attempts)
	for _, at := range w.Attempts {
		key := fleet.Key{Task: at.Task, Attempt: at.Attempt}
		_, index, ok := wire.SplitTaskID(at.Task)
		if !ok || !s.denied[key].IsZero() {
			continue
		}
		if r.Job.Kind == wire.KindGang {
			// A gang is placed in one walk of one share, which needs machines
			// for it, not places.
			if idle := s.idleLocked(g, now); idle != nil && s.canHandOverLocked(idle, now) {
				s.handOverLocked([]*machine{idle}, from)
				reply.Given++
			}
			break
		}
		m, wait := s.findHeldLocked(g, now, w.Guaranteed)
		if m == nil && !wait && !w.Held {
			if m = s.findAnyLocked(g, now); m == nil {
				wait = s.preemptLocked(g, now, false, w.Guaranteed)
			}
		}
		if m == nil {
			reply.Making = reply.Making || wait
			break
		}
		if !overloaded && s.canHandOverLocked(m, now) {
			// The asking share places there itself.
			reply.Given += uint32(s.handOverForLocked(g, m, from, int(w.Pending)-(len(w.Attempts)-left), now))
			break
		}
		a := &fleet.Attempt{Key: key, Job: w.Job, Index: index, Guest: true, Epoch: s.epoch.Token}
		s.describe(a, &r.Job, g.EffectivePriority)
		m.Add(a, now)
		m.looked = 0
		m.dirty = true
		m.useReservation(w.Job)
		g.Zones[m.Zone]++
		left--
		reply.Taken = append(reply.Taken, &peerpb.Hosted{Attempt: at, Zone: m.Zone, Known: true})
		s.log.Debug("placed", "task", a.Task, "attempt", a.Attempt, "machine", m.Name, "image_held", m.HasImage(a.Image), "for", from)
	}
	if left > 0 && !w.Held {
		g.OwnerUnplaced, g.OwnerAskedAt = int(w.Pending)-(len(w.Attempts)-left), now
	}
}

// handOverForLocked gives a share that starves the first machine and as many more
// idle ones as the job's pending tasks need, but leaves as many as it gives:
// the next to ask may need them as much. It returns how many it gave.
func (s *Scheduler) handOverForLocked(js *jobState, first *machine, node string, pending int, now time.Time) int {
	fit := max(1, int(1/max(js.DominantShare, 1e-3)))
	want := (pending + fit - 1) / fit
	giving := []*machine{first}
	var idle []*machine
	if want > 1 {
		for _, m := range s.machines {
			if m != first && !s.list.Has(m) && s.canHandOverLocked(m, now) && s.fitsLocked(js, m, now) {
				idle = append(idle, m)
			}
		}
		slices.SortFunc(idle, func(a, b *machine) int { return cmp.Compare(a.Name, b.Name) })
		giving = append(giving, idle[:min(want-1, len(idle)/2)]...)
	}
	s.handOverLocked(giving, node)
	return len(giving)
}

// hostedAttempt is an attempt of another controller's job that runs here, and
// the machine that it is on.
type hostedAttempt struct {
	machine *machine
	attempt *fleet.Attempt
}

// hostedAttemptsLocked finds the attempts that a request names. A peer asks about
// hundreds at once, of thousands that are here: their numbers alone, which only
// a gang's tasks share, tell most of the others apart.
func (s *Scheduler) hostedAttemptsLocked(req *peerpb.SettleRequest) map[fleet.Key]hostedAttempt {
	numbers := make(map[uint64]bool, len(req.Attempts)+len(req.Handled))
	for _, at := range req.Attempts {
		numbers[at.Attempt] = true
	}
	for _, at := range req.Handled {
		numbers[at.Attempt] = true
	}
	here := make(map[fleet.Key]hostedAttempt, len(numbers))
	for _, m := range s.machines {
		for _, a := range m.Attempts.All() {
			if numbers[a.Attempt] {
				here[a.Key] = hostedAttempt{m, a}
			}
		}
	}
	return here
}

// Settle tells what became of attempts that this share may have taken, and
// lets go of those whose end is recorded. What is not known here never will
// be: a request that is still under way must not bring it later.
func (s *Scheduler) Settle(req *peerpb.SettleRequest) *peerpb.SettleReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := &peerpb.SettleReply{}
	if !s.loaded || s.epoch.Token < req.Token || s.epoch.Members[s.opts.Node].Since != req.Since || s.epoch.Leader == s.opts.Node && s.adopted < req.Token {
		return reply
	}
	reply.Ready = true
	now := time.Now()
	here := s.hostedAttemptsLocked(req)
	for _, at := range req.Handled {
		if h := here[fleet.Key{Task: at.Task, Attempt: at.Attempt}]; h.attempt != nil && h.attempt.Exited() {
			h.attempt.Handled = true
		}
	}
	for _, at := range req.Attempts {
		h := &peerpb.Hosted{Attempt: at}
		key := fleet.Key{Task: at.Task, Attempt: at.Attempt}
		if found := here[key]; found.attempt != nil {
			h.Known, h.Zone, h.State, h.Why = true, found.machine.Zone, string(found.attempt.State), string(found.attempt.Why)
		} else {
			s.denied[key] = now
		}
		reply.Hosted = append(reply.Hosted, h)
	}
	for key, at := range s.denied {
		if now.Sub(at) > deniedFor {
			delete(s.denied, key)
		}
	}
	return reply
}
