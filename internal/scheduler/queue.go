package scheduler

import (
	"cmp"
	"slices"
	"time"

	"heronwick/internal/placement"
	"heronwick/internal/remote"
	"heronwick/wire"
)

// Pending counts the job's tasks that are neither done nor possibly on a
// machine.
func (js *jobState) Pending() int {
	return js.Record.Job.Tasks - js.Done.Count - len(js.live)
}

// Unplaced counts also those that another share is being asked to take.
func (js *jobState) Unplaced() int { return js.Pending() + js.Requested }

// NextTask returns the next task to place and leaves it queued.
func (js *jobState) NextTask() (int, bool) {
	for len(js.retry) > 0 {
		i := js.retry[len(js.retry)-1]
		if js.live[i] == 0 && !js.Done.Has(i) {
			return i, true
		}
		js.retry = js.retry[:len(js.retry)-1]
	}
	for js.next < js.Record.Job.Tasks {
		if js.live[js.next] == 0 && !js.Done.Has(js.next) {
			return js.next, true
		}
		js.next++
	}
	return 0, false
}

// Dequeue removes the task that nextTask returned from the queue.
func (js *jobState) Dequeue() {
	if len(js.retry) > 0 {
		js.retry = js.retry[:len(js.retry)-1]
		return
	}
	js.next++
}

// starvedAfter is how many times its objective a job may wait behind others
// of its priority that can still be in time.
const starvedAfter = 10

// latestBegin is when the tasks of any job must have begun to run, however
// large it is and however much else waits: the least remaining work first would
// serve the largest last. From half of it on, a job none of whose tasks is on a
// machine yet comes before all others of its priority, the oldest first; from
// three quarters of it on come those of which less than half has been served,
// which in an overload that stays would never be.
const latestBegin = 4 * time.Minute

// Served counts the job's tasks that are done or may be on a machine.
func (js *jobState) Served() int {
	if js.Hosted {
		return js.Record.Job.Tasks - js.OwnerUnplaced
	}
	return js.Record.Job.Tasks - js.Pending()
}

// The urgency of a job among those of its priority, the most urgent first. When
// more is asked than the machines can do, whoever serves late jobs first makes
// every job late.
const (
	notBegun = iota // for long
	notHalf         // served, for longer
	starved         // for very long
	canBeInTime
	late
)

// urgency orders jobs of one priority.
func (js *jobState) urgency(now time.Time) int {
	waited := now.Sub(js.EligibleAt)
	switch served := js.Served(); {
	case served == 0 && waited > latestBegin/2:
		return notBegun
	case 2*served < js.Record.Job.Tasks && waited > latestBegin*3/4:
		return notHalf
	}
	estimate := time.Duration(js.Record.Job.EstimateS * float64(time.Second))
	soonest := now.Add(estimate / 2) // estimates are often wrong by half
	if soonest.Before(js.Deadline) {
		return canBeInTime
	}
	longest := js.timeToDeadline()
	for _, within := range js.Objectives {
		longest = max(longest, within)
		if soonest.Before(js.EligibleAt.Add(within)) {
			return canBeInTime
		}
	}
	if waited > starvedAfter*longest {
		return starved
	}
	return late
}

// remaining is the work left to place. The job with the least goes first:
// that makes the most jobs end in time.
func (js *jobState) remaining() float64 {
	tasks := js.Pending()
	if js.Hosted {
		tasks = js.OwnerUnplaced
	}
	return float64(tasks) * js.DominantShare * max(js.Record.Job.EstimateS, 1)
}

// scheduleLocked places what can be placed: by priority, then teams within
// their guarantee, then what can be in time, the least work first. A job that
// finds no room does not hold up the others.
func (s *Scheduler) scheduleLocked(now time.Time) {
	if !s.loaded || !s.permitted() {
		return
	}
	var queue []*jobState
	for _, js := range s.jobs {
		if js.Pending() <= 0 {
			if js.Requested == 0 {
				js.UnplacedSince, js.ImageWaitSince = time.Time{}, time.Time{}
			}
			continue
		}
		if js.Ready && !now.Before(js.NotBefore) {
			queue = append(queue, js)
		}
	}
	if len(queue) == 0 || !s.numbersLeftLocked(now) {
		return
	}
	// Guests take their turn: what they want is kept free until they ask again.
	for _, g := range s.hostedJobs {
		if g.OwnerUnplaced > 0 && now.Sub(g.OwnerAskedAt) < reservedFor {
			queue = append(queue, g)
		}
	}
	turns := s.sortQueueLocked(queue, now)
	s.beginPassLocked()
	// Among those whose turn is alike but for the work they have left, freed
	// room first goes to whom it saves a fetch; then to any, in order.
	for len(turns) > 0 {
		n := 1
		for n < len(turns) && turns[n].alike(turns[0]) {
			n++
		}
		s.cycle.passedUp = false
		for _, t := range turns[:n] {
			s.serveLocked(t.js, now, true)
		}
		for _, t := range turns[:n] {
			s.serveLocked(t.js, now, false)
		}
		turns = turns[n:]
	}
}

