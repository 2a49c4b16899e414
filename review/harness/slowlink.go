package main

import (
	"fmt"
	"time"

	"heronwick/wire"
)

// slowLinkDelay is what each message between the controllers and the machine on the slow
// link takes.
const slowLinkDelay = 300 * time.Millisecond

func slowLinkSettings() siteSettings {
	return siteSettings{
		reportS: 2.5, leaseS: 16, cancelS: 36, limits: zawadiLimits, zones: []string{"arusha-north"},
		teams: []wireTeam{{"farm-liaison", 256, 608}},
		types: []wire.MachineType{baobab("baobab", "arusha-north"), baobab("acacia", "arusha-north")},
	}
}

// slowLinkJob returns a job of one task.
func slowLinkJob(number int, kind wire.Kind, priority wire.Priority, cpus float64, types ...string) wire.Job {
	return wire.Job{ID: fmt.Sprintf("wk-%06d", number), Class: "stem-match", Team: "farm-liaison", Kind: kind, Priority: priority, Tasks: 1,
		CPUs: cpus, MemoryGB: 1, Image: "img-01", ImageGB: 0.05, Types: types, EstimateS: 60}
}

// playSlowLink lets urgent work come for room that work just placed is about to take, on
// a machine whose link is slow.
func playSlowLink(s *site, trouble bool) error {
	types := s.settings.types
	slow, err := s.addMachine(types[0], "arusha-north", false, 0)
	if err != nil {
		return err
	}
	fast, err := s.addMachine(types[1], "arusha-north", false, 0)
	if err != nil {
		return err
	}
	// Services that stay keep both machines in use, and their image is on both.
	first := slowLinkJob(1, wire.KindService, wire.PriorityProd, 2, "baobab")
	second := slowLinkJob(2, wire.KindService, wire.PriorityProd, 11, "acacia")
	for _, j := range []wire.Job{first, second} {
		j.EstimateS = 0
		if err := s.submit(j, 0); err != nil {
			return err
		}
	}
	if err := s.waitFor("the services run", 30*time.Second, func() bool {
		return s.runningOn(first.ID+"/0", slow) && s.runningOn(second.ID+"/0", fast)
	}); err != nil {
		return err
	}
	if trouble {
		s.rec.event("TROUBLE: each message between the controllers and %s takes %v from now on", slow.name, slowLinkDelay)
		s.mu.Lock()
		slow.toWorker, slow.fromWorker = slowLinkDelay, slowLinkDelay
		s.mu.Unlock()
	}
	time.Sleep(3 * time.Second)
	for round := range 9 {
		if err := s.playSlowLinkRound(100+10*round, slow); err != nil {
			return err
		}
		if len(s.broken()) > 0 {
			return nil
		}
	}
	return nil
}

// playSlowLinkRound submits two jobs that fit beside each other on the slow machine
// shortly before its next report, and an urgent one that takes the room of the second
// shortly after.
func (s *site) playSlowLinkRound(number int, slow *worker) error {
	a := slowLinkJob(number, wire.KindArray, wire.PriorityProd, 6, "baobab")
	b := slowLinkJob(number+1, wire.KindArray, wire.PriorityLow, 4)
	c := slowLinkJob(number+2, wire.KindArray, wire.PriorityProd, 7, "baobab")
	var report time.Time
	for { // a report that is due in more than half a second
		s.mu.Lock()
		report = slow.nextReport
		s.mu.Unlock()
		if until := time.Until(report); until > 300*time.Millisecond && until < 3*time.Second {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	s.rec.event("round: the next report of %s is due in %v", slow.name, time.Until(report))
	failed := make(chan error, 3)
	at := func(offset time.Duration, j wire.Job) {
		go func() {
			time.Sleep(time.Until(report.Add(offset)))
			failed <- s.submit(j, 60*time.Second)
		}()
	}
	at(-200*time.Millisecond, a)
	at(-130*time.Millisecond, b)
	at(slowLinkDelay+10*time.Millisecond, c)
	for range 3 {
		if err := <-failed; err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	for _, j := range []wire.Job{a, b, c} {
		if err := s.cancel(j.ID); err != nil {
			return err
		}
	}
	return s.waitFor("the round's jobs are gone", 20*time.Second, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, j := range []wire.Job{a, b, c} {
			if len(s.running[j.ID+"/0"]) > 0 {
				return false
			}
		}
		for _, w := range s.workers {
			for _, t := range w.tasks {
				if t.State != wire.TaskExited && s.jobOfLocked(t.Task).Kind == wire.KindArray {
					return false
				}
			}
		}
		return true
	})
}
