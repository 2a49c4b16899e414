package scheduler

// Remote placement: tasks of this scheduler's jobs that find no room here are
// placed on the machines of other controllers. See package remote.

import (
	"context"
	"slices"
	"time"

	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/fleet"
	"heronwick/internal/queue"
	"heronwick/internal/quota"
	"heronwick/internal/remote"
)

const (
	// peerTimeout bounds a placement or settle request.
	peerTimeout = time.Second
	// maxRequestTasks bounds the tasks of one placement request.
	maxRequestTasks = 48
	// maxRequestTasksPerJob bounds the tasks of one job in a placement request.
	maxRequestTasksPerJob = 16
)

// trackRemoteLocked starts tracking an attempt that may already be on another controller's
// machine, and counts it.
func (s *Scheduler) trackRemoteLocked(a *fleet.Attempt, host, zone string) {
	if s.remoteAttempts.Get(a.Key) != nil {
		return
	}
	s.addRemoteLocked(a, host)
	s.countAttemptLocked(zone, a)
}

// addRemoteLocked adds an attempt to those that may be on another controller's machine.
func (s *Scheduler) addRemoteLocked(a *fleet.Attempt, host string) *remote.Attempt {
	added := &remote.Attempt{Attempt: a, Host: host, HostSince: s.epoch.Members[host].Since}
	s.remoteAttempts.Add(added)
	return added
}

// untrackRemoteLocked stops tracking a remote attempt that is proven gone or no longer
// belongs to one of this scheduler's jobs.
func (s *Scheduler) untrackRemoteLocked(a *remote.Attempt, evidence quota.Evidence) {
	s.remoteAttempts.Delete(a.Key)
	s.uncountAttemptLocked(a.Attempt, evidence)
}

// setRemoteZoneLocked records the zone that a remote attempt runs in.
func (s *Scheduler) setRemoteZoneLocked(a *remote.Attempt, zone string) {
	if !a.CountedInUsage || a.Zone == zone {
		return
	}
	if queued := s.jobs[a.Job]; queued != nil {
		queued.AttemptMoved(a.Zone, zone)
	}
	a.Zone = zone
}

// placeRemotelyLocked requests room from other controllers for jobs that found none
// here.
func (s *Scheduler) placeRemotelyLocked(now time.Time) {
	if !s.loaded || !s.permitted() || len(s.epoch.Members) < 2 || !s.ensureAttemptNumbersLocked(now) {
		return
	}
	waiting, urgent := s.remoteCandidatesLocked(now)
	if len(waiting) == 0 {
		return
	}
	queue.Sort(waiting, s.teams, now)
	for _, node := range s.placementPeersLocked() {
		if s.placeThrottle.Allows(node, urgent, now) {
			s.requestPlacementLocked(node, waiting)
		}
	}
}

// remoteCandidatesLocked returns the jobs for which room is requested. urgent reports
// whether one of them waits only for other schedulers to answer whether they have room
// on a machine that holds its image.
func (s *Scheduler) remoteCandidatesLocked(now time.Time) (waiting []*queue.Job, urgent bool) {
	for _, queued := range s.jobs {
		awaitsImage := now.Sub(queued.ImageWaitSince) < imageWaitTimeout
		if (awaitsImage || !queued.UnplacedSince.IsZero()) && s.canPlaceTaskLocked(queued, now) {
			waiting = append(waiting, queued)
			urgent = urgent || awaitsImage
		}
	}
	return waiting, urgent
}

// canPlaceTaskLocked reports whether a task of the job may be placed now on any
// controller's machines.
func (s *Scheduler) canPlaceTaskLocked(queued *queue.Job, now time.Time) bool {
	return queued.Pending() > 0 && !now.Before(queued.NotBefore) && !queued.FailsEverywhere() && s.teams.MayStart(queued, 1)
}

// placementPeersLocked returns the other controllers in the order in which they are sent
// placement requests: first the leader, since it has the idle machines.
func (s *Scheduler) placementPeersLocked() []string {
	nodes := []string{s.epoch.Leader}
	for node := range s.epoch.Members {
		if node != s.epoch.Leader {
			nodes = append(nodes, node)
		}
	}
	slices.Sort(nodes[1:])
	return slices.DeleteFunc(nodes, func(node string) bool { return node == s.opts.Node })
}

// requestPlacementLocked requests room from one peer. The tasks are tracked as remote
// attempts before the request is sent, because the peer may place them even if its
// reply is lost.
func (s *Scheduler) requestPlacementLocked(node string, waiting []*queue.Job) {
	req := s.buildPlaceRequestLocked(node, waiting)
	if len(req.Wanted) == 0 {
		return
	}
	s.placeThrottle.Begin(node)
	s.spawn(func(ctx context.Context) {
		reply, err := s.sendPlaceRequest(ctx, node, req)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.applyPlaceReplyLocked(node, req, reply, err)
	})
}

