package scheduler

import (
	"time"

	"heronwick/internal/placement"
	"heronwick/internal/state"
)

// supply is what the share knows of machines that come and go: those that were rented
// and have not reported, what the cloud has just refused, and those that are gone. It
// asks nobody.
type supply struct {
	booting  map[string]*booting
	refused  map[placement.Place]refusal
	returned map[string]time.Time // machines that are surely gone
	untold   []string             // of those, what the others are still to be told
	telling  bool                 // they are being told
}

// booting is a machine that was rented and whose worker has not reported.
type booting struct {
	place placement.Place
	since time.Time // when it was rented
	seen  time.Time // when this share first knew of it
}

// refusal remembers that the cloud had no such machine.
type refusal struct {
	until time.Time
	wait  time.Duration
}

const (
	// refusedFor is how long what was refused is not asked for again, at first; twice as
	// long after each further refusal.
	refusedFor = 5 * time.Second
	// refusedForMost bounds that.
	refusedForMost = 40 * time.Second
	// returnedFor is how long a machine that is gone is remembered: copies of its reports
	// may come, and the cloud's list lags.
	returnedFor = 10 * time.Minute
)

func newSupply() supply {
	return supply{booting: map[string]*booting{}, refused: map[placement.Place]refusal{}, returned: map[string]time.Time{}}
}

// expect notes a machine that was rented at a time.
func (s *supply) expect(name string, place placement.Place, since, now time.Time) {
	if s.booting[name] == nil {
		s.booting[name] = &booting{place: place, since: since, seen: now}
	}
}

// overdue returns the machines that have not come up in time. They may be up already,
// and only their workers have not come to a new leader yet: patience counts from when
// this share knew of them.
func (s *supply) overdue(now time.Time, limit func(place placement.Place) time.Duration, patience time.Duration) (names []string) {
	for name, b := range s.booting {
		if now.Sub(b.since) > limit(b.place) && now.Sub(b.seen) > patience {
			names = append(names, name)
		}
	}
	return names
}

// answered notes whether the cloud had all that was asked for at a place.
func (s *supply) answered(place placement.Place, filled bool, now time.Time) {
	if filled {
		delete(s.refused, place)
		return
	}
	r := s.refused[place]
	r.wait = min(max(2*r.wait, refusedFor), refusedForMost)
	r.until = now.Add(r.wait)
	s.refused[place] = r
}

// refusedLately tells whether the cloud is not to be asked for a place yet.
func (s *supply) refusedLately(place placement.Place, now time.Time) bool {
	return now.Before(s.refused[place].until)
}

// gone notes that a machine is surely gone.
func (s *supply) gone(name string, now time.Time) {
	s.returned[name] = now
	delete(s.booting, name)
}

// isGone tells whether a machine is known to be gone.
func (s *supply) isGone(name string) bool { return !s.returned[name].IsZero() }

// forget forgets machines that have been gone for long.
func (s *supply) forget(now time.Time) {
	for name, at := range s.returned {
		if now.Sub(at) > returnedFor {
			delete(s.returned, name)
		}
	}
}

// goneSyntax is what a machine's name takes of a transfer beside itself.
const goneSyntax = len(`"":null,`)

// toTell returns as many of the machines that are gone as one write of so many bytes can
// name.
func (s *supply) toTell(limit int) []string {
	return s.untold[:state.NamesThatFit(s.untold, 0, goneSyntax, limit)]
}
