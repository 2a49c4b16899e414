package scheduler

import (
	"context"
	"errors"
	"slices"
	"sort"
	"time"

	"golang.org/x/time/rate"

	"heronwick/internal/fleet"
)

// probesPerCore is how many probes a second are sent for each core that this
// controller has. Without the bound a controller that answers late, and so takes
// its workers for silent, uses all of its time to probe them.
const probesPerCore = 1000

func probeRate(coreShare float64) *rate.Limiter {
	perSecond := probesPerCore * coreShare
	return limiter(perSecond, max(2*sampled, int(perSecond)))
}

// limiter allows so many events a second; 0: any number.
func limiter(perSecond float64, burst int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, burst)
	}
	return rate.NewLimiter(rate.Limit(perSecond), burst)
}

// silentAfter is how long a healthy worker can be silent: reports come every
// ReportEvery plus or minus a quarter, one may be lost and resent, and this
// controller may be late to read it.
func (s *Scheduler) silentAfter() time.Duration {
	every := s.opts.Settings.ReportEvery
	return every*5/4 + 750*time.Millisecond + min(s.latency(), every)
}

// deadAfter is when a silent worker that does not answer probes either counts
// as lost, and its machine is returned for proof: a report is surely missing.
func (s *Scheduler) deadAfter() time.Duration {
	return s.opts.Settings.ReportEvery*5/4 + 250*time.Millisecond
}

// probeAfter is how long a worker may be silent before it is asked: soon
// where replicas would be down, since the probes then end with deadAfter.
func (s *Scheduler) probeAfter(m *machine) time.Duration {
	if m.serves() {
		return s.probeServingAfter()
	}
	return s.silentAfter()
}

func (s *Scheduler) probeServingAfter() time.Duration {
	return s.deadAfter() - deadProbes*probeTimeout
}

// silent tells whether the worker has been silent for so long that it is asked.
func (s *Scheduler) silent(m *machine, now time.Time) bool {
	silence := now.Sub(m.LastHeartbeat)
	// Whether it serves is only looked up of those that may be silent.
	return silence > min(s.probeServingAfter(), s.silentAfter()) && silence > s.probeAfter(m)
}

// probeEvery is how long to wait between two probes of a worker: what could be
// learnt soon is known after a few, and hundreds may be silent for minutes.
func (s *Scheduler) probeEvery(m *machine) time.Duration {
	if m.failures <= 2*deadProbes {
		return probeTimeout
	}
	return max(probeTimeout, s.opts.Settings.ReportEvery/2)
}

// heartbeatIndex tells how many workers have sent a heartbeat since a given
// time, and of those that fail to answer probes, how many have not. It is made
// once for all machines that may be dead: hundreds can fail at once.
type heartbeatIndex struct {
	all   heartbeatTimes
	zones map[string]*heartbeatTimes
}

// heartbeatTimes are the times of the workers' last heartbeats, sorted: of all
// workers, and of those that fail to answer probes.
type heartbeatTimes struct {
	last, failing []time.Time
}

func (h *heartbeatTimes) add(m *machine) {
	h.last = append(h.last, m.LastHeartbeat)
	if m.failures > 0 {
		h.failing = append(h.failing, m.LastHeartbeat)
	}
}

func (h *heartbeatTimes) sort() {
	slices.SortFunc(h.last, time.Time.Compare)
	slices.SortFunc(h.failing, time.Time.Compare)
}

// since tells how many were heard after t, and how many of those that fail
// were not.
func (h *heartbeatTimes) since(t time.Time) (heard, failed int) {
	after := func(times []time.Time) int {
		return sort.Search(len(times), func(i int) bool { return times[i].After(t) })
	}
	return len(h.last) - after(h.last), after(h.failing)
}

func (s *Scheduler) heartbeatIndexLocked() *heartbeatIndex {
	c := &heartbeatIndex{zones: map[string]*heartbeatTimes{}}
	for _, m := range s.machines {
		zone := c.zones[m.Zone]
		if zone == nil {
			zone = &heartbeatTimes{}
			c.zones[m.Zone] = zone
		}
		c.all.add(m)
		zone.add(m)
	}
	c.all.sort()
	for _, zone := range c.zones {
		zone.sort()
	}
	return c
}

