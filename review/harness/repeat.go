package main

import (
	"time"

	"heronwick/wire"
)

// playRepeat repeats the start of a task that is done, long after its job was cancelled,
// when the controller that had sent it ends.
func playRepeat(s *site, trouble bool) error {
	time.Sleep(5 * time.Second) // until all controllers have joined
	machine, err := s.addMachine(s.settings.types[0], "arusha-north", false, 0)
	if err != nil {
		return err
	}
	service := slowLinkJob(1, wire.KindService, wire.PriorityProd, 2)
	service.EstimateS = 0
	if err := s.submit(service, 0); err != nil {
		return err
	}
	if err := s.waitFor("the service runs", 20*time.Second, func() bool { return s.runningOn(service.ID+"/0", machine) }); err != nil {
		return err
	}
	array := slowLinkJob(2, wire.KindArray, wire.PriorityNormal, 2)
	array.Tasks = 2
	short, long := wire.TaskID(array.ID, 0), wire.TaskID(array.ID, 1)
	s.mu.Lock()
	s.runTimes[short] = 2 * time.Second
	s.mu.Unlock()
	if err := s.submit(array, 200*time.Second); err != nil {
		return err
	}
	if err := s.waitFor("one task is done and forgotten, the other runs", 20*time.Second, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.done[short] && !machine.hasLocked(short) && s.running[long][machine.name]
	}); err != nil {
		return err
	}
	if err := s.cancel(array.ID); err != nil {
		return err
	}
	if err := s.waitFor("the other task is gone", 20*time.Second, func() bool { return !s.runningOn(long, machine) }); err != nil {
		return err
	}
	time.Sleep(time.Duration((s.settings.cancelS + 2) * float64(time.Second)))
	if !trouble {
		return nil
	}
	s.mu.Lock()
	owner := s.controllers[machine.node]
	s.mu.Unlock()
	s.rec.event("TROUBLE: %s, which has the machine, ends", owner.name)
	owner.kill()
	s.repeatStart(machine, short)
	time.Sleep(300 * time.Millisecond)
	if err := owner.start(); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	return nil
}

// hasLocked reports whether a worker knows any attempt of a task.
func (w *worker) hasLocked(task string) bool {
	for _, t := range w.tasks {
		if t.Task == task {
			return true
		}
	}
	return false
}
