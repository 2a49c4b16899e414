package packing

import (
	"cmp"
	"slices"
	"time"

	"heronwick/internal/placement"
	"heronwick/internal/queue"
)

// pass is what one pass over the queue has found out and need not find out
// again for each task of each job: nothing but its own placements changes
// meanwhile. It never changes which machine is chosen, only how often one is
// examined.
type pass struct {
	number uint64
	idle   []*Machine                   // usable and not open, in the order of opening; nil: not searched yet
	full   map[taskClass]bool           // no machine takes a task of the class
	lacks  map[placement.Resources]bool // no machine has room for the size, wherever it may go
	// reserved counts, by job, the hosted tasks that room is reserved for; nil:
	// not counted yet.
	reserved map[string]int
}

// taskClass is all that decides where a task may go, of jobs that are not bound
// to where their other tasks are.
type taskClass struct {
	size  placement.Resources
	spot  bool
	zone  string
	types string
}

// classOf returns the class of a job's tasks; ok is false for a job whose tasks
// are bound to more than that.
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

// BeginPass forgets what the last pass has found.
func (p *Packer) BeginPass() {
	p.pass = pass{number: p.pass.number + 1, full: map[taskClass]bool{}, lacks: map[placement.Resources]bool{}}
}

// RoomFreed notes that there is more room again than the pass has found.
func (p *Packer) RoomFreed() {
	clear(p.pass.full)
	clear(p.pass.lacks)
}

// Full reports whether the pass has found that no machine takes a task of the job.
func (p *Packer) Full(queued *queue.Job, now time.Time) bool {
	class, ok := classOf(queued)
	return ok && p.pass.full[class] || p.lacksRoom(queued.Size, now)
}

// SetFull notes that no machine takes a task of the job.
func (p *Packer) SetFull(queued *queue.Job) {
	if class, ok := classOf(queued); ok {
		p.pass.full[class] = true
	}
}

// lacksRoom reports whether no machine has room for a task of the size: it need
// not be walked for, whatever it is bound to.
func (p *Packer) lacksRoom(size placement.Resources, now time.Time) bool {
	if p.pass.lacks[size] {
		return true
	}
	hasRoom := func(m *Machine) bool {
		p.observe(m, now)
		return m.usable && size.Within(m.free)
	}
	if p.scheduler.AnyMachine(hasRoom) {
		return false
	}
	p.pass.lacks[size] = true
	return true
}

// observe brings up to date what the pass knows of a machine.
func (p *Packer) observe(m *Machine, now time.Time) {
	if m.observed == p.pass.number && m.observed > 0 {
		return
	}
	m.observed, m.usable, m.free = p.pass.number, m.accepts(now), placement.Resources{}
	if m.usable {
		m.free, m.usable = m.Room()
	}
}

// idleMachines returns the machines that were usable and not open when the
// pass first needed them, spot ones before ordinary ones, which other jobs may need,
// then by name.
func (p *Packer) idleMachines(now time.Time) []*Machine {
	if p.pass.idle != nil {
		return p.pass.idle
	}
	p.pass.idle = []*Machine{}
	for m := range p.scheduler.Machines() {
		if p.Open.Has(m) {
			continue
		}
		if p.observe(m, now); m.usable {
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
