package scheduler

import (
	"cmp"
	"slices"
	"time"

	"heronwick/internal/placement"
	"heronwick/wire"
)

// pass is what one pass of placing has found out and need not find out again
// for each task of each job: nothing but its own placements changes meanwhile.
// It never changes which machine is chosen, only how often one is looked at.
type pass struct {
	number uint64
	idle   []*machine     // usable and not open, in the order of opening; nil: not looked for yet
	full   map[shape]bool // no machine takes a task of the shape
	// lacks: no machine has room for the size, wherever it may go.
	lacks    map[placement.Resources]bool
	reserved map[string]int // by job, the guests' tasks that room is kept for; nil: not counted yet
	// passedUp: a job of the turn that is being served leaves room to others.
	passedUp bool
	// Of the tasks that may be stopped: the lowest priority, and whether any
	// team is above its guarantee.
	victims bool // whether the two have been looked for
	lowest  int
	above   bool
}

// shape is all that decides where a task may go, of jobs that are not bound to
// where their other tasks are.
type shape struct {
	size  placement.Resources
	spot  bool
	zone  string
	types string
}

// shapeOf returns a job's shape; ok is false for one whose tasks are bound to
// more than that.
func (js *jobState) shapeOf() (sh shape, ok bool) {
	j := &js.rec.Job
	if j.Spread || j.OneZone || len(js.failedOn) > 0 {
		return shape{}, false
	}
	sh = shape{size: js.size, spot: j.Spot}
	if j.Zone != nil {
		sh.zone = *j.Zone
	}
	for _, t := range j.Types {
		sh.types += t + " "
	}
	return sh, true
}

// beginPassLocked forgets what the last pass has found.
func (s *Scheduler) beginPassLocked() {
	s.pass = pass{number: s.pass.number + 1, full: map[shape]bool{}, lacks: map[placement.Resources]bool{}}
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

// reservedLocked counts the tasks of guests that room is kept for, by job.
func (s *Scheduler) reservedLocked(now time.Time) map[string]int {
	if s.pass.reserved == nil {
		s.pass.reserved = map[string]int{}
		for _, m := range s.machines {
			for _, k := range m.reservations {
				if now.Before(k.until) {
					s.pass.reserved[k.job]++
				}
			}
		}
	}
	return s.pass.reserved
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
func (s *Scheduler) idleLocked(js *jobState, now time.Time) *machine {
	var first *machine
	for _, m := range s.idleMachinesLocked(now) {
		if s.list.Has(m) || s.machines[m.Name] != m || !s.fitsLocked(js, m, now) {
			continue
		}
		if m.HasImage(js.rec.Job.Image) {
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
func (s *Scheduler) mayPreemptAnyLocked(js *jobState, guaranteed bool) bool {
	if p := &s.pass; !p.victims {
		p.victims = true
		for _, m := range s.machines {
			for _, a := range m.Attempts.All() {
				if !a.Exited() && !a.Stop {
					p.lowest = max(p.lowest, a.Rank)
				}
			}
		}
		for name, t := range s.teams {
			p.above = p.above || (t.CPUs > 0 || t.CPUsMax > 0) && s.used[name].CPUs > t.CPUs
		}
	}
	return js.rank < s.pass.lowest || guaranteed && s.pass.above
}

// service tells whether the job's tasks run until it is cancelled.
func (js *jobState) service() bool { return js.rec.Job.Kind == wire.KindService }