// silentForLong tells whether the worker has answered neither a report's time
// nor its probes.
func (s *Scheduler) silentForLong(m *machine, now time.Time) bool {
	return m.failures >= deadProbes && now.Sub(m.LastHeartbeat) > s.deadAfter()
}

// dead tells whether a worker that is silent for long counts as lost: most
// others that were asked or have reported since it began to fail have been
// heard. A controller that loses all its workers would otherwise return them
// one after the other. Where most of a zone is silent and the others are not,
// the zone is cut off: its machines are as they were when that ends, their
// images included, so they are kept for as long as new ones would take to serve.
func (s *Scheduler) dead(m *machine, c *heartbeatIndex, now time.Time) bool {
	allHeard, allFailed := c.all.since(m.failing)
	allFailed-- // itself
	if allHeard < min(len(s.machines)/2, 2*sampled) || allHeard < allFailed {
		return false
	}
	heard, failed := c.zones[m.Zone].since(m.failing)
	failed--
	cut := failed > heard && allHeard-heard > allFailed-failed
	return !cut || m.serves() || now.Sub(m.LastHeartbeat) > s.cutTimeout(m)
}

// serves tells whether replicas may be on the machine.
func (m *machine) serves() bool {
	for _, a := range m.Attempts.All() {
		if a.Service && !a.Exited() {
			return true
		}
	}
	return false
}

// unreachableForGood tells whether a worker whose reports arrive has answered nothing
// for so long that it counts as lost: its lease lapses, since replies do not
// reach it either, and what it is sent does not start.
func (s *Scheduler) unreachableForGood(m *machine, now time.Time) bool {
	return !m.unreachableSince.IsZero() && m.unansweredProbes >= deadProbes && !s.busy() && now.Sub(m.unreachableSince) > s.deadAfter()+deadProbes*probeTimeout && now.Sub(m.LastHeartbeat) <= s.silentAfter()
}

// stoppedReporting tells whether a worker that answers direct messages has not reported for
// most of a lease: it reaches no controller, so its lease lapses again and again.
func (s *Scheduler) stoppedReporting(m *machine, now time.Time) bool {
	return now.Sub(m.lastOwnReport) > s.opts.Settings.LeaseFor*3/4 && now.Sub(m.LastHeartbeat) <= s.silentAfter()
}

// stoppedReportingForGood tells whether it has been so for so long that another machine is
// worth its price.
func (s *Scheduler) stoppedReportingForGood(m *machine, now time.Time) bool {
	return s.stoppedReporting(m, now) && now.Sub(m.lastOwnReport) > 2*s.opts.Settings.LeaseFor
}

// cutTimeout is how long a machine in a zone that is cut off is kept: its
// tasks are gone once its lease has lapsed, and a new one takes a boot or two.
func (s *Scheduler) cutTimeout(m *machine) time.Duration {
	timeout := 2 * s.opts.Settings.LeaseFor
	if m.Type != nil {
		timeout += time.Duration(2 * m.Type.BootS * float64(time.Second))
	}
	return timeout
}

// sampled is how many other workers of each zone are asked when one fails to
// answer: enough to tell a cut, and no more work for a large fleet.
const sampled = 12

// fleetHealth summarizes one look at all machines: the failure detector judges
// each machine against it.
type fleetHealth struct {
	now time.Time
	// cutOff: it is rather this controller that is cut off from its workers.
	cutOff bool
	// reachable workers are those that have not failed to answer.
	reachable int
	// fewUnreachable and fewNotReporting: so few workers are that each is judged by itself.
	fewUnreachable, fewNotReporting bool
	index                           *heartbeatIndex // made when first needed
}

// few tells whether so few of the machines have something that it is theirs
// rather than this controller's.
func (s *Scheduler) few(count int) bool { return count <= max(2, len(s.machines)/3) }

func (s *Scheduler) fleetHealthLocked(now time.Time) *fleetHealth {
	silent, unreachable, notReporting := 0, 0, 0
	for _, m := range s.machines {
		silent += boolInt(m.failures >= 2)
		notReporting += boolInt(s.stoppedReporting(m, now))
		unreachable += boolInt(!m.unreachableSince.IsZero())
	}
	// Many at once: rather this controller is cut off than all of them dead, or
	// it is so busy that it does not hear them, and the next leader would be too.
	return &fleetHealth{now: now, cutOff: !s.few(silent) && !s.busy(), reachable: len(s.machines) - silent, fewUnreachable: s.few(unreachable), fewNotReporting: s.few(notReporting)}
}

