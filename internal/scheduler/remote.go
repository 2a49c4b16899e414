package scheduler

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/fleet"
	"heronwick/internal/job"
	"heronwick/internal/placement"
	"heronwick/internal/wait"
	"heronwick/wire"
)

// A task that finds no room in its share may go to a machine of another: the
// job's owner asks, the machine's owner places it in its own list. The owner
// of the job decides on further attempts and records what is done; the owner
// of the machine records what may be on it and commands its worker.

// remoteAttempt is an attempt of one of this scheduler's jobs that may be on a
// machine of another controller.
type remoteAttempt struct {
	*fleet.Attempt
	host  string
	since uint64 // the host's membership; if that is over, the leader has its machines
	asked bool   // the request is under way: asking about it would bar it
}

// peerRequestState is the placement request under way with one peer, and when
// the peer may be asked again.
type peerRequestState struct {
	busy bool
	next time.Time // not again before then
	// soonest: not even for a service that looks for room beside its image
	soonest time.Time
}

const (
	remotePlaceTimeout = time.Second
	settleEvery        = 400 * time.Millisecond
	// maxSettled bounds the attempts of one request: all of a large fleet in one
	// would exceed what gRPC takes as a message, and hold the host's lock for long.
	maxSettled = 8192
	// maxAsked bounds the tasks of one request.
	maxAsked = 48
	// maxAskedPerJob bounds those of one job in it.
	maxAskedPerJob = 16
	// retryPeerAfter is how soon a peer without room is asked again.
	retryPeerAfter = 400 * time.Millisecond
	// deniedFor is how long an attempt that was denied can not be taken; no
	// request is under way for longer, and none survives its epoch.
	deniedFor = 10 * time.Minute
)

func sizeOf(f job.Outcome) placement.Resources {
	return placement.Resources{CPUs: f.CPUs, GPUs: f.GPUs, MemoryGB: f.MemoryGB}
}

// trackRemoteLocked counts an attempt that may be on another's machine.
func (s *Scheduler) trackRemoteLocked(a *fleet.Attempt, host, zone string) {
	if s.remote[a.Key] != nil {
		return
	}
	s.remote[a.Key] = &remoteAttempt{Attempt: a, host: host, since: s.epoch.Members[host].Since}
	s.countLocked(zone, a)
}

// forgetRemoteLocked drops a lent attempt: it is surely gone, or not this
// share's to count any more.
func (s *Scheduler) forgetRemoteLocked(f *remoteAttempt) {
	delete(s.remote, f.Key)
	s.uncountLocked(f.Attempt)
}

// placeRemotelyLocked asks the other shares for room for what waits: the leader first,
// which has the idle machines.
func (s *Scheduler) placeRemotelyLocked(now time.Time) {
	if !s.loaded || !s.permitted() || len(s.epoch.Members) < 2 || !s.numbersLeftLocked(now) {
		return
	}
	var waiting []*jobState
	held := false
	for _, js := range s.jobs {
		looks := now.Sub(js.wantsHeld) < heldPatience
		if (looks || !js.waiting.IsZero()) && js.pending() > 0 && s.withinLimit(js) && !now.Before(js.notBefore) && !js.mistaken() {
			waiting = append(waiting, js)
			held = held || looks
		}
	}
	if len(waiting) == 0 {
		return
	}
	s.sortQueueLocked(waiting, now)
	nodes := []string{s.epoch.Leader}
	for node := range s.epoch.Members {
		if node != s.epoch.Leader {
			nodes = append(nodes, node)
		}
	}
	slices.Sort(nodes[1:])
	for _, node := range nodes {
		if node == s.opts.Node {
			continue
		}
		ask := s.peerRequests[node]
		if ask == nil {
			ask = &peerRequestState{}
			s.peerRequests[node] = ask
		}
		if ask.busy || !held && now.Before(ask.next) || now.Before(ask.soonest) {
			continue
		}
		s.requestPlacementLocked(node, ask, waiting, now)
	}
}

