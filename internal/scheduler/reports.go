package scheduler

import (
	"context"
	"errors"
	"slices"
	"time"

	"heronwick/internal/fleet"
	"heronwick/wire"
)

// HandleHeartbeat takes a worker's report. It returns nil if this scheduler has no right
// to answer it.
func (s *Scheduler) HandleHeartbeat(r *wire.Heartbeat) *wire.HeartbeatReply {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	token, permitted := s.opts.Authority.FencingToken()
	if !permitted {
		return nil
	}
	if node, owned := s.opts.Authority.HeartbeatTarget(r.Machine); owned && node != s.opts.Node {
		return nil // given since, whatever this scheduler has not followed yet
	}
	m, coming := s.machines[r.Machine], false
	if m == nil {
		m, coming = s.joinLocked(r, now)
	}
	reply := &wire.HeartbeatReply{FencingToken: token, Commands: []wire.Command{}}
	if m == nil {
		if !coming || s.doubtfulLocked(r, now) {
			// Answering a machine that is another's would renew a lease that
			// its owner counts as expired.
			return nil
		}
		s.answeredEarly[r.Machine] = now
		reply.Commands = s.stopsOfOverLocked(r)
		return reply // keeps its lease while its machine is being taken
	}
	fresh := s.applyLocked(m, r)
	if s.doubtfulLocked(r, now) {
		return nil
	}
	m.LastReply = now
	m.NoteUnsolicited(r, fresh, now)
	if !fresh {
		// Late or repeated: its reply will be dropped, and must not carry
		// commands meant for the worker as it is now. Or the worker has
		// started anew and counts from the beginning: asking it tells.
		if !m.ProbedLately(now) {
			s.probeLocked(m, now)
		}
		return reply
	}
	reply.Commands = append(reply.Commands, m.Reply()...)
	return reply
}

// doubtFor is how long a worker is answered though it has tasks of jobs of which
// nothing is known.
func (s *Scheduler) doubtFor() time.Duration { return s.opts.Settings.LeaseFor / 4 }

// doubtfulLocked tells whether a worker has had tasks of unknown jobs for so
// long that its lease must expire. Such a job may be over: cancelled before this
// controller read the jobs, while the state service, which would tell, is out
// for longer than the tasks may stay.
func (s *Scheduler) doubtfulLocked(r *wire.Heartbeat, now time.Time) bool {
	m := s.machines[r.Machine]
	unknown := slices.ContainsFunc(r.Tasks, func(t wire.TaskStatus) bool {
		id, _, ok := wire.SplitTaskID(t.Task)
		if !ok || t.State == wire.TaskExited || s.jobOf(id) != nil {
			return false
		}
		if m != nil {
			if a := m.Attempts.Get(fleet.Key{Task: t.Task, Attempt: t.Attempt}); a != nil && a.Stop {
				return false
			}
		}
		return s.opts.Jobs.Active(id) == nil && !s.opts.Jobs.Ended(id)
	})
	since, doubted := s.unknownTasksSince[r.Machine]
	switch {
	case !unknown && doubted:
		delete(s.unknownTasksSince, r.Machine)
	case unknown && !doubted:
		s.unknownTasksSince[r.Machine] = now
	case unknown:
		return now.Sub(since) > s.doubtFor()
	}
	return false
}

// stopsOfOverLocked stops, of the tasks that a report shows, those whose jobs
// are over: their machine's records may not be readable for long.
func (s *Scheduler) stopsOfOverLocked(r *wire.Heartbeat) []wire.Command {
	stops := []wire.Command{}
	for _, t := range r.Tasks {
		id, _, ok := wire.SplitTaskID(t.Task)
		if ok && t.State != wire.TaskExited && s.opts.Jobs.Ended(id) && len(stops) < wire.MaxCommands {
			grace := 0.0
			stops = append(stops, wire.Command{Op: wire.OpStop, Task: t.Task, Attempt: t.Attempt, GraceS: &grace})
		}
	}
	return stops
}

