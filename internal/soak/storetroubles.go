package soak

import (
	"math/rand/v2"
	"time"
)

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
