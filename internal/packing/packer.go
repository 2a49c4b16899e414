package packing

import (
	"iter"
	"time"

	"heronwick/internal/placement"
	"heronwick/internal/queue"
)

// Scheduler is what a Packer needs of the scheduler that it belongs to. It is called
// with the scheduler's lock held.
type Scheduler interface {
	// Machines yields all machines of the scheduler, in no order.
	Machines() iter.Seq[*Machine]
	// AnyMachine reports whether condition holds for any machine. It is called for
	// each task that is placed, where an iterator's allocations would show.
	AnyMachine(condition func(*Machine) bool) bool
	// Owns reports whether a machine is still among them.
	Owns(m *Machine) bool
	// MaxAttempts is how many attempts a machine may have.
	MaxAttempts() int
}

// Packer finds machines for tasks.
type Packer struct {
	// Open are the machines with tasks, the most recently used first.
	Open      placement.List[*Machine]
	scheduler Scheduler
	pass      pass
}

// New returns a Packer for the machines of scheduler, none of them open.
func New(scheduler Scheduler) *Packer { return &Packer{scheduler: scheduler} }

// Fits reports whether the next task of the job may go to the machine and finds
// room there beside what is reserved for others.
func (p *Packer) Fits(queued *queue.Job, m *Machine, now time.Time) bool {
	if p.observe(m, now); !m.usable || !queued.Size.Within(m.free) {
		return false
	}
	return (len(m.reservations) == 0 || queued.Size.Within(p.unreserved(m, queued.Record.Job.ID, now))) && p.Allows(queued, m)
}

// Allows reports whether the next task of the job may go to the machine, whether
// or not there is room.
func (p *Packer) Allows(queued *queue.Job, m *Machine) bool {
	if !placement.Allows(&queued.Record.Job, m.Place(), placement.Spread{ByZone: queued.Zones}) {
		return false
	}
	if queued.Avoids(m.Name) {
		return false
	}
	return m.Attempts.Len() < p.scheduler.MaxAttempts()
}

// fits returns Fits for one job, to walk the machines with.
func (p *Packer) fits(queued *queue.Job, now time.Time) func(*Machine) bool {
	return func(m *Machine) bool { return p.Fits(queued, m, now) }
}

// FindWithImage chooses among machines that hold the job's image, which come first
// since a fetch takes longer than all the rest of a start: the most recently
// used one that fits, else an idle one, which it opens. A service goes to one
// that is not half full of services before others. It returns nil if there is
// none.
func (p *Packer) FindWithImage(queued *queue.Job, now time.Time) *Machine {
	if p.lacksRoom(queued.Size, now) {
		return nil
	}
	fits := p.fits(queued, now)
	holds := func(m *Machine) bool { return fits(m) && m.HasImage(queued.Record.Job.Image) }
	preferred := holds
	if queued.IsService() {
		preferred = func(m *Machine) bool { return holds(m) && m.belowHalf(queued.Size) }
	}
	if m, ok := p.Open.Walk(preferred); ok {
		return m
	}
	if idle := p.FindIdle(queued, now); idle != nil && idle.HasImage(queued.Record.Job.Image) {
		p.Open.MoveToFront(idle)
		return idle
	}
	if queued.IsService() {
		if m, ok := p.Open.Walk(holds); ok {
			return m
		}
	}
	return nil
}

// FindAny chooses among all machines in the same way. Replicas stacked on one
// machine are all lost with it, and their images are then nowhere else: as long
// as another machine can take a replica, they fill half of one at most.
func (p *Packer) FindAny(queued *queue.Job, now time.Time) *Machine {
	if p.lacksRoom(queued.Size, now) {
		return nil
	}
	fits := p.fits(queued, now)
	idle := p.FindIdle(queued, now)
	if queued.IsService() {
		roomy := func(m *Machine) bool { return fits(m) && m.belowHalf(queued.Size) }
		if m, ok := p.Open.Walk(roomy); ok {
			return m
		}
		if idle != nil {
			p.Open.MoveToFront(idle)
			return idle
		}
	}
	if m, ok := p.Open.Walk(fits); ok {
		return m
	}
	if idle != nil {
		p.Open.MoveToFront(idle)
	}
	return idle
}

// FindIdle returns the idle machine to open for the job, without opening it: one
// that holds its image before others; nil if there is none.
func (p *Packer) FindIdle(queued *queue.Job, now time.Time) *Machine {
	var first *Machine
	for _, m := range p.idleMachines(now) {
		if p.Open.Has(m) || !p.scheduler.Owns(m) || !p.Fits(queued, m, now) {
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

// HasRoom reports whether any machine takes a task of the job.
func (p *Packer) HasRoom(queued *queue.Job, now time.Time) bool {
	if p.lacksRoom(queued.Size, now) {
		return false
	}
	if p.FindIdle(queued, now) != nil {
		return true
	}
	_, ok := p.Open.Find(p.fits(queued, now))
	return ok
}
