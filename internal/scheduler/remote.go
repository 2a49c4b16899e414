package scheduler

import (
	"context"
	"slices"
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
		looks := now.Sub(js.ImageWaitSince) < heldPatience
		if (looks || !js.UnplacedSince.IsZero()) && js.Pending() > 0 && s.withinLimit(js) && !now.Before(js.NotBefore) && !js.FailsEverywhere() {
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
		s.requestPlacementLocked(node, ask, waiting)
	}
}

// requestPlacementLocked asks one peer for room. The tasks count as placed
// remotely before the request goes out: without an answer the peer may have
// taken them.
func (s *Scheduler) requestPlacementLocked(node string, ask *peerRequestState, waiting []*jobState) {
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
	w := &peerpb.Wanted{Job: js.Record.Job.ID, Guaranteed: s.guaranteed(js), Pending: uint32(js.Unplaced()), Zones: map[string]uint32{},
		Held: js.UnplacedSince.IsZero()}
	for zone, n := range js.Zones {
		if n > 0 {
			w.Zones[zone] = uint32(n)
		}
	}
	for len(w.Attempts) < budget && len(w.Attempts) < maxAskedPerJob && s.withinLimit(js) {
		index, ok := js.NextTask()
		if !ok {
			break
		}
		js.Dequeue()
		js.Requested++
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
		js.Requested--
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
		js.Zones[f.Zone]--
		js.Zones[zone]++
	}
	f.Zone = zone
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
