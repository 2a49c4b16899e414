package cluster

import (
	"testing"
)

// A team moves only if that improves the balance considerably or if its owner is no
// longer a member.
func TestAssignTeams(t *testing.T) {
	e := Epoch{Members: map[string]Member{"a": {Since: 1}, "b": {Since: 1}}, Teams: map[string]string{}}
	weights := map[string]float64{"red": 5, "blue": 4, "green": 1}
	e.assignTeams(weights)
	if e.Teams["red"] == e.Teams["blue"] || e.Teams["blue"] != e.Teams["green"] {
		t.Errorf("the initial assignment is unbalanced: %v", e.Teams)
	}
	before := e.next()
	weights["green"] = 3 // a slight imbalance, which does not justify a move
	e.assignTeams(weights)
	for team, node := range before.Teams {
		if e.Teams[team] != node {
			t.Errorf("%s moved although the balance hardly improves", team)
		}
	}
	e.Leader = "b"
	e.Members["d"] = Member{Since: 9}
	e.assignTeams(weights)
	if e.Teams["red"] == "d" || e.Teams["green"] != "d" && e.Teams["blue"] != "d" {
		t.Errorf("the new member should own green or blue, but not red: %v", e.Teams)
	}
	delete(e.Members, "b")
	delete(e.Members, "d")
	e.assignTeams(weights)
	for team, node := range e.Teams {
		if node != "a" {
			t.Errorf("%s belongs to %s, which is no longer a member", team, node)
		}
	}
}
