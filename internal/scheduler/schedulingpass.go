package scheduler

import (
	"cmp"
	"slices"
	"time"

	"heronwick/internal/placement"
	"heronwick/internal/queue"
)

// schedulingPass is what one pass over the queue has found out and need not find
// out again for each task of each job: nothing but its own placements changes
// meanwhile. It never changes which machine is chosen, only how often one is
// looked at.
type schedulingPass struct {
	number uint64
	idle   []*machine              // usable and not open, in the order of opening; nil: not looked for yet
	full   map[placementClass]bool // no machine takes a task of the class
	// lacks: no machine has room for the size, wherever it may go.
	lacks    map[placement.Resources]bool
	reserved map[string]int // by job, the hosted tasks that room is reserved for; nil: not counted yet
	// deferred: a job of the turn that is being served leaves room to others.
	deferred bool
	// Of the tasks that may be stopped: the lowest priority, and whether any
	// team is above its guarantee.
	victims bool // whether the two have been looked for
	lowest  int
	above   bool
}

// placementClass is all that decides where a task may go, of jobs that are not bound to
// where their other tasks are.
type placementClass struct {
	size  placement.Resources
	spot  bool
	zone  string
	types string
}

// placementClassOf returns the class of a job's tasks; ok is false for a job whose
// tasks are bound to more than that.
func placementClassOf(queued *queue.Job) (class placementClass, ok bool) {
	j := &queued.Record.Job
	if j.Spread || j.OneZone || queued.HasFailed() {
		return placementClass{}, false
	}
	class = placementClass{size: queued.Size, spot: j.Spot}
	if j.Zone != nil {
		class.zone = *j.Zone
	}
	for _, t := range j.Types {
		class.types += t + " "
	}
	return class, true
}

// beginPassLocked forgets what the last pass has found.
func (s *Scheduler) beginPassLocked() {
	s.pass = schedulingPass{number: s.pass.number + 1, full: map[placementClass]bool{}, lacks: map[placement.Resources]bool{}}
}

// lacksRoomLocked tells whether no machine has room for a task of the size: it
// need not be walked for, whatever it is bound to.
func (s *Scheduler) lacksRoomLocked(size placement.Resources, now time.Time) bool {
	if s.pass.lacks[size] {
		return true
	}
	for _, m := range s.machines {
		if s.lookLocked(m, now); m.usable && size.Within(m.free) {
			return false
		}
	}
	s.pass.lacks[size] = true
	return true
}

// lookLocked brings up to date what the pass knows of a machine.
func (s *Scheduler) lookLocked(m *machine, now time.Time) {
	if m.looked == s.pass.number && m.looked > 0 {
		return
	}
	m.looked, m.usable, m.free = s.pass.number, s.acceptsLocked(m, now), placement.Resources{}
	if m.usable {
		m.free, m.usable = m.Room()
	}
}

// idleMachinesLocked returns the machines that were usable and not open when
// the pass first asked, spot ones before ordinary ones, which other jobs may
// need, then by name.
func (s *Scheduler) idleMachinesLocked(now time.Time) []*machine {
	if s.pass.idle == nil {
		s.pass.idle = []*machine{}
		for _, m := range s.machines {
			if s.list.Has(m) {
				continue
			}
			if s.lookLocked(m, now); m.usable {
				s.pass.idle = append(s.pass.idle, m)
			}
		}
		slices.SortFunc(s.pass.idle, func(a, b *machine) int {
			return cmp.Or(-cmp.Compare(boolInt(a.Spot), boolInt(b.Spot)), cmp.Compare(a.Name, b.Name))
		})
	}
	return s.pass.idle
}

// idleLocked returns the idle machine to open for the job: one that holds its
// image before others.
func (s *Scheduler) idleLocked(queued *queue.Job, now time.Time) *machine {
	var first *machine
	for _, m := range s.idleMachinesLocked(now) {
		if s.list.Has(m) || s.machines[m.Name] != m || !s.fitsLocked(queued, m, now) {
			continue
		}
		if m.HasImage(queued.Record.Job.Image) {
			return m
		}
		if first == nil {
			first = m
		}
	}
	return first
}

// mayPreemptAnyLocked tells whether there can be any task that the job may
// have stopped: looking for the best on every machine takes long.
func (s *Scheduler) mayPreemptAnyLocked(queued *queue.Job, guaranteed bool) bool {
	if p := &s.pass; !p.victims {
		p.victims = true
		for _, m := range s.machines {
			for _, a := range m.Attempts.All() {
				if !a.Exited() && !a.Stop {
					p.lowest = max(p.lowest, a.Rank)
				}
			}
		}
		p.above = s.teams.AnyAboveGuarantee()
	}
	return queued.EffectivePriority < s.pass.lowest || guaranteed && s.pass.above
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
