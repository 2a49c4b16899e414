package packing

import (
	"slices"
	"time"

	"heronwick/internal/placement"
	"heronwick/internal/queue"
	"heronwick/internal/remote"
)

// ReservationTimeout is how long room is reserved for a hosted job; its owner
// requests it again every remote.RetryAfter.
const ReservationTimeout = 2 * remote.RetryAfter

// Reserve reserves free room for the tasks of a hosted job that found none, at
// most for limit of them: on open machines first, then on idle ones.
func (p *Packer) Reserve(hosted *queue.Job, limit int, images queue.ImagePolicy, now time.Time) {
	id := hosted.Record.Job.ID
	reserved := p.reserved(now)
	wants := min(hosted.OwnerUnplaced, limit) - reserved[id]
	if wants <= 0 || p.Full(hosted, now) {
		return
	}
	reserve := func(m *Machine) {
		for wants > 0 && p.mayReserve(hosted, m, images, now) {
			m.Reserve(id, hosted.Size, now)
			reserved[id]++
			wants--
		}
	}
	for _, m := range p.Open.Order() {
		reserve(m)
	}
	// Also where nothing runs any more: machines whose tasks all end together
	// would otherwise never be for hosted jobs.
	for _, m := range p.idleMachines(now) {
		if !p.Open.Has(m) {
			reserve(m)
		}
	}
	if images == queue.ImageOptional && wants > 0 {
		p.SetFull(hosted)
	}
}

// mayReserve reports whether the machine has room, beside all reservations, for
// another task of the hosted job.
func (p *Packer) mayReserve(hosted *queue.Job, m *Machine, images queue.ImagePolicy, now time.Time) bool {
	return (images == queue.ImageOptional || m.HasImage(hosted.Record.Job.Image)) && p.Fits(hosted, m, now) &&
		hosted.Size.Within(p.unreserved(m, "", now))
}

// unreserved is the machine's free room less what is reserved for other jobs
// than the given one.
func (p *Packer) unreserved(m *Machine, job string, now time.Time) placement.Resources {
	p.observe(m, now)
	room := m.free
	m.reservations = slices.DeleteFunc(m.reservations, func(r reservation) bool { return !now.Before(r.until) })
	for _, r := range m.reservations {
		if r.job != job {
			room = room.Minus(r.size)
		}
	}
	return room
}

// reserved counts the tasks of hosted jobs that room is reserved for, by job.
func (p *Packer) reserved(now time.Time) map[string]int {
	if p.pass.reserved != nil {
		return p.pass.reserved
	}
	p.pass.reserved = map[string]int{}
	for m := range p.scheduler.Machines() {
		for _, r := range m.reservations {
			if now.Before(r.until) {
				p.pass.reserved[r.job]++
			}
		}
	}
	return p.pass.reserved
}
