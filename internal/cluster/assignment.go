package cluster

import (
	"cmp"
	"maps"
	"slices"
)

// moveThreshold is the largest ratio of the receiving member's load after a move
// to the giving member's load before it. Above this ratio, the balance improves
// too little to justify the cost of the move.
const moveThreshold = 0.75

// assignTeams assigns every team in weights to a member and removes all other
// teams from the epoch. A team whose owner is still a member moves only if that
// improves the balance considerably, because after a move its tasks still run on
// the machines of the previous owner.
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
	load    map[string]float64 // by member, total weight of the teams that it owns
	nodes   []string           // the members, sorted by name
	teams   []string           // in descending order of weight
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

// assignUnowned assigns the teams whose owner is missing or no longer a member to
// the leader. The leader takes over the machines of a former member, so it also
// takes over the teams: with any other owner, all tasks of these teams would run
// on machines of another member.
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

// rebalance moves teams to the least loaded member where moveThreshold allows it.
// It starts with the lightest teams, because the running tasks of a moved team
// remain on the machines of the previous owner.
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