// requestPlacementLocked asks one peer for room. The tasks count as placed
// remotely before the request goes out: without an answer the peer may have
// taken them.
func (s *Scheduler) requestPlacementLocked(node string, ask *peerRequestState, waiting []*jobState, now time.Time) {
	req := s.placeRequestLocked(node, waiting)
	if len(req.Wanted) == 0 {
		return
	}
	ask.busy = true
	s.goDo(func(ctx context.Context) {
		cctx, cancel := context.WithTimeout(ctx, remotePlaceTimeout)
		reply, err := s.opts.Peers.Place(cctx, node, req)
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.takePlaceReplyLocked(node, ask, req, reply, err)
	})
}

// placeRequestLocked builds a request for room for at most maxAsked tasks of
// the waiting jobs, maxAskedPerJob of each, and tracks each as a remote
// attempt on node.
func (s *Scheduler) placeRequestLocked(node string, waiting []*jobState) *peerpb.PlaceRequest {
	req := &peerpb.PlaceRequest{Node: s.opts.Node, Token: s.epoch.Token}
	asked := 0
	for _, js := range waiting {
		if asked >= maxAsked {
			break
		}
		w := s.wantedLocked(js, node, maxAsked-asked)
		asked += len(w.Attempts)
		if len(w.Attempts) > 0 {
			req.Wanted = append(req.Wanted, w)
		}
	}
	return req
}

// wantedLocked takes up to budget next tasks of js, maxAskedPerJob at most,
// as new attempts that are asked of node.
func (s *Scheduler) wantedLocked(js *jobState, node string, budget int) *peerpb.Wanted {
	w := &peerpb.Wanted{Job: js.rec.Job.ID, Guaranteed: s.guaranteed(js), Pending: uint32(js.unplaced()), Zones: map[string]uint32{},
		Held: js.waiting.IsZero()}
	for zone, n := range js.zones {
		if n > 0 {
			w.Zones[zone] = uint32(n)
		}
	}
	for len(w.Attempts) < budget && len(w.Attempts) < maxAskedPerJob && s.withinLimit(js) {
		index, ok := js.nextTask()
		if !ok {
			break
		}
		js.took()
		js.asking++
		a := s.newAttempt(js, index)
		s.trackRemoteLocked(a, node, "")
		s.remote[a.Key].asked = true
		w.Attempts = append(w.Attempts, &peerpb.Attempt{Task: a.Task, Attempt: a.Attempt})
	}
	return w
}

// takePlaceReplyLocked takes the peer's answer to req: the attempts that it
// took move to their zone, the others are forgotten. Without an answer (err),
// they stay tracked: asking what became of them settles them.
func (s *Scheduler) takePlaceReplyLocked(node string, ask *peerRequestState, req *peerpb.PlaceRequest, reply *peerpb.PlaceReply, err error) {
	ask.busy = false
	now := time.Now()
	ask.next, ask.soonest = now.Add(retryPeerAfter), now.Add(100*time.Millisecond)
	if err != nil {
		s.log.Debug("asking for room failed", "peer", node, "err", err)
		ask.next = now.Add(time.Second)
	}
	taken := map[fleet.Key]*peerpb.Hosted{}
	for _, h := range reply.GetTaken() {
		taken[fleet.Key{Task: h.Attempt.Task, Attempt: h.Attempt.Attempt}] = h
	}
	for _, w := range req.Wanted {
		for _, at := range w.Attempts {
			s.takePlacedAttemptLocked(node, w.Job, fleet.Key{Task: at.Task, Attempt: at.Attempt}, taken, err)
		}
	}
	if len(taken) > 0 || reply.GetGiven() > 0 || reply.GetMaking() {
		ask.next, ask.soonest = now.Add(50*time.Millisecond), now
	}
	s.poke()
}

