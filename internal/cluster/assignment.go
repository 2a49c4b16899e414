package cluster

import (
	"cmp"
	"maps"
	"slices"
)

// moveThreshold is the part of the giver's load below which the receiver of a
// team must stay: otherwise the move is not worth its cost.
const moveThreshold = 0.75

// assignTeams gives every team of weights an owner among the members and forgets
// all other teams. A team whose owner is a member moves only if that evens out
// the work by much: a move costs its tasks a second owner.
func (e *Epoch) assignTeams(weights map[string]float64) {
	a := newAssignment(e, weights)
	a.assignUnowned()
	a.rebalance()
	maps.DeleteFunc(e.Teams, func(team, _ string) bool {
		_, exists := weights[team]
		return !exists
	})
}

// assignment distributes the teams of an epoch among its members.
type assignment struct {
	epoch   *Epoch
	weights map[string]float64 // by team
	load    map[string]float64 // by member, of the teams that it owns
	nodes   []string           // the members, by name
	teams   []string           // the heaviest first
}

func newAssignment(e *Epoch, weights map[string]float64) *assignment {
	a := &assignment{
		epoch:   e,
		weights: weights,
		load:    map[string]float64{},
		nodes:   slices.Sorted(maps.Keys(e.Members)),
		teams:   slices.Sorted(maps.Keys(weights)),
	}
	for _, node := range a.nodes {
		a.load[node] = 0
	}
	slices.SortStableFunc(a.teams, func(x, y string) int { return cmp.Compare(weights[y], weights[x]) })
	return a
}

func (a *assignment) isMember(node string) bool {
	_, ok := a.load[node]
	return ok
}

func (a *assignment) leastLoaded() string {
	return slices.MinFunc(a.nodes, func(x, y string) int { return cmp.Compare(a.load[x], a.load[y]) })
}

// assignUnowned gives the teams without an owner that is a member a new one. The
// leader takes the machines of a member that has gone, so it takes its teams too:
// elsewhere all their tasks would run on another owner's machines.
func (a *assignment) assignUnowned() {
	var unowned []string
	for _, team := range a.teams {
		owner := a.epoch.Teams[team]
		if !a.isMember(owner) {
			unowned = append(unowned, team)
			continue
		}
		a.load[owner] += a.weights[team]
	}
	for _, team := range unowned {
		owner := a.epoch.Leader
		if !a.isMember(owner) {
			owner = a.leastLoaded()
		}
		a.epoch.Teams[team] = owner
		a.load[owner] += a.weights[team]
	}
}

// rebalance moves teams to the least loaded member where that is worth it, the
// lightest first: a move leaves the team's tasks on others' machines.
func (a *assignment) rebalance() {
	for _, team := range slices.Backward(a.teams) {
		weight := a.weights[team]
		from, to := a.epoch.Teams[team], a.leastLoaded()
		if from != to && a.load[to]+weight < moveThreshold*a.load[from] {
			a.epoch.Teams[team] = to
			a.load[from] -= weight
			a.load[to] += weight
		}
	}
}