// serveLocked gives a job what there is for it. With held, an array goes only
// where its image is.
func (s *Scheduler) serveLocked(js *jobState, now time.Time, held bool) {
	switch {
	case js.Hosted:
		s.reserveLocked(js, now, held)
	case js.Record.Job.Kind == wire.KindArray:
		s.placeJobLocked(js, now, held)
	case !held:
	case js.Record.Job.Kind == wire.KindGang:
		s.placeGangLocked(js, now)
	default:
		s.placeJobLocked(js, now, false)
	}
}

// passesUpLocked tells whether a job leaves a machine that would have to fetch
// its image to others whose image it holds: for as long as the fetch would
// take, since then waiting has cost as much, and whenever one before it does.
func (s *Scheduler) passesUpLocked(js *jobState, now time.Time) bool {
	if js.DeferredSince.IsZero() {
		js.DeferredSince = now
	}
	if now.Sub(js.DeferredSince) <= js.ImageFetchTime {
		s.cycle.passedUp = true
	}
	return s.cycle.passedUp
}

// longestFetch bounds what is taken for the time of a fetch.
const longestFetch = 10 * time.Second

// fetchTime is about how long a machine takes to fetch a job's image.
func (s *Scheduler) fetchTime(j *wire.Job) time.Duration {
	longest := time.Duration(0)
	for _, t := range s.types {
		if t.FetchGBPerS > 0 {
			longest = max(longest, time.Duration(j.ImageGB/t.FetchGBPerS*float64(time.Second)))
		}
	}
	return min(longest, longestFetch)
}

// reservedFor is how long room kept for a guest waits for it; its owner asks again
// every remote.RetryAfter.
const reservedFor = 2 * remote.RetryAfter

// reserveLocked keeps free room for the tasks that a guest has asked for in
// vain: on open machines first, then on idle ones.
func (s *Scheduler) reserveLocked(g *jobState, now time.Time, held bool) {
	id := g.Record.Job.ID
	kept := s.reservedLocked(now)
	wants := min(g.OwnerUnplaced, maxRequestTasksPerJob) - kept[id]
	sh, plain := g.placementClass()
	if wants <= 0 || plain && s.cycle.full[sh] || s.lacksRoomLocked(g.Size, now) {
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
		s.cycle.full[sh] = true
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

// queueEntry is what decides when a job is served; the lower goes first.
type queueEntry struct {
	js         *jobState
	rank       int
	guaranteed int
	urgency    int
	remaining  float64
}

// alike tells whether two jobs differ only in the work that is left.
func (t queueEntry) alike(o queueEntry) bool {
	return t.rank == o.rank && t.guaranteed == o.guaranteed && t.urgency == o.urgency
}

// sortQueueLocked puts jobs in the order in which they are served.
func (s *Scheduler) sortQueueLocked(queue []*jobState, now time.Time) []queueEntry {
	turns := make([]queueEntry, len(queue))
	for i, js := range queue {
		turns[i] = queueEntry{js: js, rank: js.EffectivePriority, guaranteed: -boolInt(s.guaranteed(js)),
			urgency: js.urgency(now), remaining: js.remaining()}
		if turns[i].urgency <= starved {
			turns[i].remaining = -now.Sub(js.EligibleAt).Seconds()
		}
	}
	slices.SortFunc(turns, func(a, b queueEntry) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.guaranteed, b.guaranteed), cmp.Compare(a.urgency, b.urgency),
			cmp.Compare(a.remaining, b.remaining), cmp.Compare(a.js.Record.Job.ID, b.js.Record.Job.ID))
	})
	for i := range turns {
		queue[i] = turns[i].js
	}
	return turns
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// guaranteed tells whether one more task of the job stays within its team's
// guarantee.
func (s *Scheduler) guaranteed(js *jobState) bool {
	if js.Hosted {
		return js.OwnerGuaranteed
	}
	t := s.teams[js.Record.Job.Team]
	after := s.used[js.Record.Job.Team].Plus(js.Size)
	return after.CPUs <= t.CPUs && after.GPUs <= t.GPUs
}

// withinLimit tells whether one more task of the job stays within its team's
// limit, counting all that may still be on a machine.
func (s *Scheduler) withinLimit(js *jobState) bool { return s.withinLimitBy(js, 1) }

func (s *Scheduler) withinLimitBy(js *jobState, tasks int) bool {
	t := s.teams[js.Record.Job.Team]
	after := s.used[js.Record.Job.Team].Plus(js.Size.Times(float64(tasks)))
	return (t.CPUsMax == 0 || after.CPUs <= t.CPUsMax) && (t.GPUsMax == 0 || after.GPUs <= t.GPUsMax)
}