// takePlacedAttemptLocked settles one attempt of a request for room by the
// answer: taken holds those that the peer took.
func (s *Scheduler) takePlacedAttemptLocked(node, job string, key fleet.Key, taken map[fleet.Key]*peerpb.Hosted, err error) {
	if js := s.jobs[job]; js != nil {
		js.asking--
	}
	f := s.remote[key]
	if f != nil {
		f.asked = false
	}
	if f == nil || err != nil {
		return // without an answer, asking what became of it settles it
	}
	if h := taken[key]; h != nil {
		s.moveZoneLocked(f, h.Zone)
		s.log.Debug("placed remotely", "task", key.Task, "attempt", key.Attempt, "to", node)
		return
	}
	s.forgetRemoteLocked(f)
}

// moveZoneLocked notes in which zone a lent attempt is.
func (s *Scheduler) moveZoneLocked(f *remoteAttempt, zone string) {
	if !f.Counted || f.Zone == zone {
		return
	}
	if js := s.jobs[f.Job]; js != nil {
		js.zones[f.Zone]--
		js.zones[zone]++
	}
	f.Zone = zone
}

// Place takes tasks of another share's jobs, as far as they find room here;
// an idle machine goes to the asking share as a whole instead.
func (s *Scheduler) Place(req *peerpb.PlaceRequest) *peerpb.PlaceReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := &peerpb.PlaceReply{}
	if !s.opts.PlaceRequests.Newer(req) {
		return reply // a late copy: what it asks for may have been taken, ended and taken elsewhere since
	}
	if !s.loaded || !s.permitted() || req.Token > s.epoch.Token || req.Token < s.epoch.from || s.opts.Authority.Token() != s.epoch.Token {
		return reply // not of one mind about who owns what
	}
	reply.Ready = true
	now := time.Now()
	s.beginPassLocked()
	overloaded := s.opts.Authority.PeerLoads()[req.Node].Overloaded
	for _, w := range req.Wanted {
		s.placeWantedLocked(req.Node, overloaded, w, reply, now)
	}
	if len(reply.Taken) > 0 {
		s.poke()
	}
	return reply
}

// PlaceRequestHistory remembers, by peer, the newest attempt that a placement
// request has named, however it was answered and whether a Scheduler was
// running: what was refused is placed elsewhere, and a late copy must not be
// taken then (ran_twice). It lasts as long as the process; requests to an
// earlier incarnation are from before this one's membership. Its zero value
// is ready to use and it is safe for concurrent use.
type PlaceRequestHistory struct {
	mu     sync.Mutex
	newest map[string]uint64 // by peer, the newest attempt that it has asked about
}

// Newer tells whether all attempts that a peer asks about are newer than those
// of its requests before: their numbers rise, and it asks once for each.
func (r *PlaceRequestHistory) Newer(req *peerpb.PlaceRequest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.newest[req.Node]
	newest := before
	for _, w := range req.Wanted {
		for _, at := range w.Attempts {
			if at.Attempt <= before {
				return false
			}
			newest = max(newest, at.Attempt)
		}
	}
	if r.newest == nil {
		r.newest = map[string]uint64{}
	}
	r.newest[req.Node] = newest
	return true
}