// sendPlaceRequest sends a placement request and waits up to peerTimeout for the reply.
func (s *Scheduler) sendPlaceRequest(ctx context.Context, node string, req *peerpb.PlaceRequest) (*peerpb.PlaceReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return s.opts.Peers.Place(ctx, node, req)
}

// buildPlaceRequestLocked builds a request for room for up to maxRequestTasks tasks of
// the waiting jobs and up to maxRequestTasksPerJob of each. It tracks each task as a
// remote attempt on node.
func (s *Scheduler) buildPlaceRequestLocked(node string, waiting []*queue.Job) *peerpb.PlaceRequest {
	req := &peerpb.PlaceRequest{Node: s.opts.Node, Token: s.epoch.Token}
	requested := 0
	for _, queued := range waiting {
		if requested >= maxRequestTasks {
			break
		}
		wanted := s.buildWantedLocked(queued, node, maxRequestTasks-requested)
		requested += len(wanted.Attempts)
		if len(wanted.Attempts) > 0 {
			req.Wanted = append(req.Wanted, wanted)
		}
	}
	return req
}

// buildWantedLocked dequeues up to budget tasks of a job, and no more than
// maxRequestTasksPerJob, and returns a request for them as new attempts on node.
func (s *Scheduler) buildWantedLocked(queued *queue.Job, node string, budget int) *peerpb.Wanted {
	wanted := &peerpb.Wanted{
		Job:        queued.Record.Job.ID,
		Guaranteed: s.teams.Guaranteed(queued),
		Pending:    uint32(queued.Unplaced()),
		Zones:      map[string]uint32{},
		Held:       queued.UnplacedSince.IsZero(),
	}
	for zone, n := range queued.Zones {
		if n > 0 {
			wanted.Zones[zone] = uint32(n)
		}
	}
	for len(wanted.Attempts) < min(budget, maxRequestTasksPerJob) && s.teams.MayStart(queued, 1) {
		index, ok := queued.NextTask()
		if !ok {
			break
		}
		a := s.newAttempt(queued, index)
		if !s.reserveLocked("", a) {
			break
		}
		queued.Dequeue()
		queued.RequestedTasks++
		s.addRemoteLocked(a, node).RequestInFlight = true
		wanted.Attempts = append(wanted.Attempts, &peerpb.Attempt{Task: a.Task, Attempt: a.Attempt})
	}
	return wanted
}

// applyPlaceReplyLocked applies a peer's reply to a placement request. Attempts that the
// peer has placed get their zone, the others are no longer tracked. If the request
// failed with err, all stay tracked until they are settled, since the peer may have
// placed them.
func (s *Scheduler) applyPlaceReplyLocked(node string, req *peerpb.PlaceRequest, reply *peerpb.PlaceReply, err error) {
	if err != nil {
		s.log.Debug("failed to request placements", "peer", node, "err", err)
	}
	s.placeThrottle.End(node, placeOutcome(reply, err), time.Now())
	taken := map[fleet.Key]*peerpb.Hosted{}
	for _, hosted := range reply.GetTaken() {
		taken[remote.KeyOf(hosted.Attempt)] = hosted
	}
	for _, wanted := range req.Wanted {
		for _, attempt := range wanted.Attempts {
			s.applyPlacedAttemptLocked(node, wanted.Job, remote.KeyOf(attempt), taken, err)
		}
	}
	s.wakeLoop()
}

// placeOutcome returns the outcome of a request, which determines when the peer gets the
// next one.
func placeOutcome(reply *peerpb.PlaceReply, err error) remote.Outcome {
	switch {
	case len(reply.GetTaken()) > 0 || reply.GetGiven() > 0 || reply.GetMaking():
		return remote.Progress
	case err != nil:
		return remote.Failed
	default:
		return remote.NoRoom
	}
}

// applyPlacedAttemptLocked applies a reply to one attempt of the request. taken holds
// the attempts that the peer has placed.
func (s *Scheduler) applyPlacedAttemptLocked(node, job string, key fleet.Key, taken map[fleet.Key]*peerpb.Hosted, err error) {
	if queued := s.jobs[job]; queued != nil {
		queued.RequestedTasks--
	}
	a := s.remoteAttempts.Get(key)
	if a == nil {
		return
	}
	a.RequestInFlight = false
	if err != nil {
		return // stays tracked until it is settled
	}
	if hosted := taken[key]; hosted != nil {
		s.setRemoteZoneLocked(a, hosted.Zone)
		s.log.Debug("task placed by a peer", "task", key.Task, "attempt", key.Attempt, "peer", node)
		return
	}
	s.untrackRemoteLocked(a, quota.NotTaken)
}
