package scheduler

import (
	"slices"
	"time"

	"heronwick/internal/placement"
	"heronwick/internal/queue"
	"heronwick/internal/remote"
	"heronwick/wire"
)

// scheduleLocked places what can be placed: by priority, then teams within
// their guarantee, then what can be in time, the least work first. A job that
// finds no room does not hold up the others.
func (s *Scheduler) scheduleLocked(now time.Time) {
	if !s.loaded || !s.permitted() {
		return
	}
	var waiting []*queue.Job
	for _, queued := range s.jobs {
		if queued.Pending() <= 0 {
			if queued.Requested == 0 {
				queued.UnplacedSince, queued.ImageWaitSince = time.Time{}, time.Time{}
			}
			continue
		}
		if queued.Eligible(now) {
			waiting = append(waiting, queued)
		}
	}
	if len(waiting) == 0 || !s.numbersLeftLocked(now) {
		return
	}
	// Guests take their turn: what they want is kept free until they ask again.
	for _, g := range s.hostedJobs {
		if g.OwnerUnplaced > 0 && now.Sub(g.OwnerAskedAt) < reservedFor {
			waiting = append(waiting, g)
		}
	}
	turns := queue.Sort(waiting, s.teams, now)
	s.beginPassLocked()
	// Among those whose turn is alike but for the work they have left, freed
	// room first goes to whom it saves a fetch; then to any, in order.
	for len(turns) > 0 {
		n := 1
		for n < len(turns) && turns[n].SameTurn(turns[0]) {
			n++
		}
		s.pass.deferred = false
		for _, t := range turns[:n] {
			s.serveLocked(t.Job, now, true)
		}
		for _, t := range turns[:n] {
			s.serveLocked(t.Job, now, false)
		}
		turns = turns[n:]
	}
}

// serveLocked gives a job what there is for it. With held, an array goes only
// where its image is.
func (s *Scheduler) serveLocked(queued *queue.Job, now time.Time, held bool) {
	switch {
	case queued.Hosted:
		s.reserveLocked(queued, now, held)
	case queued.Record.Job.Kind == wire.KindArray:
		s.placeJobLocked(queued, now, held)
	case !held:
	case queued.Record.Job.Kind == wire.KindGang:
		s.placeGangLocked(queued, now)
	default:
		s.placeJobLocked(queued, now, false)
	}
}

// defersFetchLocked tells whether a job leaves a machine that would have to fetch
// its image to others whose image it holds: for as long as the fetch would
// take, since then waiting has cost as much, and whenever one before it does.
func (s *Scheduler) defersFetchLocked(queued *queue.Job, now time.Time) bool {
	if queued.DeferredSince.IsZero() {
		queued.DeferredSince = now
	}
	if now.Sub(queued.DeferredSince) <= queued.ImageFetchTime {
		s.pass.deferred = true
	}
	return s.pass.deferred
}

// reservedFor is how long room kept for a guest waits for it; its owner asks again
// every remote.RetryAfter.
const reservedFor = 2 * remote.RetryAfter

// reserveLocked keeps free room for the tasks that a guest has asked for in
// vain: on open machines first, then on idle ones.
func (s *Scheduler) reserveLocked(g *queue.Job, now time.Time, held bool) {
	id := g.Record.Job.ID
	kept := s.reservedLocked(now)
	wants := min(g.OwnerUnplaced, maxRequestTasksPerJob) - kept[id]
	class, plain := placementClassOf(g)
	if wants <= 0 || plain && s.pass.full[class] || s.lacksRoomLocked(g.Size, now) {
		return
	}
	keep := func(m *machine) {
		for wants > 0 && (!held || m.HasImage(g.Record.Job.Image)) && s.fitsLocked(g, m, now) && g.Size.Within(s.roomLocked(m, "", now)) {
			m.reservations = append(m.reservations, reservation{job: id, size: g.Size, until: now.Add(reservedFor)})
			kept[id]++
			wants--
		}
	}
	for _, m := range s.list.Order() {
		keep(m)
	}
	// Also where nothing runs any more: whose tasks all end together would
	// otherwise never be a guest's.
	for _, m := range s.idleMachinesLocked(now) {
		if !s.list.Has(m) {
			keep(m)
		}
	}
	if plain && !held && wants > 0 {
		s.pass.full[class] = true
	}
}

// roomLocked is the machine's free room less what is kept for guests other
// than the job.
func (s *Scheduler) roomLocked(m *machine, job string, now time.Time) placement.Resources {
	s.lookLocked(m, now)
	room := m.free
	m.reservations = slices.DeleteFunc(m.reservations, func(k reservation) bool { return !now.Before(k.until) })
	for _, k := range m.reservations {
		if k.job != job {
			room = room.Minus(k.size)
		}
	}
	return room
}

// useReservation ends the keeping of room for one task of the job.
func (m *machine) useReservation(job string) {
	if i := slices.IndexFunc(m.reservations, func(k reservation) bool { return k.job == job }); i >= 0 {
		m.reservations = slices.Delete(m.reservations, i, i+1)
	}
}
