package soak

import (
	"math/rand/v2"
	"time"
)

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

// randomMachine returns the name of one of the machines, or "" if there are none.
func (s *site) randomMachine(random *rand.Rand) string {
	machines := s.fleet.Machines()
	drawn := random.Uint64()
	if len(machines) == 0 {
		return ""
	}
	return machines[drawn%uint64(len(machines))]
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
