package packing

import (
	"cmp"
	"slices"
	"time"

	"heronwick/internal/placement"
	"heronwick/internal/queue"
)

// pass caches the findings of one pass over the queue, so that they are not computed
// again for each task of each job. That is valid because only the pass's own
// placements change the machines meanwhile. The cache never affects which machine is
// chosen, only how often machines are examined.
type pass struct {
	number uint64
	idle   []*Machine                   // usable machines that were not open, in the order in which to open them; nil if not searched yet
	full   map[taskClass]bool           // classes of which no machine can take a task
	noRoom map[placement.Resources]bool // sizes for which no machine has room, regardless of placement constraints
	// reserved is the number of reservations by hosted job; nil if not counted yet.
	reserved map[string]int
}

// taskClass holds everything that determines where a task may be placed, for jobs
// whose placement depends neither on their other tasks nor on earlier failures.
type taskClass struct {
	size  placement.Resources
	spot  bool
	zone  string
	types string
}

// classOf returns the class of the job's tasks. ok is false if their placement depends
// on more than the class holds.
func classOf(queued *queue.Job) (class taskClass, ok bool) {
	j := &queued.Record.Job
	if j.Spread || j.OneZone || queued.HasFailed() {
		return taskClass{}, false
	}
	class = taskClass{size: queued.Size, spot: j.Spot}
	if j.Zone != nil {
		class.zone = *j.Zone
	}
	for _, t := range j.Types {
		class.types += t + " "
	}
	return class, true
}

// BeginPass begins a new pass and discards the findings of the last one.
func (p *Packer) BeginPass() {
	p.pass = pass{number: p.pass.number + 1, full: map[taskClass]bool{}, noRoom: map[placement.Resources]bool{}}
}

// RoomFreed must be called when room was freed during a pass. It discards the findings
// that there is no room.
func (p *Packer) RoomFreed() {
	clear(p.pass.full)
	clear(p.pass.noRoom)
}

// Full reports whether no machine can take a task of the job, according to the findings
// of the pass or to the free resources of all machines.
func (p *Packer) Full(queued *queue.Job, now time.Time) bool {
	class, ok := classOf(queued)
	return ok && p.pass.full[class] || p.noMachineHasRoom(queued.Size, now)
}

// SetFull records that no machine can take a task of the job.
func (p *Packer) SetFull(queued *queue.Job) {
	if class, ok := classOf(queued); ok {
		p.pass.full[class] = true
	}
}

// noMachineHasRoom reports whether no machine has room for a task of the size, in which
// case no further search is needed whatever the job's placement constraints are.
func (p *Packer) noMachineHasRoom(size placement.Resources, now time.Time) bool {
	if p.pass.noRoom[size] {
		return true
	}
	hasRoom := func(m *Machine) bool {
		p.refresh(m, now)
		return m.usable && size.Within(m.free)
	}
	if p.scheduler.AnyMachine(hasRoom) {
		return false
	}
	p.pass.noRoom[size] = true
	return true
}

// refresh computes the machine's usable and free fields, unless this has been done in
// the current pass and its room has not changed since.
func (p *Packer) refresh(m *Machine, now time.Time) {
	if m.refreshedInPass == p.pass.number && m.refreshedInPass > 0 {
		return
	}
	m.refreshedInPass, m.usable, m.free = p.pass.number, m.accepts(now), placement.Resources{}
	if m.usable {
		m.free, m.usable = m.FreeResources()
	}
}

// idleMachines returns the machines that were usable and not open when the pass first
// needed them, sorted by name, but spot machines before ordinary ones, since ordinary
// machines may be needed for jobs that do not allow spot machines.
func (p *Packer) idleMachines(now time.Time) []*Machine {
	if p.pass.idle != nil {
		return p.pass.idle
	}
	p.pass.idle = []*Machine{}
	for m := range p.scheduler.Machines() {
		if p.Open.Has(m) {
			continue
		}
		if p.refresh(m, now); m.usable {
			p.pass.idle = append(p.pass.idle, m)
		}
	}
	slices.SortFunc(p.pass.idle, func(a, b *Machine) int {
		return cmp.Or(spotFirst(a, b), cmp.Compare(a.Name, b.Name))
	})
	return p.pass.idle
}

// spotFirst orders spot machines before ordinary ones.
func spotFirst(a, b *Machine) int {
	switch {
	case a.Spot == b.Spot:
		return 0
	case a.Spot:
		return -1
	default:
		return 1
	}
}
