package main

import (
	"bytes"
	"net/http"
	"time"

	"heronwick/wire"
)

const (
	restartDelay = 300 * time.Millisecond // how long the machine is away
	outageTime   = 25 * time.Second       // how long the cloud's interface is down
)

func restartSettings() siteSettings {
	zones := []string{"cdmx-roma", "gdl-centro", "mty-norte"}
	return siteSettings{
		reportS: 3, leaseS: 26, cancelS: 51, limits: amemtLimits, zones: zones,
		teams: []wireTeam{{"memorias", 0, 0}},
		types: []wire.MachineType{nopal("nopal", zones...), nopal("biznaga", zones...)},
	}
}

// restartJob returns a job of one task.
func restartJob(number int, kind wire.Kind, priority wire.Priority, cpus float64, types ...string) wire.Job {
	j := slowLinkJob(number, kind, priority, cpus, types...)
	j.Class, j.Team = "string-align", "memorias"
	return j
}

// playRestart lets a machine end and be back within a fraction of a second while the
// cloud's interface is down, and repeats a request that it had carried out.
func playRestart(s *site, trouble bool) error {
	time.Sleep(5 * time.Second) // until all controllers have joined
	types := s.settings.types
	first, err := s.addMachine(types[0], "cdmx-roma", false, 0)
	if err != nil {
		return err
	}
	second, err := s.addMachine(types[1], "cdmx-roma", false, 0)
	if err != nil {
		return err
	}
	a := restartJob(1, wire.KindService, wire.PriorityProd, 2, "nopal")
	b := restartJob(2, wire.KindService, wire.PriorityProd, 11, "biznaga")
	filler := restartJob(3, wire.KindService, wire.PriorityProd, 4, "biznaga")
	long := restartJob(4, wire.KindArray, wire.PriorityNormal, 4)
	for _, j := range []wire.Job{a, b, filler} {
		j.EstimateS = 0
		if err := s.submit(j, 0); err != nil {
			return err
		}
	}
	if err := s.waitFor("the services run", 30*time.Second, func() bool {
		return s.runningOn(a.ID+"/0", first) && s.runningOn(b.ID+"/0", second) && s.runningOn(filler.ID+"/0", second)
	}); err != nil {
		return err
	}
	task := long.ID + "/0"
	if err := s.submit(long, 100*time.Second); err != nil {
		return err
	}
	if err := s.waitFor("the long task runs on the first machine", 20*time.Second, func() bool { return s.runningOn(task, first) }); err != nil {
		return err
	}
	if err := s.cancel(filler.ID); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	if !trouble {
		time.Sleep(outageTime)
		return nil
	}
	return s.restartDuringOutage(first, second, task)
}

// restartDuringOutage restarts the first machine and repeats the start of the task once
// it runs on the second one.
func (s *site) restartDuringOutage(first, second *worker, task string) error {
	s.mu.Lock()
	s.cloudDown = true
	s.rec.event("TROUBLE: the cloud's interface is down; %s ends", first.name)
	first.killLocked("the machine ends")
	first.away = true
	s.mu.Unlock()
	time.AfterFunc(outageTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.cloudDown = false
		s.rec.event("the cloud's interface is up again")
	})
	time.Sleep(restartDelay)
	s.mu.Lock()
	first.restartLocked()
	s.mu.Unlock()
	if s.waitFor("the task runs on the second machine", outageTime-restartDelay, func() bool { return s.runningOn(task, second) }) != nil {
		s.rec.event("the task was not started again")
		return nil
	}
	s.repeatStart(first, task)
	time.Sleep(3 * time.Second)
	return nil
}

// repeatStart repeats the direct commands with a start of a task that a machine has
// carried out.
func (s *site) repeatStart(w *worker, task string) {
	s.mu.Lock()
	requests := w.carriedOut
	s.mu.Unlock()
	for _, body := range requests {
		if !bytes.Contains(body, []byte(`"launch","feather":"`+task+`"`)) {
			continue
		}
		s.rec.event("TROUBLE: a request that %s had carried out is repeated: %s", w.name, body)
		response, err := http.Post("http://"+w.address+wire.PathCommands, "application/json", bytes.NewReader(body))
		if err == nil {
			_ = response.Body.Close()
		}
	}
}
