package cluster

import (
	"testing"
)

// Teams move only where that evens out the work by much, and away from members that
// have gone.
func TestAssignTeams(t *testing.T) {
	e := Epoch{Members: map[string]Member{"a": {Since: 1}, "b": {Since: 1}}, Teams: map[string]string{}}
	weights := map[string]float64{"red": 5, "blue": 4, "green": 1}
	e.assignTeams(weights)
	if e.Teams["red"] == e.Teams["blue"] || e.Teams["blue"] != e.Teams["green"] {
		t.Errorf("uneven: %v", e.Teams)
	}
	before := e.next()
	weights["green"] = 3 // a little uneven: not worth a move
	e.assignTeams(weights)
	for team, node := range before.Teams {
		if e.Teams[team] != node {
			t.Errorf("%s moved for a small gain", team)
		}
	}
	e.Leader = "b"
	e.Members["d"] = Member{Since: 9}
	e.assignTeams(weights)
	if e.Teams["red"] == "d" || e.Teams["green"] != "d" && e.Teams["blue"] != "d" {
		t.Errorf("the newcomer should get little that runs elsewhere: %v", e.Teams)
	}
	delete(e.Members, "b")
	delete(e.Members, "d")
	e.assignTeams(weights)
	for team, node := range e.Teams {
		if node != "a" {
			t.Errorf("%s belongs to %s, which is gone", team, node)
		}
	}
}
