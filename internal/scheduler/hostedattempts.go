package scheduler

import (
	"time"

	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/fleet"
	"heronwick/internal/remote"
)

// hostedAttempt is an attempt on one of this scheduler's machines, with that machine.
type hostedAttempt struct {
	machine *machine
	attempt *fleet.Attempt
}

// hostedAttemptsLocked finds the attempts that a settle request names. A request names
// hundreds of the thousands of attempts here, so attempts are first filtered by attempt
// number, which is a cheap comparison and which only tasks of the same gang share.
func (s *Scheduler) hostedAttemptsLocked(req *peerpb.SettleRequest) map[fleet.Key]hostedAttempt {
	numbers := remote.AttemptNumbers(req)
	hosted := make(map[fleet.Key]hostedAttempt, len(numbers))
	for _, m := range s.machines {
		for _, a := range m.Attempts.All() {
			if numbers[a.Attempt] {
				hosted[a.Key] = hostedAttempt{m, a}
			}
		}
	}
	return hosted
}

// Settle reports the states of attempts that this scheduler may host, and marks those
// whose end the owner has recorded as handled. An attempt that is not known here is
// denied from now on: a placement request that is still in flight must not place it
// later.
func (s *Scheduler) Settle(req *peerpb.SettleRequest) *peerpb.SettleReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := &peerpb.SettleReply{}
	if !s.maySettleLocked(req) {
		return reply
	}
	reply.Ready = true
	now := time.Now()
	s.recordSettleLocked(req, now)
	hosted := s.hostedAttemptsLocked(req)
	for _, attempt := range req.Handled {
		if found := hosted[remote.KeyOf(attempt)]; found.attempt != nil && found.attempt.Exited() {
			found.attempt.ExitProcessed = true
		}
	}
	for _, attempt := range req.Attempts {
		reply.Hosted = append(reply.Hosted, s.settleAttemptLocked(attempt, hosted, now))
	}
	s.deniedAttempts.Expire(now)
	return reply
}

// maySettleLocked reports whether this scheduler knows all attempts that may be on its
// machines, and has the membership that the sender addresses.
func (s *Scheduler) maySettleLocked(req *peerpb.SettleRequest) bool {
	adopting := s.epoch.Leader == s.opts.Node && s.adoptedToken < req.Token
	return s.loaded && s.epoch.Token >= req.Token && s.epoch.Members[s.opts.Node].Since == req.Since && !adopting
}

// settleAttemptLocked returns the state of an attempt, and denies it from now on if it
// is not here.
func (s *Scheduler) settleAttemptLocked(attempt *peerpb.Attempt, hosted map[fleet.Key]hostedAttempt, now time.Time) *peerpb.Hosted {
	key := remote.KeyOf(attempt)
	found := hosted[key]
	if found.attempt == nil {
		s.deniedAttempts.Deny(key, now)
		return &peerpb.Hosted{Attempt: attempt}
	}
	found.attempt.SettledAt = now
	return &peerpb.Hosted{Attempt: attempt, Known: true, Zone: found.machine.Zone,
		State: string(found.attempt.State), Why: string(found.attempt.ExitReason)}
}

// dropStaleHostedLocked removes hosted attempts that were requested under an earlier
// shard assignment and have not been recorded since. If their owner settles them, the
// reply is that they are not here.
func (s *Scheduler) dropStaleHostedLocked(m *machine) {
	for _, a := range m.Attempts.All() {
		if a.Hosted && !a.Recorded && a.Epoch < s.epoch.Assignment.Token {
			m.Attempts.Delete(a.Key)
		}
	}
	s.updateOpenLocked(m)
}
