package scheduler

import (
	"time"

	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/fleet"
	"heronwick/internal/remote"
)

// hostedAttempt is an attempt of another controller's job that runs here, and
// the machine that it is on.
type hostedAttempt struct {
	machine *machine
	attempt *fleet.Attempt
}

// hostedAttemptsLocked finds the attempts that a request names. A peer settles
// hundreds at once, of thousands that are here: their numbers alone, which only
// a gang's tasks share, tell most of the others apart.
func (s *Scheduler) hostedAttemptsLocked(req *peerpb.SettleRequest) map[fleet.Key]hostedAttempt {
	numbers := remote.AttemptNumbers(req)
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

// Settle answers what became of attempts that this scheduler may have taken, and
// lets go of those whose end is recorded. What is not known here never will
// be: a placement request that is still in flight must not bring it later.
func (s *Scheduler) Settle(req *peerpb.SettleRequest) *peerpb.SettleReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := &peerpb.SettleReply{}
	if !s.maySettleLocked(req) {
		return reply
	}
	reply.Ready = true
	now := time.Now()
	here := s.hostedAttemptsLocked(req)
	for _, attempt := range req.Handled {
		if found := here[remote.KeyOf(attempt)]; found.attempt != nil && found.attempt.Exited() {
			found.attempt.Handled = true
		}
	}
	for _, attempt := range req.Attempts {
		reply.Hosted = append(reply.Hosted, s.settleAttemptLocked(attempt, here, now))
	}
	s.deniedAttempts.Expire(now)
	return reply
}

// maySettleLocked reports whether this scheduler knows all that may be on its
// machines, as the membership that the sender means.
func (s *Scheduler) maySettleLocked(req *peerpb.SettleRequest) bool {
	adopting := s.epoch.Leader == s.opts.Node && s.adoptedToken < req.Token
	return s.loaded && s.epoch.Token >= req.Token && s.epoch.Members[s.opts.Node].Since == req.Since && !adopting
}

// settleAttemptLocked answers what became of an attempt, and denies it for good if it is
// not here.
func (s *Scheduler) settleAttemptLocked(attempt *peerpb.Attempt, here map[fleet.Key]hostedAttempt, now time.Time) *peerpb.Hosted {
	key := remote.KeyOf(attempt)
	found := here[key]
	if found.attempt == nil {
		s.deniedAttempts.Deny(key, now)
		return &peerpb.Hosted{Attempt: attempt}
	}
	return &peerpb.Hosted{Attempt: attempt, Known: true, Zone: found.machine.Zone,
		State: string(found.attempt.State), Why: string(found.attempt.Why)}
}

// dropStaleHostedLocked removes hosted attempts that were not recorded under the
// shard assignment in which their owner requested them: when it settles them, they
// are not here.
func (s *Scheduler) dropStaleHostedLocked(m *machine) {
	for _, a := range m.Attempts.All() {
		if a.Hosted && !a.Durable && a.Epoch < s.epoch.assignedToken {
			m.Attempts.Delete(a.Key)
		}
	}
	s.updateOpenLocked(m)
}
