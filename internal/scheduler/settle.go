package scheduler

// Settling: the owner of a job requests the states of its remote attempts from their
// hosts. The hosts' side is in hostedattempts.go. See package remote.

import (
	"context"
	"time"

	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/quota"
	"heronwick/internal/remote"
	"heronwick/internal/wait"
	"heronwick/wire"
)

// settleInterval is how often the hosts of remote attempts are sent settle requests.
const settleInterval = 400 * time.Millisecond

// runSettling periodically sends settle requests to the hosts of remote attempts.
func (s *Scheduler) runSettling(ctx context.Context) error {
	return wait.Every(ctx, settleInterval, func() {
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

// settleRequestsLocked returns the settle requests for each host, split into as many as
// their size limit requires.
func (s *Scheduler) settleRequestsLocked() map[string][]*peerpb.SettleRequest {
	requests := remote.NewSettleRequests(s.opts.Node, s.epoch.Token)
	for a := range s.remoteAttempts.All() {
		if a.RequestInFlight {
			continue
		}
		s.updateHostLocked(a)
		if a.Host != s.opts.Node {
			recorded := a.ExitProcessed || s.jobs[a.Job] == nil
			requests.Add(a, recorded)
		} else if s.loaded && s.adoptedToken == s.epoch.Token {
			// This scheduler has adopted the machine, and the attempt was not on it.
			s.untrackRemoteLocked(a, quota.NotOnAdopted)
		}
	}
	return requests.ByHost()
}

// updateHostLocked makes the leader the host of an attempt if the membership of its host
// has ended, even if that controller has rejoined: it no longer knows which attempts it
// had accepted. The leader knows them, since it has adopted that controller's machines.
func (s *Scheduler) updateHostLocked(a *remote.Attempt) {
	if s.epoch.Members[a.Host].Since != a.HostSince {
		a.Host, a.HostSince = s.epoch.Leader, s.epoch.Members[s.epoch.Leader].Since
	}
}

// settle sends one settle request and applies the reply.
func (s *Scheduler) settle(ctx context.Context, node string, req *peerpb.SettleRequest) {
	reply, err := s.sendSettleRequest(ctx, node, req)
	if err != nil || !reply.Ready {
		s.log.Debug("failed to settle remote attempts, or the host is not ready", "peer", node, "err", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, attempt := range req.Handled {
		if a := s.remoteAttempts.Get(remote.KeyOf(attempt)); a != nil {
			s.untrackRemoteLocked(a, quota.Exited)
		}
	}
	for _, hosted := range reply.Hosted {
		a := s.remoteAttempts.Get(remote.KeyOf(hosted.Attempt))
		if a != nil && a.Host == node && !a.Exited() {
			s.applySettledLocked(a, hosted, now)
		}
	}
}

// sendSettleRequest sends a settle request and waits up to peerTimeout for the reply.
func (s *Scheduler) sendSettleRequest(ctx context.Context, node string, req *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return s.opts.Peers.Settle(ctx, node, req)
}

// applySettledLocked applies what a host reports about a remote attempt.
func (s *Scheduler) applySettledLocked(a *remote.Attempt, hosted *peerpb.Hosted, now time.Time) {
	if !hosted.Known {
		s.log.Info("task lost", "task", a.Task, "attempt", a.Attempt.Attempt, "peer", a.Host)
		s.untrackRemoteLocked(a, quota.DeniedByHost)
		return
	}
	s.setRemoteZoneLocked(a, hosted.Zone)
	a.State, a.ExitReason = wire.TaskState(hosted.State), wire.ExitReason(hosted.Why)
	if a.Exited() {
		s.applyAttemptExitLocked(a.Attempt, now)
	}
}
