package soak

import (
	"math/rand/v2"
	"time"
)

// onController returns a fault of one random controller.
func onController(set func(c *controller, on bool)) func(*site, *rand.Rand) func() {
	return func(s *site, random *rand.Rand) func() {
		c := s.randomController(random)
		s.record.event("  at %s", c.name)
		return toggle(func(on bool) { set(c, on) })
	}
}

// randomController returns one of the controllers.
func (s *site) randomController(random *rand.Rand) *controller {
	return s.controllers[random.IntN(len(s.controllers))]
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
