package preemption

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"heronwick/internal/fleet"
	"heronwick/internal/placement"
)

const (
	// imageFetchCostS is the cost, in seconds of work, of choosing a machine that has
	// to fetch the image first.
	imageFetchCostS = 10
	// restartCostS is the cost, in seconds of work, of restarting a running task, in
	// addition to the work that is lost.
	restartCostS = 1
)

// Request describes the task that needs room.
type Request struct {
	Size       placement.Resources
	Image      string
	Team       string
	Rank       int  // rank of the task's priority; 0 is the highest
	Guaranteed bool // whether its team stays within its guarantee if the task is placed
	// AboveGuarantee reports whether a team uses more than its guarantee.
	AboveGuarantee func(team string) bool
}

// Plan lists the attempts to stop on one machine to make room.
type Plan struct {
	Machine *fleet.Machine
	Victims []*fleet.Attempt // sorted by lost work, the least first; never empty
	Cost    float64          // in seconds of work
}

// Choose returns the plan with the lowest cost over the machines, the first of equal
// ones, or nil if the rules permit no plan.
func Choose(req *Request, machines iter.Seq[*fleet.Machine], now time.Time) *Plan {
	var best *Plan
	for m := range machines {
		plan := req.planOn(m, now)
		if plan != nil && (best == nil || plan.Cost < best.Cost) {
			best = plan
		}
	}
	return best
}

// planOn returns a plan for one machine: it stops the attempts that lose the least work,
// one after the other, until there is room. It returns nil if there is room already or
// if stopping all candidates would not make enough.
func (req *Request) planOn(m *fleet.Machine, now time.Time) *Plan {
	candidates := req.candidatesOn(m)
	if len(candidates) == 0 {
		return nil
	}
	slices.SortFunc(candidates, func(a, b *fleet.Attempt) int { return cmp.Compare(lostWork(a, now), lostWork(b, now)) })
	plan := &Plan{Machine: m}
	if !m.HasImage(req.Image) {
		plan.Cost += imageFetchCostS
	}
	room := m.Free()
	for _, a := range candidates {
		if req.Size.Within(room) {
			break
		}
		room = room.Plus(a.Size)
		plan.Victims = append(plan.Victims, a)
		plan.Cost += lostWork(a, now)
	}
	if len(plan.Victims) == 0 || !req.Size.Within(room) {
		return nil
	}
	return plan
}

// candidatesOn returns the attempts on the machine that may be preempted.
func (req *Request) candidatesOn(m *fleet.Machine) []*fleet.Attempt {
	var candidates []*fleet.Attempt
	for _, a := range m.Attempts.All() {
		if !a.Exited() && !a.Stop && req.mayPreempt(a) {
			candidates = append(candidates, a)
		}
	}
	return candidates
}

// mayPreempt reports whether the task may preempt the victim. A task may preempt tasks of
// lower priority. A task that is within its team's guarantee may also preempt tasks of any
// priority of another team that is above its guarantee. The second rule excludes hosted
// tasks, because their team's usage on other controllers' machines is not known here.
func (req *Request) mayPreempt(victim *fleet.Attempt) bool {
	if req.Rank < victim.Rank {
		return true
	}
	if !req.Guaranteed || victim.Hosted || victim.Team == req.Team {
		return false
	}
	return req.AboveGuarantee(victim.Team)
}

// lostWork returns the cost of stopping an attempt, in seconds of work.
func lostWork(a *fleet.Attempt, now time.Time) float64 {
	if a.RunningSince.IsZero() {
		return 0
	}
	return restartCostS + now.Sub(a.RunningSince).Seconds()
}