// watchMachinesLocked probes silent workers, settles what leases or returns
// prove, drains what is noticed, and raises the token where only that helps.
func (s *Scheduler) watchMachinesLocked(now time.Time) {
	if !s.loaded || !s.permitted() {
		return
	}
	health := s.fleetHealthLocked(now)
	s.cut = health.cutOff
	s.resignIfCutLocked(health)
	raise := false
	token := s.opts.Authority.Token()
	back := map[string][]*machine{} // by why they are returned
	for _, m := range s.machines {
		s.probeIfSilentLocked(m, now)
		s.lapseIfDueLocked(m, now)
		if why := s.whyReturnLocked(m, health); why != "" {
			back[why] = append(back[why], m)
		}
		if !m.Notice.IsZero() || health.fewNotReporting && s.stoppedReporting(m, now) {
			s.drainLocked(m)
		}
		raise = raise || m.NeedsHigherFencingToken(token) || s.keptByLeftoversLocked(m, now)
	}
	for why, machines := range back {
		s.returnLocked(machines, why)
	}
	if raise {
		s.raiseLocked(now)
	}
}

// resignAfter is how long after an election workers still come to controllers that
// do not lead, also those that the leader reaches.
const resignAfter = 10 * time.Second

// resignIfCutLocked gives up leading where the workers that this controller
// cannot reach come to another. Soon after an election all workers do: then more
// must have come there than this controller reaches. Where many machines are gone
// for good, each leader otherwise resigned in turn, and none led for long enough
// to find out.
func (s *Scheduler) resignIfCutLocked(health *fleetHealth) {
	if !s.cut || !s.leadsLocked() || health.now.Sub(s.resigned) <= resignAfter {
		return
	}
	elsewhere := s.opts.Elsewhere()
	settled := health.now.Sub(s.ledSince) > resignAfter && elsewhere > len(s.machines)/3
	if settled || elsewhere > health.reachable {
		s.resigned = health.now
		s.goDo(s.opts.Resign)
	}
}

func (s *Scheduler) probeIfSilentLocked(m *machine, now time.Time) {
	asked := s.silent(m, now) || !m.unreachableSince.IsZero()
	if asked && now.Sub(m.probed) >= s.probeEvery(m) && !m.probing && s.probeRate.Allow() {
		s.probeLocked(m, now)
	}
}

// lapseIfDueLocked takes the proof that a silent worker's lease has run out.
func (s *Scheduler) lapseIfDueLocked(m *machine, now time.Time) {
	if m.ActiveCount() == 0 || now.Sub(m.LastHeartbeat) <= s.silentAfter() {
		return
	}
	if at, ok := s.lapseLocked(m); ok && !now.Before(at) {
		s.log.Info("lease lapsed", "machine", m.Name, "tasks", m.ActiveCount())
		s.handleLocked(m, m.MarkLeaseExpired())
	}
}

// whyReturnLocked tells why a machine is to be returned; "": it is not.
func (s *Scheduler) whyReturnLocked(m *machine, health *fleetHealth) string {
	now := health.now
	switch {
	case m.returning:
		return ""
	case m.condemned:
		return whyCondemned
	case s.silentForLong(m, now) && s.countsAsLost(m, health) && s.dead(m, s.heartbeatIndexOfLocked(health), now):
		return "lost"
	case s.overdueLocked(m, now):
		return whyOverdue
	case health.fewUnreachable && s.unreachableForGood(m, now):
		return "nothing reaches it"
	case m.suspect && m.ActiveCount() == 0:
		return "set aside"
	case health.fewNotReporting && m.ActiveCount() == 0 && s.stoppedReportingForGood(m, now):
		return "it reaches nobody"
	}
	return ""
}

// countsAsLost tells whether a silent worker may be judged by itself. While this
// controller is rather cut off from many, their machines are kept for as long as new
// ones would take to serve.
func (s *Scheduler) countsAsLost(m *machine, health *fleetHealth) bool {
	return !health.cutOff || health.now.Sub(m.LastHeartbeat) > s.cutTimeout(m)
}

