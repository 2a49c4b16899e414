package packing

import (
	"iter"
	"time"

	"heronwick/internal/placement"
	"heronwick/internal/queue"
)

// Scheduler is the part of the owning scheduler that a Packer uses. Its methods are
// called with the scheduler's lock held.
type Scheduler interface {
	// Machines yields all machines of the scheduler, in no particular order.
	Machines() iter.Seq[*Machine]
	// AnyMachine reports whether condition is true for any machine. It takes a
	// function because it is called for each placed task, where the allocations of
	// an iterator would cost noticeable time.
	AnyMachine(condition func(*Machine) bool) bool
	// Owns reports whether the scheduler still owns the machine.
	Owns(m *Machine) bool
	// MaxAttempts returns the maximum number of attempts on one machine that have not
	// exited.
	MaxAttempts() int
}

// Packer chooses machines for tasks.
type Packer struct {
	// Open lists the machines that have tasks, the most recently used first.
	Open      placement.List[*Machine]
	scheduler Scheduler
	pass      pass
}

// New returns a Packer for the machines of the scheduler, with no machine open.
func New(scheduler Scheduler) *Packer { return &Packer{scheduler: scheduler} }

// Fits reports whether the machine is allowed for the next task of the job and has
// room for it that is not reserved for other jobs.
func (p *Packer) Fits(queued *queue.Job, m *Machine, now time.Time) bool {
	if p.refresh(m, now); !m.usable || !queued.Size.Within(m.free) {
		return false
	}
	return (len(m.reservations) == 0 || queued.Size.Within(p.unreserved(m, queued.Record.Job.ID, now))) && p.Allows(queued, m)
}

// Allows reports whether the next task of the job may be placed on the machine,
// regardless of room.
func (p *Packer) Allows(queued *queue.Job, m *Machine) bool {
	if !placement.Allows(&queued.Record.Job, m.Pool(), placement.Spread{ByZone: queued.Zones}) {
		return false
	}
	if queued.Avoids(m.Name) {
		return false
	}
	return m.ActiveCount() < p.scheduler.MaxAttempts()
}

// fits returns Fits for one job as a predicate on machines.
func (p *Packer) fits(queued *queue.Job, now time.Time) func(*Machine) bool {
	return func(m *Machine) bool { return p.Fits(queued, m, now) }
}

// FindWithImage returns a machine that holds the job's image, or nil if none fits.
// Such machines are searched before all others, since fetching the image takes longer
// than all other steps of a task's start. The most recently used open machine that
// fits comes first, then an idle one, which is opened. For a service, machines of
// which services take at most half are preferred.
func (p *Packer) FindWithImage(queued *queue.Job, now time.Time) *Machine {
	if p.noMachineHasRoom(queued.Size, now) {
		return nil
	}
	fits := p.fits(queued, now)
	fitsWithImage := func(m *Machine) bool { return fits(m) && m.HasImage(queued.Record.Job.Image) }
	preferred := fitsWithImage
	if queued.IsService() {
		preferred = func(m *Machine) bool { return fitsWithImage(m) && m.servicesBelowHalf(queued.Size) }
	}
	if m, ok := p.Open.FindAndMoveToFront(preferred); ok {
		return m
	}
	if idle := p.FindIdle(queued, now); idle != nil && idle.HasImage(queued.Record.Job.Image) {
		p.Open.MoveToFront(idle)
		return idle
	}
	if queued.IsService() {
		if m, ok := p.Open.FindAndMoveToFront(fitsWithImage); ok {
			return m
		}
	}
	return nil
}

// FindAny returns a machine for the job in the same order as FindWithImage, whether or
// not it holds the image. Replicas take at most half of a machine as long as another
// machine can take them: if one machine held them all, its failure would stop all of
// them, and no other machine would have their images cached.
func (p *Packer) FindAny(queued *queue.Job, now time.Time) *Machine {
	if p.noMachineHasRoom(queued.Size, now) {
		return nil
	}
	fits := p.fits(queued, now)
	idle := p.FindIdle(queued, now)
	if queued.IsService() {
		belowHalf := func(m *Machine) bool { return fits(m) && m.servicesBelowHalf(queued.Size) }
		if m, ok := p.Open.FindAndMoveToFront(belowHalf); ok {
			return m
		}
		if idle != nil {
			p.Open.MoveToFront(idle)
			return idle
		}
	}
	if m, ok := p.Open.FindAndMoveToFront(fits); ok {
		return m
	}
	if idle != nil {
		p.Open.MoveToFront(idle)
	}
	return idle
}

// FindIdle returns an idle machine for the job without opening it, or nil if none
// fits. Machines that hold the job's image are preferred.
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

// HasRoom reports whether any machine fits the next task of the job.
func (p *Packer) HasRoom(queued *queue.Job, now time.Time) bool {
	if p.noMachineHasRoom(queued.Size, now) {
		return false
	}
	if p.FindIdle(queued, now) != nil {
		return true
	}
	_, ok := p.Open.Find(p.fits(queued, now))
	return ok
}
