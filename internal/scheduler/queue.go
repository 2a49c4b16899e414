package scheduler

import (
	"cmp"
	"slices"
	"time"

	"heronwick/internal/fleet"
	"heronwick/internal/placement"
	"heronwick/wire"
)

// pending counts the job's tasks that are neither done nor possibly on a
// machine.
func (js *jobState) pending() int {
	return js.rec.Job.Tasks - js.done.Count - len(js.live)
}

// unplaced counts also those that another share is being asked to take.
func (js *jobState) unplaced() int { return js.pending() + js.asking }

// nextTask returns the next task to place and leaves it queued.
func (js *jobState) nextTask() (int, bool) {
	for len(js.retry) > 0 {
		i := js.retry[len(js.retry)-1]
		if js.live[i] == 0 && !js.done.Has(i) {
			return i, true
		}
		js.retry = js.retry[:len(js.retry)-1]
	}
	for js.next < js.rec.Job.Tasks {
		if js.live[js.next] == 0 && !js.done.Has(js.next) {
			return js.next, true
		}
		js.next++
	}
	return 0, false
}

// took removes the task that nextTask returned from the queue.
func (js *jobState) took() {
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

// served counts the job's tasks that are done or may be on a machine.
func (js *jobState) served() int {
	if js.guest {
		return js.rec.Job.Tasks - js.asked
	}
	return js.rec.Job.Tasks - js.pending()
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
	waited := now.Sub(js.begin)
	switch served := js.served(); {
	case served == 0 && waited > latestBegin/2:
		return notBegun
	case 2*served < js.rec.Job.Tasks && waited > latestBegin*3/4:
		return notHalf
	}
	estimate := time.Duration(js.rec.Job.EstimateS * float64(time.Second))
	soonest := now.Add(estimate / 2) // estimates are often wrong by half
	if soonest.Before(js.due) {
		return canBeInTime
	}
	longest := js.deadlineFor()
	for _, within := range js.within {
		longest = max(longest, within)
		if soonest.Before(js.begin.Add(within)) {
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
	tasks := js.pending()
	if js.guest {
		tasks = js.asked
	}
	return float64(tasks) * js.share * max(js.rec.Job.EstimateS, 1)
}

// scheduleLocked places what can be placed: by priority, then teams within
// their guarantee, then what can be in time, the least work first. A job that
// finds no room does not hold up the others.
func (s *Share) scheduleLocked(now time.Time) {
	if !s.loaded || !s.permitted() {
		return
	}
	var queue []*jobState
	for _, js := range s.jobs {
		if js.pending() <= 0 {
			if js.asking == 0 {
				js.waiting, js.wantsHeld = time.Time{}, time.Time{}
			}
			continue
		}
		if js.ready && !now.Before(js.notBefore) {
			queue = append(queue, js)
		}
	}
	if len(queue) == 0 {
		return
	}
	// Guests take their turn: what they want is kept free until they ask again.
	for _, g := range s.guests {
		if g.asked > 0 && now.Sub(g.askedAt) < reservedFor {
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
		s.pass.passedUp = false
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
func (s *Share) serveLocked(js *jobState, now time.Time, held bool) {
	switch {
	case js.guest:
		s.reserveLocked(js, now, held)
	case js.rec.Job.Kind == wire.KindArray:
		s.placeJobLocked(js, now, held)
	case !held:
	case js.rec.Job.Kind == wire.KindGang:
		s.placeGangLocked(js, now)
	default:
		s.placeJobLocked(js, now, false)
	}
}

// passesUpLocked tells whether a job leaves a machine that would have to fetch
// its image to others whose image it holds: for as long as the fetch would
// take, since then waiting has cost as much, and whenever one before it does.
func (s *Share) passesUpLocked(js *jobState, now time.Time) bool {
	if js.passedUp.IsZero() {
		js.passedUp = now
	}
	if now.Sub(js.passedUp) <= js.fetch {
		s.pass.passedUp = true
	}
	return s.pass.passedUp
}

// longestFetch bounds what is taken for the time of a fetch.
const longestFetch = 10 * time.Second

// fetchTime is about how long a machine takes to fetch a job's image.
func (s *Share) fetchTime(j *wire.Job) time.Duration {
	longest := time.Duration(0)
	for _, t := range s.types {
		if t.FetchGBPerS > 0 {
			longest = max(longest, time.Duration(j.ImageGB/t.FetchGBPerS*float64(time.Second)))
		}
	}
	return min(longest, longestFetch)
}

// reservedFor is how long room kept for a guest waits for it; its owner asks again
// every lendAgain.
const reservedFor = 2 * lendAgain

// reserveLocked keeps free room for the tasks that a guest has asked for in
// vain: on open machines first, then on idle ones.
func (s *Share) reserveLocked(g *jobState, now time.Time, held bool) {
	id := g.rec.Job.ID
	kept := s.reservedLocked(now)
	wants := min(g.asked, maxAskedPerJob) - kept[id]
	sh, plain := g.shapeOf()
	if wants <= 0 || plain && s.pass.full[sh] || s.lacksRoomLocked(g.size, now) {
		return
	}
	keep := func(m *machine) {
		for wants > 0 && (!held || m.HoldsImage(g.rec.Job.Image)) && s.fitsLocked(g, m, now) && g.size.Within(s.roomLocked(m, "", now)) {
			m.reservations = append(m.reservations, reservation{job: id, size: g.size, until: now.Add(reservedFor)})
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
		s.pass.full[sh] = true
	}
}

// roomLocked is the machine's free room less what is kept for guests other
// than the job.
func (s *Share) roomLocked(m *machine, job string, now time.Time) placement.Resources {
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

// turn is what decides when a job is served; the lower goes first.
type turn struct {
	js         *jobState
	rank       int
	guaranteed int
	urgency    int
	remaining  float64
}

// alike tells whether two jobs differ only in the work that is left.
func (t turn) alike(o turn) bool {
	return t.rank == o.rank && t.guaranteed == o.guaranteed && t.urgency == o.urgency
}

// sortQueueLocked puts jobs in the order in which they are served.
func (s *Share) sortQueueLocked(queue []*jobState, now time.Time) []turn {
	turns := make([]turn, len(queue))
	for i, js := range queue {
		turns[i] = turn{js: js, rank: js.rank, guaranteed: -boolInt(s.guaranteed(js)),
			urgency: js.urgency(now), remaining: js.remaining()}
		if turns[i].urgency <= starved {
			turns[i].remaining = -now.Sub(js.begin).Seconds()
		}
	}
	slices.SortFunc(turns, func(a, b turn) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.guaranteed, b.guaranteed), cmp.Compare(a.urgency, b.urgency),
			cmp.Compare(a.remaining, b.remaining), cmp.Compare(a.js.rec.Job.ID, b.js.rec.Job.ID))
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
func (s *Share) guaranteed(js *jobState) bool {
	if js.guest {
		return js.guestGuaranteed
	}
	t := s.teams[js.rec.Job.Team]
	after := s.used[js.rec.Job.Team].Plus(js.size)
	return after.CPUs <= t.CPUs && after.GPUs <= t.GPUs
}

// withinLimit tells whether one more task of the job stays within its team's
// limit, counting all that may still be on a machine.
func (s *Share) withinLimit(js *jobState) bool { return s.withinLimitBy(js, 1) }

func (s *Share) withinLimitBy(js *jobState, tasks int) bool {
	t := s.teams[js.rec.Job.Team]
	after := s.used[js.rec.Job.Team].Plus(js.size.Times(float64(tasks)))
	return (t.CPUsMax == 0 || after.CPUs <= t.CPUsMax) && (t.GPUsMax == 0 || after.GPUs <= t.GPUsMax)
}

// placeGangLocked places all tasks of a gang in one walk, opening machines as
// needed, or none: then its bookings are freed. While some tasks of an earlier
// try may still run, the others wait: without peers they end by themselves.
func (s *Share) placeGangLocked(js *jobState, now time.Time) {
	if len(js.live) > 0 || !s.withinLimitBy(js, js.pending()) {
		return
	}
	type booking struct {
		m     *machine
		a     *fleet.Attempt
		dirty bool // whether the machine's record was to be written anyway
	}
	var booked []booking
	for {
		index, ok := js.nextTask()
		if !ok {
			js.waiting = time.Time{}
			return
		}
		m, _ := s.findHeldLocked(js, now, false)
		if m == nil {
			m = s.findAnyLocked(js, now)
		}
		if m == nil {
			break
		}
		js.took()
		dirty := m.dirty
		a := s.placeLocked(js, index, m, now)
		if len(booked) > 0 {
			// Peers find each other by the number of their attempt.
			m.Attempts.Delete(a.Key)
			a.Attempt = booked[0].a.Attempt
			m.Attempts.Put(a)
		}
		booked = append(booked, booking{m, a, dirty})
	}
	if len(booked) > 0 { // there is more room again
		clear(s.pass.full)
		clear(s.pass.lacks)
	}
	// Without waking the scheduler or writing records: that would set off the
	// next try at once, for as long as the gang waits.
	for _, b := range slices.Backward(booked) {
		b.m.Attempts.Delete(b.a.Key)
		b.m.looked = 0
		b.m.dirty = b.dirty
		s.releaseLocked(b.a)
		s.closeIfEmptyLocked(b.m)
	}
	if js.waiting.IsZero() {
		js.waiting = now
	}
}

// placeJobLocked places a job's tasks as far as there is room. With held, they
// go where the job's image is, and elsewhere only once the job has passed up
// enough.
func (s *Share) placeJobLocked(js *jobState, now time.Time, held bool) {
	for {
		index, ok := js.nextTask()
		if !ok {
			if js.asking == 0 {
				js.waiting = time.Time{}
			}
			return
		}
		if !s.withinLimit(js) {
			js.waiting = time.Time{} // more machines would not help
			return
		}
		var m *machine
		sh, plain := js.shapeOf()
		if full := plain && s.pass.full[sh] || s.lacksRoomLocked(js.size, now); !full || js.service() {
			var wait bool
			m, wait = s.findHeldLocked(js, now, s.guaranteed(js))
			if wait || m == nil && s.awaitHeldLocked(js, now) {
				return
			}
			switch {
			case m != nil:
				js.passedUp = time.Time{}
			case full:
			case held && s.hasRoomLocked(js, now) && s.passesUpLocked(js, now):
				return
			default:
				m = s.findAnyLocked(js, now)
			}
		}
		if m == nil {
			if plain {
				s.pass.full[sh] = true
			}
			if js.waiting.IsZero() {
				js.waiting = now
			}
			s.preemptLocked(js, now, false, s.guaranteed(js))
			return
		}
		js.took()
		s.placeLocked(js, index, m, now)
	}
}

func (s *Share) fits(js *jobState, now time.Time) func(*machine) bool {
	return func(m *machine) bool { return s.fitsLocked(js, m, now) }
}

// findHeldLocked chooses among machines that hold the image, which come first
// since a fetch takes longer than all the rest of a start: the most recently
// used one that fits, else an idle one, which it opens. For a service, room is
// made on one of those before another machine fetches the image; wait tells
// that this is under way.
func (s *Share) findHeldLocked(js *jobState, now time.Time, guaranteed bool) (m *machine, wait bool) {
	if s.lacksRoomLocked(js.size, now) {
		return nil, js.service() && s.preemptLocked(js, now, true, guaranteed)
	}
	fits := s.fits(js, now)
	holds := func(m *machine) bool { return fits(m) && m.HoldsImage(js.rec.Job.Image) }
	service := js.rec.Job.Kind == wire.KindService
	first := holds
	if service {
		first = func(m *machine) bool { return holds(m) && s.belowHalfLocked(js, m) }
	}
	if m, ok := s.list.Walk(first); ok {
		return m, false
	}
	if idle := s.idleLocked(js, now); idle != nil && idle.HoldsImage(js.rec.Job.Image) {
		s.list.MoveToFront(idle)
		return idle, false
	}
	if !service {
		return nil, false
	}
	if m, ok := s.list.Walk(holds); ok {
		return m, false
	}
	return nil, s.preemptLocked(js, now, true, guaranteed)
}

// findAnyLocked chooses among all machines in the same way. Replicas stacked on one machine
// are all lost with it, and their images are then nowhere else: as long as
// another machine can take a replica, they fill half of one at most.
func (s *Share) findAnyLocked(js *jobState, now time.Time) *machine {
	if s.lacksRoomLocked(js.size, now) {
		return nil
	}
	fits := s.fits(js, now)
	idle := s.idleLocked(js, now)
	if js.rec.Job.Kind == wire.KindService {
		roomy := func(m *machine) bool { return fits(m) && s.belowHalfLocked(js, m) }
		if m, ok := s.list.Walk(roomy); ok {
			return m
		}
		if idle != nil {
			s.list.MoveToFront(idle)
			return idle
		}
	}
	if m, ok := s.list.Walk(fits); ok {
		return m
	}
	if idle != nil {
		s.list.MoveToFront(idle)
	}
	return idle
}

// hasRoomLocked tells whether any machine takes a task of the job.
func (s *Share) hasRoomLocked(js *jobState, now time.Time) bool {
	if s.lacksRoomLocked(js.size, now) {
		return false
	}
	if s.idleLocked(js, now) != nil {
		return true
	}
	_, ok := s.list.Find(s.fits(js, now))
	return ok
}

// heldPatience is how long a service's task waits for the other shares to say
// whether they have room beside its image, before it goes where that must be
// fetched.
const heldPatience = 300 * time.Millisecond

// awaitHeldLocked tells whether the other shares are still to be asked.
func (s *Share) awaitHeldLocked(js *jobState, now time.Time) bool {
	if js.rec.Job.Kind != wire.KindService || len(s.div.Members) < 2 {
		return false
	}
	if js.wantsHeld.IsZero() {
		js.wantsHeld = now
		time.AfterFunc(heldPatience, s.poke)
	}
	return now.Sub(js.wantsHeld) < heldPatience
}

// belowHalfLocked tells whether one more replica leaves services on at most
// half of the machine.
func (s *Share) belowHalfLocked(js *jobState, m *machine) bool {
	if m == nil || m.Type == nil {
		return false
	}
	sum := js.size
	for _, a := range m.Attempts.All() {
		if a.Service && !a.Exited() {
			sum = sum.Plus(a.Size)
		}
	}
	return sum.Within(placement.Capacity(m.Type).Times(0.5))
}

// acceptsLocked tells whether new tasks may go to the machine, if there is room.
func (s *Share) acceptsLocked(m *machine, now time.Time) bool {
	return s.synced(m) && m.Type != nil && !m.returning && !m.suspect && m.failures == 0 && m.unreachableSince.IsZero() &&
		m.Notice.IsZero() && !now.Before(m.cooling) && now.Sub(m.LastReport) < s.silentAfter() && !s.stoppedReporting(m, now)
}

// usableLocked tells whether new tasks may go to the machine at all.
func (s *Share) usableLocked(m *machine, now time.Time) bool {
	if !s.acceptsLocked(m, now) {
		return false
	}
	_, sized := m.Room()
	return sized
}

func (s *Share) fitsLocked(js *jobState, m *machine, now time.Time) bool {
	if s.lookLocked(m, now); !m.usable || !js.size.Within(m.free) {
		return false
	}
	return (len(m.reservations) == 0 || js.size.Within(s.roomLocked(m, js.rec.Job.ID, now))) && s.allowedLocked(js, m)
}

func (s *Share) allowedLocked(js *jobState, m *machine) bool {
	if !placement.Allows(&js.rec.Job, m.Place(), placement.Spread{ByZone: js.zones}) {
		return false
	}
	if js.failedOn[m.Name] && !js.mistaken() {
		return false
	}
	return m.Attempts.Len() < s.maxAttempts()
}

// placeLocked books a task on a machine. The attempt's number rises with each
// placement, across controllers and restarts, since tokens do.
func (s *Share) placeLocked(js *jobState, index int, m *machine, now time.Time) *fleet.Attempt {
	a := s.newAttempt(js, index)
	m.Add(a, now)
	m.looked = 0
	s.countLocked(m.Zone, a)
	m.dirty = true
	s.log.Debug("placed", "task", a.Task, "attempt", a.Attempt, "machine", m.Name, "image_held", m.HoldsImage(a.Image))
	return a
}

func (s *Share) newAttempt(js *jobState, index int) *fleet.Attempt {
	s.number = max(s.number+1, s.div.Token<<20)
	j := &js.rec.Job
	a := &fleet.Attempt{Key: fleet.Key{Task: wire.TaskID(j.ID, index), Attempt: s.number}, Job: j.ID, Index: index}
	s.describe(a, j, js.rank)
	return a
}

// victimsAfter is how soon tasks to stop are looked for again in vain: that
// looks at every task of the share.
const victimsAfter = 300 * time.Millisecond

// preemptLocked stops tasks to make room for one task of the job, as far as
// the rules of preemption permit, on the machine where that loses least; if
// so asked, only on machines that hold the job's image. It tells whether room
// is being made.
func (s *Share) preemptLocked(js *jobState, now time.Time, held, guaranteed bool) bool {
	if !s.mayPreemptAnyLocked(js, guaranteed) {
		return false
	}
	tried := &js.tried[boolInt(held)]
	if now.Sub(*tried) < victimsAfter {
		return false
	}
	// What was stopped a moment ago has not made its room yet.
	if now.Sub(js.preempted) < 2*time.Second && s.stoppingLocked() {
		return true
	}
	type choice struct {
		m       *machine
		victims []*fleet.Attempt
		cost    float64
	}
	var best *choice
	for _, m := range s.machines {
		if held && !m.HoldsImage(js.rec.Job.Image) || !s.usableLocked(m, now) || !s.allowedLocked(js, m) {
			continue
		}
		var may []*fleet.Attempt
		for _, a := range m.Attempts.All() {
			if !a.Exited() && !a.Stop && s.mayPreempt(js, a, guaranteed) {
				may = append(may, a)
			}
		}
		if len(may) == 0 {
			continue
		}
		slices.SortFunc(may, func(a, b *fleet.Attempt) int { return cmp.Compare(s.lossOf(a, now), s.lossOf(b, now)) })
		room := m.Free()
		c := choice{m: m}
		if !m.HoldsImage(js.rec.Job.Image) {
			c.cost += 10
		}
		for _, a := range may {
			if js.size.Within(room) {
				break
			}
			room = room.Plus(a.Size)
			c.victims = append(c.victims, a)
			c.cost += s.lossOf(a, now)
		}
		if js.size.Within(room) && len(c.victims) > 0 && (best == nil || c.cost < best.cost) {
			best = &c
		}
	}
	if best == nil {
		*tried = now
		return false
	}
	js.preempted = now
	if js.guest {
		best.m.reservations = append(best.m.reservations, reservation{job: js.rec.Job.ID, size: js.size, until: now.Add(reservedFor)})
	}
	for _, a := range best.victims {
		s.log.Info("preempting", "task", a.Task, "machine", best.m.Name, "for", js.rec.Job.ID)
		a.Stop = true
	}
	s.sendLocked(best.m)
	return true
}

// lossOf is what stopping an attempt loses, in seconds of work.
func (s *Share) lossOf(a *fleet.Attempt, now time.Time) float64 {
	if a.Running.IsZero() {
		return 0
	}
	return 1 + now.Sub(a.Running).Seconds()
}

func (s *Share) stoppingLocked() bool {
	for _, m := range s.machines {
		for _, a := range m.Attempts.All() {
			if a.Stop && !a.Exited() {
				return true
			}
		}
	}
	return false
}

// mayPreempt: a higher priority may stop a lower one, and a team that gets
// its guarantee may stop any work that another runs above its own. What a
// team of another share uses is not known here.
func (s *Share) mayPreempt(js *jobState, victim *fleet.Attempt, guaranteed bool) bool {
	if js.rank < victim.Rank {
		return true
	}
	if !guaranteed || victim.Guest || victim.Team == js.rec.Job.Team {
		return false
	}
	t, used := s.teams[victim.Team], s.used[victim.Team]
	return used.CPUs > t.CPUs && (t.CPUs > 0 || t.CPUsMax > 0)
}
