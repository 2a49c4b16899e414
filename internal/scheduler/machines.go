package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"golang.org/x/time/rate"

	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/fleet"
	"heronwick/internal/placement"
	"heronwick/internal/state"
	"heronwick/wire"
)

const (
	probeTimeout = 700 * time.Millisecond
	// deadProbes is how many probes in a row must go unanswered.
	deadProbes = 3
	// keepWarm is how long an idle machine is kept for what may come.
	keepWarm = 5 * time.Minute
	// keepUnused is how long it is kept while there are no jobs at all.
	keepUnused = 30 * time.Second
	// listEvery is how often the cloud's list is read.
	listEvery = 5 * time.Second
)

// booting is a machine that was rented and whose worker has not reported.
type booting struct {
	place placement.Place
	since time.Time // when it was rented
	seen  time.Time // when this share first knew of it
}

// refusal remembers that the cloud had no such machine.
type refusal struct {
	until time.Time
	wait  time.Duration
}

// probesPerCore is how many probes a second are sent for each core that this
// controller has. Without the bound a controller that answers late, and so takes
// its workers for silent, uses all of its time to probe them.
const probesPerCore = 1000

func probeRate(coreShare float64) *rate.Limiter {
	if coreShare <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	perSecond := probesPerCore * coreShare
	return rate.NewLimiter(rate.Limit(perSecond), max(2*sampled, int(perSecond)))
}

// busyLatency is the scheduling latency from which on a missing answer says more
// of this controller than of the worker.
const busyLatency = 100 * time.Millisecond

// latency is how long goroutines of this process lately waited for the processor.
func (s *Share) latency() time.Duration {
	if s.opts.Latency == nil {
		return 0
	}
	return s.opts.Latency()
}

// busyFor is how long a delay of the share's own loop counts: as long as a
// command waits for its answer, and the probes after it.
const busyFor = commandTimeout + deadProbes*probeTimeout

// noteDelay takes how long the loop waited for the share's lock, or held it:
// whoever reads an answer meanwhile waits for it too.
func (s *Share) noteDelay(delay time.Duration) {
	if delay > busyLatency {
		s.busyUntil.Store(time.Now().Add(busyFor).UnixNano())
	}
}

// busy tells whether this controller is too short of processor time to judge by
// an answer's absence.
func (s *Share) busy() bool {
	return s.latency() > busyLatency || time.Now().UnixNano() < s.busyUntil.Load()
}

// silentAfter is how long a healthy worker can be silent: reports come every
// ReportEvery plus or minus a quarter, one may be lost and resent, and this
// controller may be late to read it.
func (s *Share) silentAfter() time.Duration {
	every := s.opts.Settings.ReportEvery
	return every*5/4 + 750*time.Millisecond + min(s.latency(), every)
}

// deadAfter is when a silent worker that does not answer probes either counts
// as lost, and its machine is returned for proof: a report is surely missing.
func (s *Share) deadAfter() time.Duration {
	return s.opts.Settings.ReportEvery*5/4 + 250*time.Millisecond
}

// probeAfter is how long a worker may be silent before it is asked: soon
// where replicas would be down, since the probes then end with deadAfter.
func (s *Share) probeAfter(m *machine) time.Duration {
	if m.serves() {
		return s.deadAfter() - deadProbes*probeTimeout
	}
	return s.silentAfter()
}

// probeEvery is how long to wait between two probes of a worker: what could be
// learnt soon is known after a few, and hundreds may be silent for minutes.
func (s *Share) probeEvery(m *machine) time.Duration {
	if m.failures <= 2*deadProbes {
		return probeTimeout
	}
	return max(probeTimeout, s.opts.Settings.ReportEvery/2)
}

// census tells how many workers were last heard since when, and of those that
// fail to answer, how many were not. It is taken once for all that may be dead:
// hundreds can fail at once.
type census struct {
	all   hearing
	zones map[string]*hearing
}

// hearing is when workers were last heard, of all and of those that fail, in
// order.
type hearing struct {
	last, failing []time.Time
}

func (h *hearing) add(m *machine) {
	h.last = append(h.last, m.LastReport)
	if m.failures > 0 {
		h.failing = append(h.failing, m.LastReport)
	}
}

func (h *hearing) sort() {
	slices.SortFunc(h.last, time.Time.Compare)
	slices.SortFunc(h.failing, time.Time.Compare)
}