// placeWantedLocked places what one job asks for. An asker that is overloaded is
// given no machine as a whole.
func (s *Scheduler) placeWantedLocked(from string, overloaded bool, w *peerpb.Wanted, reply *peerpb.PlaceReply, now time.Time) {
	r := s.opts.Jobs.Active(w.Job)
	if r == nil || s.epoch.OwnerOf(r.Job.Team, r.Job.ID) != from {
		return
	}
	g := s.guests[w.Job]
	if g == nil {
		g = s.newJob(r)
		g.guest = true
		s.guests[w.Job] = g
	}
	g.guestGuaranteed, g.asked = w.Guaranteed, 0
	g.zones = map[string]int{}
	for zone, n := range w.Zones {
		g.zones[zone] = int(n)
	}
	left := len(w.Attempts)
	for _, at := range w.Attempts {
		key := fleet.Key{Task: at.Task, Attempt: at.Attempt}
		_, index, ok := wire.SplitTaskID(at.Task)
		if !ok || !s.denied[key].IsZero() {
			continue
		}
		if r.Job.Kind == wire.KindGang {
			// A gang is placed in one walk of one share, which needs machines
			// for it, not places.
			if idle := s.idleLocked(g, now); idle != nil && s.canHandOverLocked(idle, now) {
				s.handOverLocked([]*machine{idle}, from)
				reply.Given++
			}
			break
		}
		m, wait := s.findHeldLocked(g, now, w.Guaranteed)
		if m == nil && !wait && !w.Held {
			if m = s.findAnyLocked(g, now); m == nil {
				wait = s.preemptLocked(g, now, false, w.Guaranteed)
			}
		}
		if m == nil {
			reply.Making = reply.Making || wait
			break
		}
		if !overloaded && s.canHandOverLocked(m, now) {
			// The asking share places there itself.
			reply.Given += uint32(s.handOverForLocked(g, m, from, int(w.Pending)-(len(w.Attempts)-left), now))
			break
		}
		a := &fleet.Attempt{Key: key, Job: w.Job, Index: index, Guest: true, Epoch: s.epoch.Token}
		s.describe(a, &r.Job, g.rank)
		m.Add(a, now)
		m.looked = 0
		m.dirty = true
		m.useReservation(w.Job)
		g.zones[m.Zone]++
		left--
		reply.Taken = append(reply.Taken, &peerpb.Hosted{Attempt: at, Zone: m.Zone, Known: true})
		s.log.Debug("placed", "task", a.Task, "attempt", a.Attempt, "machine", m.Name, "image_held", m.HasImage(a.Image), "for", from)
	}
	if left > 0 && !w.Held {
		g.asked, g.askedAt = int(w.Pending)-(len(w.Attempts)-left), now
	}
}

// handOverForLocked gives a share that starves the first machine and as many more
// idle ones as the job's pending tasks need, but leaves as many as it gives:
// the next to ask may need them as much. It returns how many it gave.
func (s *Scheduler) handOverForLocked(js *jobState, first *machine, node string, pending int, now time.Time) int {
	fit := max(1, int(1/max(js.share, 1e-3)))
	want := (pending + fit - 1) / fit
	giving := []*machine{first}
	var idle []*machine
	if want > 1 {
		for _, m := range s.machines {
			if m != first && !s.list.Has(m) && s.canHandOverLocked(m, now) && s.fitsLocked(js, m, now) {
				idle = append(idle, m)
			}
		}
		slices.SortFunc(idle, func(a, b *machine) int { return cmp.Compare(a.Name, b.Name) })
		giving = append(giving, idle[:min(want-1, len(idle)/2)]...)
	}
	s.handOverLocked(giving, node)
	return len(giving)
}

// hostedAttempt is an attempt of another controller's job that runs here, and
// the machine that it is on.
type hostedAttempt struct {
	machine *machine
	attempt *fleet.Attempt
}

// hostedAttemptsLocked finds the attempts that a request names. A peer asks about
// hundreds at once, of thousands that are here: their numbers alone, which only
// a gang's tasks share, tell most of the others apart.
func (s *Scheduler) hostedAttemptsLocked(req *peerpb.SettleRequest) map[fleet.Key]hostedAttempt {
	numbers := make(map[uint64]bool, len(req.Attempts)+len(req.Handled))
	for _, at := range req.Attempts {
		numbers[at.Attempt] = true
	}
	for _, at := range req.Handled {
		numbers[at.Attempt] = true
	}
	here := make(map[fleet.Key]hostedAttempt, len(numbers))
	for _, m := range s.machines {
		for _, a := range m.Attempts.All() {
			if numbers[a.Attempt] {
				here[a.Key] = hostedAttempt{m, a}
			}
		}
	}
	return here
}

