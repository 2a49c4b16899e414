package scheduler

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"heronwick/internal/autoscale"
	"heronwick/internal/detector"
	"heronwick/wire"
)

// probesPerSecondPerCore is how many probes a second are sent for each core that this
// controller has. Without the bound a controller that answers late, and so takes
// its workers for silent, uses all of its time to probe them.
const probesPerSecondPerCore = 1000

// probeRate bounds the probes of a controller with so many cores.
func probeRate(coreShare float64) *rate.Limiter {
	perSecond := probesPerSecondPerCore * coreShare
	return newLimiter(perSecond, max(2*detector.SampleSize, int(perSecond)))
}

// newLimiter allows so many events a second; 0: any number.
func newLimiter(perSecond float64, burst int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, burst)
	}
	return rate.NewLimiter(rate.Limit(perSecond), burst)
}

// probeIfDueLocked probes a worker if the detector says so and the rate allows it.
func (s *Scheduler) probeIfDueLocked(m *machine, now time.Time) {
	if s.detector.ProbeDue(&m.Worker, now) && s.probeRate.Allow() {
		s.probeLocked(m, now)
	}
}

// probeLocked requests a worker's status, and notes whether it answers.
func (s *Scheduler) probeLocked(m *machine, now time.Time) {
	if m.Address == "" {
		m.ProbeImpossible(now)
		return
	}
	m.BeginProbe(now)
	address, incarnation, seq := m.Address, m.Incarnation, m.Seq
	s.spawn(func(ctx context.Context) {
		heartbeat, err := s.probe(ctx, address)
		s.mu.Lock()
		defer s.mu.Unlock()
		m.EndRequest()
		switch {
		case !s.noteAnswerLocked(m, err):
			s.probeFailedLocked(m, err, now)
		case heartbeat.Machine == m.Name && (heartbeat.Incarnation < incarnation || heartbeat.Incarnation == incarnation && heartbeat.Seq < seq):
			s.returnRestartedLocked(m)
		default:
			s.applyHeartbeatLocked(m, heartbeat)
		}
	})
}

// probe requests the status of the worker at an address.
func (s *Scheduler) probe(ctx context.Context, address string) (*wire.Heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, detector.ProbeTimeout)
	defer cancel()
	return s.opts.Workers.Status(ctx, address)
}

// probeFailedLocked draws the consequences of a probe that was sent at a time and
// not answered.
func (s *Scheduler) probeFailedLocked(m *machine, err error, sent time.Time) {
	if s.detector.Inconclusive(err, time.Now()) {
		return
	}
	if m.ProbeFailed(sent) {
		s.probeSampleLocked(time.Now())
	}
}

// returnRestartedLocked returns a machine whose worker answers with an incarnation
// or a sequence number from before its last heartbeat: it has started anew, without the tasks that it had. Commands that were
// meant for it as it was may still come, and what they start lasts for the lease with
// which it has begun.
func (s *Scheduler) returnRestartedLocked(m *machine) {
	m.IncarnationSeenAt = time.Now()
	s.returnLocked([]*machine{m}, autoscale.ReasonRestarted)
}

// probeSampleLocked probes some workers of each zone that have not been heard for a
// moment: whether they answer shows if one worker is dead, a zone partitioned off,
// or this controller.
func (s *Scheduler) probeSampleLocked(now time.Time) {
	probed := map[string]int{}
	for _, m := range s.machines {
		if now.Sub(m.LastHeartbeat) > detector.ProbeTimeout && !m.ProbedRecently(now) &&
			probed[m.Zone] < detector.SampleSize && s.probeRate.Allow() {
			probed[m.Zone]++
			s.probeLocked(m, now)
		}
	}
}

// noteAnswerLocked notes whether a direct request was answered: a worker that does
// not answer gets nothing new, though its heartbeats arrive.
func (s *Scheduler) noteAnswerLocked(m *machine, err error) bool {
	if err == nil {
		m.NoteReachable()
		return true
	}
	if now := time.Now(); !s.detector.Inconclusive(err, now) {
		m.NoteUnreachable(now)
	}
	s.log.Debug("no answer from worker", "machine", m.Name, "err", err)
	return false
}
