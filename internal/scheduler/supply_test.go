package scheduler

import (
	"slices"
	"testing"
	"time"

	"heronwick/internal/placement"
)

// What the cloud refuses again and again is asked for ever more rarely, and at once
// again after it was filled.
func TestRefusalsBackOff(t *testing.T) {
	s, now, place := newSupply(), time.Now(), placement.Place{Type: "m", Zone: "z"}
	for _, want := range []time.Duration{5, 10, 20, 40, 40} {
		s.answered(place, false, now)
		if want *= time.Second; !s.refusedLately(place, now.Add(want-1)) || s.refusedLately(place, now.Add(want)) {
			t.Errorf("not refused for %v: %+v", want, s.refused[place])
		}
	}
	if s.refusedLately(placement.Place{Type: "m", Zone: "y"}, now) {
		t.Error("another place counts as refused")
	}
	s.answered(place, true, now)
	if s.refusedLately(place, now) {
		t.Error("refused after it was filled")
	}
	s.answered(place, false, now)
	if s.refusedLately(place, now.Add(6*time.Second)) {
		t.Error("an old refusal counts on")
	}
}

// A machine is overdue by its own limit, but not before this share has known of it for
// a while; one that is gone is forgotten late.
func TestMachinesThatComeAndGo(t *testing.T) {
	s, now := newSupply(), time.Now()
	s.expect("old", placement.Place{Type: "slow"}, now.Add(-time.Minute), now)
	s.expect("old", placement.Place{Type: "slow"}, now, now.Add(time.Hour)) // known already
	s.expect("new", placement.Place{Type: "slow"}, now, now)
	overdue := func(after time.Duration) []string {
		return s.overdue(now.Add(after), func(placement.Place) time.Duration { return 30 * time.Second }, 10*time.Second)
	}
	if names := overdue(5 * time.Second); len(names) > 0 {
		t.Errorf("overdue at once: %v", names)
	}
	if names := overdue(11 * time.Second); !slices.Equal(names, []string{"old"}) {
		t.Errorf("overdue: %v", names)
	}
	s.gone("old", now)
	if names := overdue(time.Minute); !slices.Equal(names, []string{"new"}) || !s.isGone("old") {
		t.Errorf("overdue: %v", names)
	}
	if s.forget(now.Add(returnedFor)); !s.isGone("old") {
		t.Error("forgotten too early")
	}
	if s.forget(now.Add(returnedFor + 1)); s.isGone("old") {
		t.Error("never forgotten")
	}
}
