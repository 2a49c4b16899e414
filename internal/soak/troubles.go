package soak

import (
	"math/rand/v2"
	"time"
)

// trouble is a kind of fault. begin starts it and returns the function that ends it.
type trouble struct {
	name  string
	begin func(s *site, random *rand.Rand) (end func())
}

// troubles are all kinds of faults, in the order in which a seed draws from them.
var troubles = []trouble{
	{"kill-controller", killController},
	{"kill-in-series", killInSeries},
	{"kill-all", killAll},
	{"owners-change", changeOwners},
	{"owner-learns-late", changeOwnersLate},
	{"pause-controller", onController((*controller).setPaused)},
	{"cut-peers", onController((*controller).setPeersCut)},
	{"refuse-controller", refuseController},
	{"refuse-and-cut", refuseAndCut},
	{"workers-cut-off", cutWorkers},
	{"store-outage", func(s *site, _ *rand.Rand) func() { return toggle(s.store.SetOutage) }},
	{"store-slow", slowStore},
	{"store-slow-for-one", slowStoreForOne},
	{"job-watch-slow", slowJobWatch},
	{"answers-lost", loseAnswers},
	{"writes-late", delayWrites},
	{"writes-repeated", repeatWrites},
	{"cloud-outage", func(s *site, _ *rand.Rand) func() { return toggle(s.fleet.SetCloudOutage) }},
	{"rentals-late", func(s *site, _ *rand.Rand) func() { return toggle(s.fleet.HoldRentals) }},
	{"machines-cut", onMachines(func(s *site, m string, on bool) { s.fleet.Disconnect(m, on) })},
	{"machines-deaf", onMachines(func(s *site, m string, on bool) { s.fleet.DropInbound(m, on) })},
	{"machines-mute", onMachines(func(s *site, m string, on bool) { s.fleet.DropHeartbeats(m, on) })},
	{"machines-hang", onMachines(func(s *site, m string, on bool) { s.fleet.Pause(m, on) })},
	{"hang-and-cancel", hangAndCancel},
	{"commands-late", onMachines(func(s *site, m string, on bool) { s.fleet.HoldCommands(m, on) })},
	{"reports-late", onMachines(func(s *site, m string, on bool) { s.fleet.HoldHeartbeats(m, on) })},
	{"links-slow", slowLinks},
	{"commands-repeated", repeatCommands},
	{"restart-machines", restartMachines},
	{"machine-gone", endMachine},
}

// Names returns the names of all kinds of faults.
func Names() []string {
	names := make([]string, len(troubles))
	for i, t := range troubles {
		names[i] = t.name
	}
	return names
}

// noEnd is the end of a fault that is over as soon as it has begun.
func noEnd() {}

// toggle switches a fault on and returns the function that switches it off.
func toggle(set func(on bool)) (end func()) {
	set(true)
	return func() { set(false) }
}

// onController returns a fault of one random controller.
func onController(set func(c *controller, on bool)) func(*site, *rand.Rand) func() {
	return func(s *site, random *rand.Rand) func() {
		c := s.randomController(random)
		s.record.event("  at %s", c.name)
		return toggle(func(on bool) { set(c, on) })
	}
}

// onMachines returns a fault of up to three random machines.
func onMachines(set func(s *site, machine string, on bool)) func(*site, *rand.Rand) func() {
	return func(s *site, random *rand.Rand) func() {
		machines := []string{s.randomMachine(random), s.randomMachine(random), s.randomMachine(random)}
		s.record.event("  at %v", machines)
		return toggle(func(on bool) {
			for _, machine := range machines {
				set(s, machine, on)
			}
		})
	}
}

// randomController returns one of the controllers.
func (s *site) randomController(random *rand.Rand) *controller {
	return s.controllers[random.IntN(len(s.controllers))]
}

// randomMachine returns the name of one of the machines, or "" if there are none.
func (s *site) randomMachine(random *rand.Rand) string {
	machines := s.fleet.Machines()
	drawn := random.Uint64()
	if len(machines) == 0 {
		return ""
	}
	return machines[drawn%uint64(len(machines))]
}

// startLogged starts a controller and records an error.
func (s *site) startLogged(c *controller) {
	if err := c.start(s.ctx); err != nil {
		s.record.event("%s does not start: %v", c.name, err)
	}
}

// killController kills a controller. In half of the cases it is back within 0.3 s.
func killController(s *site, random *rand.Rand) func() {
	c := s.randomController(random)
	quick, downtime := random.IntN(2) == 0, randomDuration(random, 300*time.Millisecond)
	s.record.event("  kill %s, back at once: %v", c.name, quick)
	c.kill()
	if quick {
		time.Sleep(downtime)
		s.startLogged(c)
		return noEnd
	}
	return func() { s.startLogged(c) }
}

// killInSeries kills each controller in turn, some in the middle of an election.
func killInSeries(s *site, random *rand.Rand) func() {
	for range 2 * len(s.controllers) {
		c := s.randomController(random)
		s.record.event("  kill %s", c.name)
		c.kill()
		time.Sleep(randomDuration(random, 500*time.Millisecond))
		s.startLogged(c)
		time.Sleep(randomDuration(random, 3*time.Second))
	}
	return noEnd
}

// killAll kills all controllers.
func killAll(s *site, _ *rand.Rand) func() {
	for _, c := range s.controllers {
		c.kill()
	}
	return func() {
		for _, c := range s.controllers {
			s.startLogged(c)
		}
	}
}

