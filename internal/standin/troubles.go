package standin

import (
	"slices"
	"time"

	"heronwick/wire"
)

// split parts the workers of a zone, and the one controller in it, from the
// rest.
type split struct {
	zone, node string
}

// Mute keeps a machine's reports from all controllers, while direct commands
// reach it, or heals that.
func (f *Fleet) Mute(machine string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[machine]; w != nil {
		w.mute = on
	}
}

// Lose takes a machine away for good, unannounced.
func (f *Fleet) Lose(machine string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removeLocked(machine)
}

// Slow delays each message to and from a machine; 0 ends that.
func (f *Fleet) Slow(machine string, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[machine]; w != nil {
		w.delay = delay
	}
}

func (f *Fleet) delay(machine string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[machine]; w != nil {
		return w.delay
	}
	return 0
}

// Hang stops a machine, or lets it go on: within its lease its tasks then run
// on, and what it was sent meanwhile is carried out.
func (f *Fleet) Hang(machine string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[machine]
	if w == nil || w.hung == on {
		return
	}
	w.hung = on
	if on {
		return
	}
	w.checkLeaseLocked(time.Now())
	held := w.held
	w.held = nil
	for _, req := range held {
		w.commandLocked(req)
	}
	for _, t := range w.tasks {
		if t.due { // it ended, or had its image, while nothing ran
			t.due = false
			t.timer.Reset(time.Millisecond)
		}
	}
	w.wake()
}

// HoldReports holds a machine's reports back, without an answer; ending that
// delivers them late, to whichever controllers the worker would now turn to.
func (f *Fleet) HoldReports(machine string, on bool) {
	f.mu.Lock()
	w := f.workers[machine]
	if w == nil {
		f.mu.Unlock()
		return
	}
	w.holdReports = on
	var late []*wire.Heartbeat
	if !on {
		late, w.lateReports = w.lateReports, nil
	}
	f.mu.Unlock()
	for i, r := range late {
		f.Report(f.Nodes[i%len(f.Nodes)], r) // its answer is too late for the worker
	}
}

// Split parts a zone and one controller from the rest; "" heals it.
func (f *Fleet) Split(zone, node string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.split = split{zone, node}
}

// reachesLocked tells whether messages pass between a controller and a worker.
func (f *Fleet) reachesLocked(node string, w *Worker) bool {
	if f.blind[node] {
		return false
	}
	return f.split.zone == "" || (w.zone == f.split.zone) == (node == f.split.node)
}

// Machines lists the machines there are.
func (f *Fleet) Machines() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range f.workers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Waiting lists jobs that have tasks on no machine though one has room, of a
// type and in a zone that the job allows, and the team's limit leaves it.
func (f *Fleet) Waiting() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var room []Room
	for _, w := range f.workers {
		r := Room{Spot: Spot{Machine: w.name, Type: w.typ.Name, Zone: w.zone, Spot: w.spot}, CPUs: w.typ.CPUs, MemoryGB: w.typ.MemoryGB}
		for _, t := range w.tasks {
			if t.State == wire.TaskExited {
				continue
			}
			if j := f.Checker.Job(t.Task); j != nil {
				r.CPUs, r.MemoryGB = r.CPUs-j.CPUs, r.MemoryGB-j.MemoryGB
				r.Tasks = append(r.Tasks, t.Task)
			}
		}
		room = append(room, r)
	}
	return f.Checker.Waiting(room)
}
