package standin

import (
	"fmt"
	"time"

	"heronwick/wire"
)

// task is an attempt to run a task on a worker. The fleet's lock guards it.
type task struct {
	wire.TaskStatus
	timer    *time.Timer // of the image's fetch, then of the run
	timerDue bool        // the timer fired while the machine was paused
}

// repeatTimerLocked lets a timer fire again that fired while the machine was paused.
func (t *task) repeatTimerLocked() {
	if t.timerDue {
		t.timerDue = false
		t.timer.Reset(time.Millisecond)
	}
}

// executeLocked carries out commands. Those that do not apply are ignored.
func (w *Worker) executeLocked(commands []wire.Command) {
	for _, command := range commands {
		attempt := fmt.Sprintf("%s#%d", command.Task, command.Attempt)
		t := w.tasks[attempt]
		switch {
		case command.Op == wire.OpStart && t == nil:
			w.startLocked(attempt, command)
		case command.Op == wire.OpStop && t != nil && t.State != wire.TaskExited:
			w.exitLocked(t, wire.ExitStopped)
		case command.Op == wire.OpForget && t != nil && t.State == wire.TaskExited:
			delete(w.tasks, attempt)
		}
	}
	w.wake()
}

// startLocked begins to fetch a task's image.
func (w *Worker) startLocked(attempt string, command wire.Command) {
	t := &task{TaskStatus: wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: wire.TaskFetching}}
	w.tasks[attempt] = t
	t.timer = time.AfterFunc(w.fleet.ImageFetchTime, func() { w.fetched(t) })
}

// fetched runs a task whose image is fetched.
func (w *Worker) fetched(t *task) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.State != wire.TaskFetching || w.removed {
		return
	}
	if t.timerDue = w.paused; t.timerDue {
		return
	}
	f.Checker.ObserveStart(t.Task, w.location())
	t.State = wire.TaskRunning
	if f.TaskFails != nil && f.TaskFails(jobOf(t.Task), w.name) {
		w.exitLocked(t, wire.ExitError)
	} else if duration := f.TaskDuration(t.Task); duration > 0 {
		t.timer = time.AfterFunc(duration, func() { w.finished(t) })
	}
	w.wake()
}

// finished ends a task whose run is over.
func (w *Worker) finished(t *task) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.timerDue = w.paused; t.timerDue || t.State != wire.TaskRunning {
		return
	}
	w.exitLocked(t, wire.ExitDone)
	if f.OnTaskDone != nil {
		go f.OnTaskDone(t.Task)
	}
}

// exitLocked ends a task that has not ended.
func (w *Worker) exitLocked(t *task, reason wire.ExitReason) {
	t.timer.Stop()
	if t.State == wire.TaskRunning {
		w.fleet.Checker.ObserveExit(t.Task, reason == wire.ExitDone)
	}
	t.State, t.Reason = wire.TaskExited, reason
	w.wake()
}

// killTasksLocked ends all tasks and forgets them.
func (w *Worker) killTasksLocked() {
	for _, t := range w.tasks {
		if t.State != wire.TaskExited {
			w.exitLocked(t, wire.ExitStopped)
		}
	}
	w.tasks = map[string]*task{}
}