// Settle tells what became of attempts that this share may have taken, and
// lets go of those whose end is recorded. What is not known here never will
// be: a request that is still under way must not bring it later.
func (s *Scheduler) Settle(req *peerpb.SettleRequest) *peerpb.SettleReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := &peerpb.SettleReply{}
	if !s.loaded || s.epoch.Token < req.Token || s.epoch.Members[s.opts.Node].Since != req.Since || s.epoch.Leader == s.opts.Node && s.adopted < req.Token {
		return reply
	}
	reply.Ready = true
	now := time.Now()
	here := s.hostedAttemptsLocked(req)
	for _, at := range req.Handled {
		if h := here[fleet.Key{Task: at.Task, Attempt: at.Attempt}]; h.attempt != nil && h.attempt.Exited() {
			h.attempt.Handled = true
		}
	}
	for _, at := range req.Attempts {
		h := &peerpb.Hosted{Attempt: at}
		key := fleet.Key{Task: at.Task, Attempt: at.Attempt}
		if found := here[key]; found.attempt != nil {
			h.Known, h.Zone, h.State, h.Why = true, found.machine.Zone, string(found.attempt.State), string(found.attempt.Why)
		} else {
			s.denied[key] = now
		}
		reply.Hosted = append(reply.Hosted, h)
	}
	for key, at := range s.denied {
		if now.Sub(at) > deniedFor {
			delete(s.denied, key)
		}
	}
	return reply
}

// runRemote asks the hosts of lent attempts what became of them.
func (s *Scheduler) runRemote(ctx context.Context) error {
	return wait.Every(ctx, settleEvery, func() {
		s.mu.Lock()
		requests := s.settleRequestsLocked()
		s.mu.Unlock()
		for node, parts := range requests {
			for _, req := range parts {
				s.settle(ctx, node, req)
			}
		}
	})
}

// settleRequestsLocked asks each host about the attempts that it may have, in as
// many requests as it takes.
func (s *Scheduler) settleRequestsLocked() map[string][]*peerpb.SettleRequest {
	requests := map[string][]*peerpb.SettleRequest{}
	for key, f := range s.remote {
		if f.asked {
			continue
		}
		if s.epoch.Members[f.host].Since != f.since {
			// Also when the host is back: it knows nothing of what it had
			// taken before, its machines' adopter does.
			f.host, f.since = s.epoch.Leader, s.epoch.Members[s.epoch.Leader].Since
		}
		if f.host == s.opts.Node {
			if s.loaded && s.adopted == s.epoch.Token {
				// Its machine was taken over here, without it.
				s.forgetRemoteLocked(f)
			}
			continue
		}
		parts := requests[f.host]
		if len(parts) == 0 || len(parts[len(parts)-1].Attempts)+len(parts[len(parts)-1].Handled) >= maxSettled {
			parts = append(parts, &peerpb.SettleRequest{Node: s.opts.Node, Token: s.epoch.Token, Since: f.since})
			requests[f.host] = parts
		}
		req := parts[len(parts)-1]
		at := &peerpb.Attempt{Task: key.Task, Attempt: key.Attempt}
		switch {
		case !f.Exited():
			req.Attempts = append(req.Attempts, at)
		case f.Handled || s.jobs[f.Job] == nil:
			req.Handled = append(req.Handled, at)
		}
	}
	return requests
}

func (s *Scheduler) settle(ctx context.Context, node string, req *peerpb.SettleRequest) {
	cctx, cancel := context.WithTimeout(ctx, remotePlaceTimeout)
	reply, err := s.opts.Peers.Settle(cctx, node, req)
	cancel()
	if err != nil || !reply.Ready {
		s.log.Debug("settling lent tasks failed", "peer", node, "err", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, at := range req.Handled {
		if f := s.remote[fleet.Key{Task: at.Task, Attempt: at.Attempt}]; f != nil {
			s.forgetRemoteLocked(f)
		}
	}
	for _, h := range reply.Hosted {
		f := s.remote[fleet.Key{Task: h.Attempt.Task, Attempt: h.Attempt.Attempt}]
		if f == nil || f.host != node || f.Exited() {
			continue
		}
		if !h.Known {
			s.log.Info("task lost", "task", f.Task, "attempt", f.Attempt.Attempt, "host", node)
			s.forgetRemoteLocked(f)
			continue
		}
		s.moveZoneLocked(f, h.Zone)
		f.State, f.Why = wire.TaskState(h.State), wire.ExitReason(h.Why)
		if f.Exited() {
			s.endedLocked(f.Attempt, now)
		}
	}
}
