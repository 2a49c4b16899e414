package scheduler

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"heronwick/internal/detector"
	"heronwick/wire"
)

// probesPerSecondPerCore is the number of probes sent per second for each core that
// this controller has. Without a limit, a controller that falls behind considers its
// workers silent and spends all of its processor time on probes.
const probesPerSecondPerCore = 1000

// probeRate returns the limiter for the probes of a controller with coreShare cores.
func probeRate(coreShare float64) *rate.Limiter {
	perSecond := probesPerSecondPerCore * coreShare
	return newLimiter(perSecond, max(2*detector.SampleSize, int(perSecond)))
}

// newLimiter returns a limiter for perSecond events per second, or without a limit if
// perSecond is 0.
func newLimiter(perSecond float64, burst int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, burst)
	}
	return rate.NewLimiter(rate.Limit(perSecond), burst)
}

// probeIfDueLocked probes a worker if the detector considers a probe due and the rate
// limit allows it.
func (s *Scheduler) probeIfDueLocked(m *machine, now time.Time) {
	if s.detector.ProbeDue(&m.Worker, now) && s.probeRate.Allow() {
		s.probeLocked(m, now)
	}
}

// probeLocked requests a worker's status and handles the answer, or its absence.
func (s *Scheduler) probeLocked(m *machine, now time.Time) {
	if m.Address == "" {
		m.ProbeImpossible(now)
		return
	}
	m.BeginProbe(now)
	address, sent := m.Address, m.Position()
	s.spawn(func(ctx context.Context) {
		heartbeat, err := s.probe(ctx, address)
		s.mu.Lock()
		defer s.mu.Unlock()
		m.EndRequest()
		if s.recordAnswerLocked(m, err) {
			s.applyResponseLocked(m, heartbeat, sent)
		} else {
			s.probeFailedLocked(m, err, now)
		}
	})
}

// probe requests the status of the worker at an address.
func (s *Scheduler) probe(ctx context.Context, address string) (*wire.Heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, detector.ProbeTimeout)
	defer cancel()
	return s.opts.Workers.Status(ctx, address)
}

// probeFailedLocked handles a probe, sent at the given time, that was not answered.
func (s *Scheduler) probeFailedLocked(m *machine, err error, sent time.Time) {
	if s.detector.Inconclusive(err, time.Now()) {
		return
	}
	if m.ProbeFailed(sent) {
		s.probeSampleLocked(time.Now())
	}
}

// probeSampleLocked probes some workers of each zone that have not been heard from
// recently. Their answers show whether one worker is dead, or a zone or this
// controller is partitioned.
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

// recordAnswerLocked records whether a direct request was answered, and returns that. A
// worker that does not answer gets no new tasks, even while its heartbeats arrive.
func (s *Scheduler) recordAnswerLocked(m *machine, err error) bool {
	if err == nil {
		m.MarkReachable()
		return true
	}
	if now := time.Now(); !s.detector.Inconclusive(err, now) {
		m.MarkUnreachable(now)
	}
	s.log.Debug("no answer from worker", "machine", m.Name, "err", err)
	return false
}