// applyLocked takes a report or the answer to a direct command.
func (s *Scheduler) applyLocked(m *machine, r *wire.Heartbeat) bool {
	if s.machines[m.Name] != m || r.Machine != m.Name {
		return false
	}
	now := time.Now()
	events, fresh := m.ApplyHeartbeat(r, now)
	if !fresh {
		return false
	}
	m.NoteAlive()
	if m.Type == nil {
		m.Type = s.types[m.TypeName]
	}
	s.handleLocked(m, events)
	if len(events) > 0 {
		s.poke()
	}
	if s.wantsDirectLocked(m) {
		s.sendLocked(m)
	}
	return true
}

// wantsDirectLocked tells whether waiting for the next report would cost
// time: stops make room for what waits.
func (s *Scheduler) wantsDirectLocked(m *machine) bool {
	for _, a := range m.Attempts.All() {
		if a.Stop && a.State != "" && !a.Exited() && a.State != wire.TaskSaving {
			return true
		}
	}
	return false
}

// synced tells whether the machine's report under its owner's token has come:
// then its record is settled.
func (s *Scheduler) synced(m *machine) bool { return m.HeartbeatSeen && m.FencingToken >= m.base }

// handleLocked draws the consequences of what a report or a proof told.
func (s *Scheduler) handleLocked(m *machine, events []fleet.Event) {
	for _, e := range events {
		a := e.Attempt
		switch e.Kind {
		case fleet.Found:
			s.adoptAttemptLocked(m, a)
			if a.Exited() {
				s.attemptExitedLocked(m, a)
			}
		case fleet.Started:
			s.log.Debug("started", "task", a.Task, "machine", m.Name, "after", time.Since(a.Placed))
			if queued := s.jobOf(a.Job); queued != nil && a.Service {
				queued.Succeeded = true
			}
		case fleet.Exited:
			s.attemptExitedLocked(m, a)
		case fleet.Lost:
			log := s.log.Info
			if a.Restored {
				log = s.log.Debug // most of those had ended before the takeover
			}
			log("task lost", "task", a.Task, "attempt", a.Attempt, "machine", m.Name)
			s.uncountAttemptLocked(a)
		}
	}
	s.closeIfEmptyLocked(m)
}

// closeIfEmptyLocked takes a machine whose last task has ended off the list.
func (s *Scheduler) closeIfEmptyLocked(m *machine) {
	if m.ActiveCount() > 0 {
		if !s.list.Has(m) {
			s.list.Append(m)
		}
		return
	}
	if s.list.Has(m) {
		s.list.Close(m)
		m.idleSince = time.Now()
	}
}

// commandTimeout bounds a direct command; the next report brings it again.
const commandTimeout = 2 * time.Second

// command sends commands straight to a worker, for as long
// as commandTimeout allows.
func (s *Scheduler) command(ctx context.Context, address string, req *wire.CommandRequest) (*wire.Heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	return s.opts.Workers.Command(ctx, address, req)
}

// sendLocked sends a worker what it should be told, without waiting for its
// next report.
func (s *Scheduler) sendLocked(m *machine) {
	if m.sending {
		m.sendAgain = true
		return
	}
	token, permitted := s.opts.Authority.FencingToken()
	if m.Address == "" || !m.HeartbeatSeen || !permitted {
		return
	}
	req := m.DirectRequest(token)
	if req == nil {
		return
	}
	m.sending = true
	address := m.Address
	s.goDo(func(ctx context.Context) {
		report, err := s.command(ctx, address, req)
		s.mu.Lock()
		defer s.mu.Unlock()
		m.sending = false
		m.DirectRequestDone(req, err == nil || errors.Is(err, fleet.ErrNoSocket))
		if !s.answeredLocked(m, err) {
			m.sendAgain = false
			return
		}
		s.applyLocked(m, report)
		if m.sendAgain {
			m.sendAgain = false
			s.sendLocked(m)
		}
	})
}