// since tells how many were heard after t, and how many of those that fail
// were not.
func (h *hearing) since(t time.Time) (heard, failed int) {
	after := func(times []time.Time) int {
		return sort.Search(len(times), func(i int) bool { return times[i].After(t) })
	}
	return len(h.last) - after(h.last), after(h.failing)
}

func (s *Share) censusLocked() *census {
	c := &census{zones: map[string]*hearing{}}
	for _, m := range s.machines {
		zone := c.zones[m.Zone]
		if zone == nil {
			zone = &hearing{}
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
func (s *Share) silentForLong(m *machine, now time.Time) bool {
	return m.failures >= deadProbes && now.Sub(m.LastReport) > s.deadAfter()
}

// dead tells whether a worker that is silent for long counts as lost: most
// others that were asked or have reported since it began to fail have been
// heard. A controller that loses all its workers would otherwise return them
// one after the other. Where most of a zone is silent and the others are not,
// the zone is cut off: its machines are as they were when that ends, their
// images included, so they are kept for as long as new ones would take to serve.
func (s *Share) dead(m *machine, c *census, now time.Time) bool {
	allHeard, allFailed := c.all.since(m.failing)
	allFailed-- // itself
	if allHeard < min(len(s.machines)/2, 2*sampled) || allHeard < allFailed {
		return false
	}
	heard, failed := c.zones[m.Zone].since(m.failing)
	failed--
	cut := failed > heard && allHeard-heard > allFailed-failed
	return !cut || m.serves() || now.Sub(m.LastReport) > s.cutPatience(m)
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

// deafForGood tells whether a worker whose reports arrive has answered nothing
// for so long that it counts as lost: its lease lapses, since replies do not
// reach it either, and what it is sent does not start.
func (s *Share) deafForGood(m *machine, now time.Time) bool {
	return !m.deaf.IsZero() && m.unanswered >= deadProbes && !s.busy() && now.Sub(m.deaf) > s.deadAfter()+deadProbes*probeTimeout && now.Sub(m.LastReport) <= s.silentAfter()
}

// mute tells whether a worker that answers direct messages has not reported for
// most of a lease: it reaches no controller, so its lease lapses again and again.
func (s *Share) mute(m *machine, now time.Time) bool {
	return now.Sub(m.heard) > s.opts.Settings.LeaseFor*3/4 && now.Sub(m.LastReport) <= s.silentAfter()
}

// muteForGood tells whether it has been so for so long that another machine is
// worth its price.
func (s *Share) muteForGood(m *machine, now time.Time) bool {
	return s.mute(m, now) && now.Sub(m.heard) > 2*s.opts.Settings.LeaseFor
}

// cutPatience is how long a machine in a zone that is cut off is kept: its
// tasks are gone once its lease has lapsed, and a new one takes a boot or two.
func (s *Share) cutPatience(m *machine) time.Duration {
	patience := 2 * s.opts.Settings.LeaseFor
	if m.Type != nil {
		patience += time.Duration(2 * m.Type.BootS * float64(time.Second))
	}
	return patience
}

// sampled is how many other workers of each zone are asked when one fails to
// answer: enough to tell a cut, and no more work for a large fleet.
const sampled = 12

// watchMachinesLocked probes silent workers, settles what leases or returns
// prove, drains what is noticed, and raises the token where only that helps.
func (s *Share) watchMachinesLocked(now time.Time) {
	if !s.loaded || !s.permitted() {
		return
	}
	silent, deaf, mute := 0, 0, 0
	for _, m := range s.machines {
		if m.failures >= 2 {
			silent++
		}
		if s.mute(m, now) {
			mute++
		}
		if !m.deaf.IsZero() {
			deaf++
		}
	}
	// Many at once: rather this controller is cut off than all of them dead, or
	// it is so busy that it does not hear them, and the next leader would be too.
	cut := silent > max(2, len(s.machines)/3) && !s.busy()
	s.cut = cut
	if cut && s.leadsLocked() && now.Sub(s.resigned) > 10*time.Second && s.opts.Elsewhere() > len(s.machines)/3 {
		s.resigned = now
		s.goDo(s.opts.Resign)
	}
	raise := false
	token := s.opts.Authority.Token()
	back := map[string][]*machine{} // by why they are returned
	var heard *census
	for _, m := range s.machines {
		silence := now.Sub(m.LastReport)
		if (silence > s.probeAfter(m) || !m.deaf.IsZero()) && now.Sub(m.probed) >= s.probeEvery(m) && !m.probing && s.probeRate.Allow() {
			s.probeLocked(m, now)
		}
		if m.Live() > 0 && silence > s.silentAfter() {
			if at, ok := s.lapseLocked(m); ok && !now.Before(at) {
				s.log.Info("lease lapsed", "machine", m.Name, "tasks", m.Live())
				s.handleLocked(m, m.Lapsed())
			}
		}
		dead := false
		if !cut && !m.returning && s.silentForLong(m, now) {
			if heard == nil {
				heard = s.censusLocked()
			}
			dead = s.dead(m, heard, now)
		}
		switch {
		case m.returning:
		case dead:
			back["lost"] = append(back["lost"], m)
		case s.overdueLocked(m, now):
			back["a cancelled task may still be on it"] = append(back["a cancelled task may still be on it"], m)
		case deaf <= max(2, len(s.machines)/3) && s.deafForGood(m, now):
			back["nothing reaches it"] = append(back["nothing reaches it"], m)
		case m.suspect && m.Live() == 0:
			back["set aside"] = append(back["set aside"], m)
		case mute <= max(2, len(s.machines)/3) && m.Live() == 0 && s.muteForGood(m, now):
			back["it reaches nobody"] = append(back["it reaches nobody"], m)
		}
		if !m.Notice.IsZero() || mute <= max(2, len(s.machines)/3) && s.mute(m, now) {
			s.drainLocked(m)
		}
		raise = raise || m.WantsToken(token)
		// Leftovers alone keep an idle machine from being given or returned.
		raise = raise || m.Live() == 0 && m.Attempts.Len() > 0 && now.Sub(s.div.at) > 20*time.Second && now.Sub(m.idleSince) > 2*time.Second
	}
	for why, machines := range back {
		s.returnLocked(machines, why)
	}
	if raise && !s.raising && now.Sub(s.raised) > 2*time.Second {
		s.raising, s.raised = true, now
		s.goDo(func(ctx context.Context) {
			if err := s.opts.Authority.Raise(ctx); err != nil {
				s.log.Info("raising the token failed", "err", err)
			}
			s.mu.Lock()
			s.raising = false
			s.mu.Unlock()
		})
	}
}

// lapseLocked returns when the lease of the machine's worker has surely run
// out: counted from the last answer that this or any other controller can
// have given, or from when its session began, with the drift of two clocks. A
// worker that reaches no controller starts session after session by itself, and
// takes direct commands in each.
func (s *Share) lapseLocked(m *machine) (time.Time, bool) {
	last := m.LastAnswer
	if m.SessionAt.After(last) {
		last = m.SessionAt
	}
	if m.fence > 0 {
		fenced, ok := s.opts.Authority.Fenced(m.fence)
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
func (s *Share) overdueLocked(m *machine, now time.Time) bool {
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

// logLoadLocked tells an operator how full the share is.
func (s *Share) logLoadLocked(now time.Time) {
	usable, open, tasks, waiting := 0, 0, 0, 0
	for _, m := range s.machines {
		tasks += m.Live()
		if s.list.Has(m) {
			open++
		}
		if s.usableLocked(m, now) {
			usable++
		}
	}
	_, total, free := s.statusLocked(now)
	for _, js := range s.jobs {
		waiting += js.pending()
	}
	s.log.Info("load", "jobs", len(s.jobs), "lent", len(s.foreign), "waiting", waiting, "tasks", tasks, "machines", len(s.machines), "usable", usable,
		"open", open, "booting", len(s.booting), "cpus", total.CPUs, "free_cpus", free.CPUs, "free_memory_gb", free.MemoryGB,
		"latency", s.latency(), "passes", s.passes.count, "pass_time", s.passes.total, "longest_pass", s.passes.longest)
	s.passes = passTimes{}
}

func (s *Share) probeLocked(m *machine, now time.Time) {
	if m.Address == "" {
		m.failures++
		m.probed = now
		return
	}
	m.probing, m.probed = true, now
	address, session, seq := m.Address, m.Session, m.Seq
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
			m.unanswered++
			if m.failures == 1 {
				m.failing = now
				s.sweepLocked(time.Now())
			}
			return
		}
		if report.Machine == m.Name && (report.Session < session || report.Session == session && report.Seq < seq) {
			// It answers with less than it has told before: another life of
			// the machine, without the tasks of the one before. Commands to
			// that one may still come to this one, so it is fenced.
			s.returnLocked([]*machine{m}, "its worker has started anew")
			return
		}
		s.applyLocked(m, report)
	})
}

// sweepLocked asks some workers of each zone that have not been heard for a
// moment: whether they answer tells if one worker is lost, a zone cut off, or
// this controller.
func (s *Share) sweepLocked(now time.Time) {
	asked := map[string]int{}
	for _, m := range s.machines {
		if now.Sub(m.LastReport) > probeTimeout && now.Sub(m.probed) > probeTimeout && !m.probing && asked[m.Zone] < sampled && s.probeRate.Allow() {
			asked[m.Zone]++
			s.probeLocked(m, now)
		}
	}
}

// drainLocked empties a machine that the cloud will take away, or whose lease
// will lapse: replicas move at once, and what can save is stopped in time. The
// rest runs on: it may finish before, and stopping it would lose it anyway.
func (s *Share) drainLocked(m *machine) {
	for _, a := range m.Attempts.All() {
		if a.Stop || a.Exited() || !a.Sized {
			continue
		}
		if a.Service || a.GraceS > 0 || a.Running.IsZero() {
			s.log.Info("draining", "task", a.Task, "machine", m.Name)
			a.Stop = true
			s.sendLocked(m)
		}
	}
}

// returnLocked gives machines back. When the cloud says so, they and all that
// was on them are gone.
func (s *Share) returnLocked(machines []*machine, why string) {
	var names []string
	for _, m := range machines {
		if m.returning || len(names) == wire.MaxReturn {
			continue
		}
		m.returning = true
		names = append(names, m.Name)
		s.log.Info("returning machine", "machine", m.Name, "why", why, "tasks", m.Live(), "suspect", m.suspect)
	}
	if len(names) == 0 {
		return
	}
	s.goDo(func(ctx context.Context) {
		for {
			err := s.opts.Cloud.Return(ctx, names)
			if err == nil {
				break
			}
			s.log.Info("returning machines failed, trying again", "machines", names, "err", err)
			if !pause(ctx, 300*time.Millisecond+rand.N(400*time.Millisecond)) {
				return
			}
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		now := time.Now()
		for _, name := range names {
			s.returned[name] = now
			delete(s.booting, name)
			if m := s.machines[name]; m != nil {
				s.goneLocked(m)
			}
		}
		s.poke()
	})
}

// goneLocked drops a machine that was returned.
func (s *Share) goneLocked(m *machine) {
	s.handleLocked(m, m.Gone())
	s.list.Close(m)
	s.leavePageLocked(m)
	delete(s.machines, m.Name)
	if _, named := s.opts.Authority.OwnerOf(m.Name); named {
		// Whoever takes over what is ours must not take it for a machine.
		s.gone = append(s.gone, m.Name)
	}
}

// maxGone bounds the machines of one message that they are gone.
const maxGone = 500

// tellGoneLocked tells the other controllers which machines are gone, many in
// one write.
func (s *Share) tellGoneLocked() {
	if s.telling || len(s.gone) == 0 || !s.loaded {
		return
	}
	s.telling = true
	names := s.gone[:min(len(s.gone), maxGone)]
	machines := map[string]json.RawMessage{}
	for _, name := range names {
		machines[name] = json.RawMessage("null")
	}
	s.goDo(func(ctx context.Context) {
		err := s.transfer(ctx, "", machines, state.Background)
		if err != nil {
			pause(ctx, 500*time.Millisecond)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.telling = false
		if err == nil {
			s.gone = s.gone[len(names):]
		}
	})
}

// runCloud reads the cloud's list, rents and returns.
func (s *Share) runCloud(ctx context.Context) error {
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	var listed time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		s.mu.Lock()
		leads := s.leadsLocked()
		s.mu.Unlock()
		if !leads {
			continue // one controller asks the cloud, so that its limit holds
		}
		if now := time.Now(); now.Sub(listed) > listEvery {
			listed = now
			machines, err := s.opts.Cloud.List(ctx)
			if err != nil {
				s.log.Info("listing machines failed", "err", err)
			} else {
				s.takeList(machines, time.Now())
			}
		}
		s.mu.Lock()
		s.returnIdleLocked(time.Now())
		s.mu.Unlock()
		s.rent(ctx)
	}
}

// takeList takes the cloud's list. It lags: a machine that is missing may be
// up, and one that is listed may be gone.
func (s *Share) takeList(machines []wire.Machine, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var failed, stuck []string
	for _, lm := range machines {
		if s.isGoneLocked(lm.ID) {
			continue
		}
		if node, owned := s.opts.Authority.Home(lm.ID); owned && node != s.opts.Node {
			delete(s.booting, lm.ID)
			continue // its owner looks after it
		}
		age := time.Duration(lm.AgeS * float64(time.Second))
		if lm.State == wire.MachineFailed {
			failed = append(failed, lm.ID)
			continue
		}
		if s.machines[lm.ID] != nil {
			continue
		}
		b := s.booting[lm.ID]
		if b == nil {
			b = &booting{place: placement.Place{Type: lm.Type, Zone: lm.Zone, Spot: lm.Spot}, since: now.Add(-age), seen: now}
			s.booting[lm.ID] = b
		}
	}
	for id, b := range s.booting {
		// Up already, perhaps, and only its worker has not come to a new
		// leader yet: a list lags, and by up to double its usual lag.
		if now.Sub(b.since) > s.bootLimit(b.place.Type) && now.Sub(b.seen) > 2*s.opts.Settings.ListLag+s.deadAfter() {
			stuck = append(stuck, id)
		}
	}
	s.returnNamesLocked(failed, "failed")
	s.returnNamesLocked(stuck, "never came up")
}

// bootLimit is when a machine that has not come up is given back: some take
// several times as long as usual, a few for ever.
func (s *Share) bootLimit(typeName string) time.Duration {
	boot := 30 * time.Second
	if t := s.types[typeName]; t != nil {
		boot = time.Duration(t.BootS * float64(time.Second))
	}
	return 3*boot + 2*s.opts.Settings.ListLag
}

// returnNamesLocked gives back machines that may have no worker.
func (s *Share) returnNamesLocked(names []string, why string) {
	var known []*machine
	for _, name := range names {
		m := s.machines[name]
		if m == nil {
			m = s.addMachineLocked(fleet.NewMachine(name), time.Now())
		}
		known = append(known, m)
	}
	s.returnLocked(known, why)
}

// statusLocked sums what the share has.
func (s *Share) statusLocked(now time.Time) (idle int, total, free placement.Resources) {
	for _, m := range s.machines {
		if !s.usableLocked(m, now) {
			continue
		}
		total, free = total.Plus(placement.Capacity(m.Type)), free.Plus(m.Free())
		if m.Live() == 0 {
			idle++
		}
	}
	return idle, total, free
}

// summary is what the peers are told of the share.
type summary struct {
	machines, idle int
	cpus, freeCPUs float64
	cut            bool
	overloaded     bool
	wants          []*peerpb.Want
}

// summarizeEvery is how often the summary is made: as often as heartbeats go out
// to each of two peers.
const summarizeEvery = 500 * time.Millisecond

func (s *Share) summarizeLocked(now time.Time) {
	idle, total, free := s.statusLocked(now)
	s.summary.Store(&summary{machines: len(s.machines), idle: idle, cpus: total.CPUs, freeCPUs: free.CPUs,
		cut: s.cut, overloaded: s.overloadedLocked(now), wants: s.wantsLocked(now)})
}

// Status fills in what the peers are told of the share, as last summarized. It
// takes no lock: a heartbeat must not wait behind passes and reports, or a busy
// controller is taken for dead.
func (s *Share) Status(status *peerpb.Status) {
	sum := s.summary.Load()
	if sum == nil {
		return
	}
	status.Machines, status.Idle = uint32(sum.machines), uint32(sum.idle)
	status.Cpus, status.FreeCpus, status.Cut = sum.cpus, sum.freeCPUs, sum.cut
	status.Overloaded, status.Wants = sum.overloaded, sum.wants
}

// returnIdleLocked gives back a machine that has been idle for long, if more
// are idle than are wanted in reserve.
func (s *Share) returnIdleLocked(now time.Time) {
	if !s.loaded || !s.permitted() {
		return
	}
	var idle []*machine
	for _, m := range s.machines {
		if m.returning || m.Live() > 0 || m.Attempts.Len() > 0 || m.dirty || m.writing() || !s.synced(m) {
			continue
		}
		idle = append(idle, m)
	}
	if len(idle) <= s.spare {
		return
	}
	slices.SortFunc(idle, func(a, b *machine) int { return a.idleSince.Compare(b.idleSince) })
	back, warm := idle[:1], keepWarm
	if len(s.opts.Jobs.AllActive()) == 0 {
		// Nobody wants anything, so only the reserve is worth its price.
		back, warm = idle[:len(idle)-s.spare], keepUnused
	}
	back = slices.DeleteFunc(back, func(m *machine) bool { return now.Sub(m.idleSince) <= warm })
	s.returnLocked(back, "idle")
}
