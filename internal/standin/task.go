package standin

import (
	"fmt"
	"time"

	"heronwick/wire"
)

// task is an attempt to run a task on a worker. Its fields are guarded by the fleet's lock.
type task struct {
	wire.TaskStatus
	timer       *time.Timer // for the image fetch, then for the run
	missedTimer bool        // the timer fired while the machine was paused
}

// refireTimerLocked restarts the timer if it fired while the machine was paused.
func (t *task) refireTimerLocked() {
	if t.missedTimer {
		t.missedTimer = false
		t.timer.Reset(time.Millisecond)
	}
}

// executeLocked executes commands. It ignores those that do not apply in the task's state.
func (w *Worker) executeLocked(commands []wire.Command) {
	for _, command := range commands {
		attempt := fmt.Sprintf("%s#%d", command.Task, command.Attempt)
		t := w.tasks[attempt]
		switch {
		case command.Op == wire.OpStart && t == nil:
			w.startLocked(attempt, command)
		case command.Op == wire.OpStop && t != nil && t.State != wire.TaskExited:
			w.stopLocked(t, command)
		case command.Op == wire.OpForget && t != nil && t.State == wire.TaskExited:
			delete(w.tasks, attempt)
		}
	}
	w.wake()
}

// startLocked adds a task and starts to fetch its image, or refuses a task without a job.
func (w *Worker) startLocked(attempt string, command wire.Command) {
	t := &task{TaskStatus: wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: wire.TaskFetching}}
	w.tasks[attempt] = t
	if w.fleet.Checker.Job(t.Task) == nil {
		t.State, t.Reason = wire.TaskExited, wire.ExitUnknown
		return
	}
	t.timer = time.AfterFunc(w.fleet.ImageFetchTime, func() { w.imageFetched(t) })
}

// stopLocked stops a task. A running task that has checkpoints saves first if the command gives it
// the time; a second command ends it at once if it gives it none.
func (w *Worker) stopLocked(t *task, command wire.Command) {
	grace := 0.0
	if command.GraceS != nil {
		grace = *command.GraceS
	}
	job := w.fleet.Checker.Job(t.Task)
	saves := job != nil && job.CheckpointS > 0 && job.SaveS > 0 && grace >= job.SaveS
	switch {
	case t.State == wire.TaskSaving && grace > 0:
	case t.State == wire.TaskRunning && saves:
		t.timer.Stop()
		t.State = wire.TaskSaving
		t.timer = time.AfterFunc(time.Duration(job.SaveS*float64(time.Second)), func() { w.taskSaved(t) })
	default:
		w.exitLocked(t, wire.ExitStopped)
	}
}

// taskSaved ends a task that has saved its progress.
func (w *Worker) taskSaved(t *task) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.missedTimer = w.paused; t.missedTimer || t.State != wire.TaskSaving {
		return
	}
	t.Checkpointed = true
	w.exitLocked(t, wire.ExitStopped)
}

// imageFetched runs a task after its image has been fetched.
func (w *Worker) imageFetched(t *task) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.State != wire.TaskFetching || w.removed {
		return
	}
	if t.missedTimer = w.paused; t.missedTimer {
		return
	}
	f.Checker.ObserveStart(t.Task, w.location())
	t.State = wire.TaskRunning
	if f.Checker.resultKept(t.Task) {
		w.exitLocked(t, wire.ExitDone)
	} else if f.TaskFails != nil && f.TaskFails(jobOf(t.Task), w.name) {
		w.exitLocked(t, wire.ExitError)
	} else if duration := f.TaskDuration(t.Task); duration > 0 {
		t.timer = time.AfterFunc(duration, func() { w.taskFinished(t) })
	}
	w.wake()
}

// taskFinished ends a task that has run for its full duration.
func (w *Worker) taskFinished(t *task) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.missedTimer = w.paused; t.missedTimer || t.State != wire.TaskRunning {
		return
	}
	w.exitLocked(t, wire.ExitDone)
	if f.OnTaskDone != nil {
		go f.OnTaskDone(t.Task)
	}
}

// exitLocked ends a task that has not exited yet.
func (w *Worker) exitLocked(t *task, reason wire.ExitReason) {
	t.timer.Stop()
	if t.State == wire.TaskRunning || t.State == wire.TaskSaving {
		w.fleet.Checker.ObserveExit(t.Task, reason == wire.ExitDone)
	}
	t.State, t.Reason = wire.TaskExited, reason
	w.wake()
}

// killTasksLocked stops all tasks and removes them from the worker.
func (w *Worker) killTasksLocked() {
	for _, t := range w.tasks {
		if t.State != wire.TaskExited {
			w.exitLocked(t, wire.ExitStopped)
		}
	}
	w.tasks = map[string]*task{}
}
