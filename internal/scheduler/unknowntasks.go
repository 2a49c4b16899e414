package scheduler

import (
	"slices"
	"time"

	"heronwick/internal/fleet"
	"heronwick/wire"
)

// unknownTasksGrace is how long a worker with tasks of unknown jobs is still
// answered.
func (s *Scheduler) unknownTasksGrace() time.Duration { return s.opts.Settings.LeaseDuration / 4 }

// unknownTasksPastGraceLocked keeps track of whether a worker has tasks of unknown
// jobs, and reports whether it has had such tasks for so long that its lease must
// expire. Such a job may have ended: it may have been cancelled before this
// controller read the jobs, and the key-value store, which has its state, may be
// unavailable for longer than the tasks are allowed to run.
func (s *Scheduler) unknownTasksPastGraceLocked(heartbeat *wire.Heartbeat, now time.Time) bool {
	unknown := s.hasUnknownTasksLocked(heartbeat)
	since, noted := s.unknownTasksSince[heartbeat.Machine]
	switch {
	case !unknown && noted:
		delete(s.unknownTasksSince, heartbeat.Machine)
	case unknown && !noted:
		s.unknownTasksSince[heartbeat.Machine] = now
	case unknown:
		return now.Sub(since) > s.unknownTasksGrace()
	}
	return false
}

// hasUnknownTasksLocked reports whether a heartbeat lists tasks of jobs that are
// neither active nor known to have ended. Tasks that are already being stopped do not
// count.
func (s *Scheduler) hasUnknownTasksLocked(heartbeat *wire.Heartbeat) bool {
	m := s.machines[heartbeat.Machine]
	return slices.ContainsFunc(heartbeat.Tasks, func(t wire.TaskStatus) bool {
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
}

// stopCommandsForEndedJobsLocked returns the commands to stop the tasks in a
// heartbeat whose jobs have ended. The stops do not wait for the records of the
// machine, which may stay unreadable for a long time.
func (s *Scheduler) stopCommandsForEndedJobsLocked(heartbeat *wire.Heartbeat) []wire.Command {
	stops := []wire.Command{}
	for _, t := range heartbeat.Tasks {
		id, _, ok := wire.SplitTaskID(t.Task)
		if ok && t.State != wire.TaskExited && s.opts.Jobs.Ended(id) && len(stops) < wire.MaxCommands {
			grace := 0.0
			stops = append(stops, wire.Command{Op: wire.OpStop, Task: t.Task, Attempt: t.Attempt, GraceS: &grace})
		}
	}
	return stops
}
