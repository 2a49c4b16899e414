package packing

import (
	"slices"
	"time"

	"heronwick/internal/placement"
	"heronwick/internal/queue"
	"heronwick/internal/remote"
)

// ReservationTimeout is how long room stays reserved for a hosted job. The job's owner
// repeats its placement request every remote.RetryAfter.
const ReservationTimeout = 2 * remote.RetryAfter

// Reserve reserves free room for those tasks of a hosted job that its owner could not
// place, for at most limit tasks: on open machines first, then on idle ones.
func (p *Packer) Reserve(hosted *queue.Job, limit int, images queue.ImagePolicy, now time.Time) {
	id := hosted.Record.Job.ID
	reserved := p.reserved(now)
	missing := min(hosted.OwnerUnplaced, limit) - reserved[id]
	if missing <= 0 || p.Full(hosted, now) {
		return
	}
	reserve := func(m *Machine) {
		for missing > 0 && p.mayReserve(hosted, m, images, now) {
			m.Reserve(id, hosted.Size, now)
			reserved[id]++
			missing--
		}
	}
	for _, m := range p.Open.Order() {
		reserve(m)
	}
	// Idle machines are reserved too: hosted jobs would otherwise never get room on
	// machines whose tasks all end at the same time.
	for _, m := range p.idleMachines(now) {
		if !p.Open.Has(m) {
			reserve(m)
		}
	}
	if images == queue.ImageOptional && missing > 0 {
		p.SetFull(hosted)
	}
}

// mayReserve reports whether the machine fits another task of the hosted job, in
// addition to all existing reservations.
func (p *Packer) mayReserve(hosted *queue.Job, m *Machine, images queue.ImagePolicy, now time.Time) bool {
	return (images == queue.ImageOptional || m.HasImage(hosted.Record.Job.Image)) && p.Fits(hosted, m, now) &&
		hosted.Size.Within(p.unreserved(m, "", now))
}

// unreserved returns the machine's free resources minus those reserved for jobs other
// than the given one. It also removes expired reservations.
func (p *Packer) unreserved(m *Machine, job string, now time.Time) placement.Resources {
	p.refresh(m, now)
	room := m.free
	m.reservations = slices.DeleteFunc(m.reservations, func(r reservation) bool { return !now.Before(r.until) })
	for _, r := range m.reservations {
		if r.job != job {
			room = room.Minus(r.size)
		}
	}
	return room
}

// reserved returns the number of unexpired reservations by hosted job.
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