// heartbeatIndexOfLocked returns the heartbeat index of health, made when first needed.
func (s *Scheduler) heartbeatIndexOfLocked(health *fleetHealth) *heartbeatIndex {
	if health.index == nil {
		health.index = s.heartbeatIndexLocked()
	}
	return health.index
}

// keptByLeftoversLocked tells whether exited attempts alone keep an idle machine
// from being given or returned.
func (s *Scheduler) keptByLeftoversLocked(m *machine, now time.Time) bool {
	return m.ActiveCount() == 0 && m.Attempts.Len() > 0 && now.Sub(s.epoch.at) > 20*time.Second && now.Sub(m.idleSince) > 2*time.Second
}

// raiseLocked raises the token, now and then.
func (s *Scheduler) raiseLocked(now time.Time) {
	if s.raising || now.Sub(s.raised) <= 2*time.Second {
		return
	}
	s.raising, s.raised = true, now
	s.goDo(func(ctx context.Context) {
		if err := s.opts.Authority.AdvanceEpoch(ctx); err != nil {
			s.log.Info("raising the token failed", "err", err)
		}
		s.mu.Lock()
		s.raising = false
		s.mu.Unlock()
	})
}

// lapseLocked returns when the lease of the machine's worker has surely run
// out: counted from the last answer that this or any other controller can
// have given, or from when its session began, with the drift of two clocks. A
// worker that reaches no controller starts session after session by itself, and
// takes direct commands in each.
func (s *Scheduler) lapseLocked(m *machine) (time.Time, bool) {
	last := m.LastReply
	if m.IncarnationSeenAt.After(last) {
		last = m.IncarnationSeenAt
	}
	if m.fence > 0 {
		fenced, ok := s.opts.Authority.FencedSince(m.fence)
		if !ok {
			return time.Time{}, false
		}
		if fenced.After(last) {
			last = fenced
		}
	}
	lease := s.opts.Settings.LeaseFor
	return last.Add(lease + lease/1000 + 200*time.Millisecond), true
}

// overdueLocked tells whether a cancelled job's task may still be there when
// it must be gone soon, and its lease does not surely lapse before.
func (s *Scheduler) overdueLocked(m *machine, now time.Time) bool {
	for _, a := range m.Attempts.All() {
		if a.MustGoBy.IsZero() || a.Exited() || now.Before(a.MustGoBy.Add(-3*time.Second)) {
			continue
		}
		if now.After(a.MustGoBy) {
			return true
		}
		if at, ok := s.lapseLocked(m); !ok || at.After(a.MustGoBy) {
			return true
		}
	}
	return false
}

func (s *Scheduler) probeLocked(m *machine, now time.Time) {
	if m.Address == "" {
		m.failures++
		m.probed = now
		return
	}
	m.probing, m.probed = true, now
	address, session, seq := m.Address, m.Incarnation, m.Seq
	s.goDo(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		report, err := s.opts.Workers.Status(ctx, address)
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		m.probing = false
		if !s.answeredLocked(m, err) {
			if errors.Is(err, fleet.ErrNoSocket) || s.busy() {
				return // it tells nothing of the worker
			}
			m.failures++
			m.unansweredProbes++
			if m.failures == 1 {
				m.failing = now
				s.probeSampleLocked(time.Now())
			}
			return
		}
		if report.Machine == m.Name && (report.Incarnation < session || report.Incarnation == session && report.Seq < seq) {
			// It answers with less than it has told before: another life of
			// the machine, without the tasks of the one before. Commands to
			// that one may still come to this one, and what they start lasts
			// for the lease with which this life began, so it is fenced.
			m.IncarnationSeenAt = time.Now()
			s.returnLocked([]*machine{m}, "its worker has started anew")
			return
		}
		s.applyLocked(m, report)
	})
}

// probeSampleLocked asks some workers of each zone that have not been heard for a
// moment: whether they answer tells if one worker is lost, a zone cut off, or
// this controller.
func (s *Scheduler) probeSampleLocked(now time.Time) {
	asked := map[string]int{}
	for _, m := range s.machines {
		if now.Sub(m.LastHeartbeat) > probeTimeout && now.Sub(m.probed) > probeTimeout && !m.probing && asked[m.Zone] < sampled && s.probeRate.Allow() {
			asked[m.Zone]++
			s.probeLocked(m, now)
		}
	}
}