// changeOwners kills two controllers one after the other. Each is back at once and joins again, so
// that teams change owner and come back.
func changeOwners(s *site, random *rand.Rand) func() {
	const rejoinTime = 2 * time.Second // from a start until the controller is a member again
	for range 2 {
		c := s.randomController(random)
		s.record.event("  kill %s, back at once", c.name)
		c.kill()
		s.startLogged(c)
		time.Sleep(rejoinTime + randomDuration(random, time.Second))
	}
	return noEnd
}

// changeOwnersLate is changeOwners while one controller gets slow responses of the store, and
// learns late of jobs that are accepted, done and cancelled meanwhile.
func changeOwnersLate(s *site, random *rand.Rand) func() {
	endWatch, endStore := slowJobWatch(s, random), slowStoreForOne(s, random)
	changeOwners(s, random)
	return func() {
		endWatch()
		endStore()
	}
}

// setPeersCut cuts a controller's links to the others, or restores them.
func (c *controller) setPeersCut(on bool) {
	for _, link := range c.links {
		link.setCut(on)
	}
}

// refuseController makes the store refuse one controller.
func refuseController(s *site, random *rand.Rand) func() {
	name := s.randomController(random).name
	s.record.event("  at %s", name)
	return toggle(func(on bool) { s.store.RejectNode(name, on) })
}

// refuseAndCut leaves a controller only its workers and users.
func refuseAndCut(s *site, random *rand.Rand) func() {
	c := s.randomController(random)
	s.record.event("  at %s", c.name)
	return toggle(func(on bool) {
		s.store.RejectNode(c.name, on)
		for _, other := range s.controllers {
			if other == c {
				c.setPeersCut(on)
			} else {
				other.links[c.name].setCut(on)
			}
		}
	})
}

// cutWorkers loses all heartbeats to one controller.
func cutWorkers(s *site, random *rand.Rand) func() {
	name := s.randomController(random).name
	s.record.event("  at %s", name)
	return toggle(func(on bool) { s.fleet.Isolate(name, on) })
}

// slowStore delays all responses of the store.
func slowStore(s *site, random *rand.Rand) func() {
	delay := randomDuration(random, 700*time.Millisecond)
	s.record.event("  by %v", delay)
	s.store.DelayResponses(delay)
	return func() { s.store.DelayResponses(0) }
}

// slowStoreForOne delays the responses of the store to one controller.
func slowStoreForOne(s *site, random *rand.Rand) func() {
	name, delay := s.randomController(random).name, randomDuration(random, time.Second)
	s.record.event("  at %s, by %v", name, delay)
	s.store.DelayNodeResponses(name, delay)
	return func() { s.store.DelayNodeResponses(name, 0) }
}

// slowJobWatch delays what one controller learns of jobs by its watch.
func slowJobWatch(s *site, random *rand.Rand) func() {
	const prefix = "jobs/"
	name, delay := s.randomController(random).name, randomDuration(random, time.Second)
	s.record.event("  at %s, by %v", name, delay)
	s.store.DelayWatch(name, prefix, delay)
	return func() { s.store.DelayWatch(name, prefix, 0) }
}

// hangAndCancel lets up to three machines hang, and users cancel the jobs of their tasks.
func hangAndCancel(s *site, random *rand.Rand) func() {
	machines := []string{s.randomMachine(random), s.randomMachine(random), s.randomMachine(random)}
	s.record.event("  at %v", machines)
	pause := func(on bool) {
		for _, machine := range machines {
			s.fleet.Pause(machine, on)
		}
	}
	pause(true)
	s.users.cancelJobsOn(machines, random)
	return func() { pause(false) }
}

// loseAnswers loses the responses to the next transactions.
func loseAnswers(s *site, random *rand.Rand) func() {
	s.store.DropResponses(1 + random.IntN(20))
	return func() { s.store.DropResponses(0) }
}

// delayWrites carries the next transactions out late.
func delayWrites(s *site, random *rand.Rand) func() {
	s.store.HoldTransactions(1 + random.IntN(20))
	return func() {
		s.store.HoldTransactions(0)
		s.store.ReleaseTransactions()
	}
}

// repeatWrites repeats the last transactions.
func repeatWrites(s *site, _ *rand.Rand) func() {
	s.store.ReplayTransactions()
	return noEnd
}

// slowLinks delays the messages to and from some machines.
func slowLinks(s *site, random *rand.Rand) func() {
	delay := randomDuration(random, 2*time.Second)
	return onMachines(func(s *site, machine string, on bool) {
		if !on {
			delay = 0
		}
		s.fleet.DelayMessages(machine, delay)
	})(s, random)
}

// repeatCommands delivers the recent direct commands of some machines once more.
func repeatCommands(s *site, random *rand.Rand) func() {
	const machines = 10
	for range machines {
		machine := s.randomMachine(random)
		s.record.event("  at %s", machine)
		s.fleet.RepeatCommands(machine)
		time.Sleep(randomDuration(random, 100*time.Millisecond))
	}
	return noEnd
}

// restartMachines restarts some machines at once.
func restartMachines(s *site, random *rand.Rand) func() {
	for range 1 + random.IntN(3) {
		machine := s.randomMachine(random)
		s.record.event("  restart %s", machine)
		s.fleet.Restart(machine)
		time.Sleep(randomDuration(random, 500*time.Millisecond))
	}
	return noEnd
}

// endMachine ends a machine for good, without a notice.
func endMachine(s *site, random *rand.Rand) func() {
	machine := s.randomMachine(random)
	s.record.event("  %s is gone", machine)
	s.fleet.Terminate(machine)
	return noEnd
}
