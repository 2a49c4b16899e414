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
	// fetchCost is what it costs, in seconds of work, that a machine must fetch
	// the image first.
	fetchCost = 10
	// restartCost is what it costs, in seconds of work, to start a running task
	// again, beside the work that it has done.
	restartCost = 1
)

// Request is a task that finds no room.
type Request struct {
	Size       placement.Resources
	Image      string
	Team       string
	Rank       int  // of its priority; 0 is the highest
	Guaranteed bool // whether its team stays within its guarantee with it
	// AboveGuarantee reports whether a team uses more than it is guaranteed.
	AboveGuarantee func(team string) bool
}

// Plan is what to stop on one machine to make room.
type Plan struct {
	Machine *fleet.Machine
	Victims []*fleet.Attempt // those that lose least first; never empty
	Cost    float64          // in seconds of work
}

// Choose returns the plan that costs least on any of the machines, of equal
// ones the first; nil if the rules permit none.
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

// planOn plans what to stop on one machine: what loses least, until there is
// room. It returns nil if there is room already, or none can be made.
func (req *Request) planOn(m *fleet.Machine, now time.Time) *Plan {
	candidates := req.candidatesOn(m)
	if len(candidates) == 0 {
		return nil
	}
	slices.SortFunc(candidates, func(a, b *fleet.Attempt) int { return cmp.Compare(lostWork(a, now), lostWork(b, now)) })
	plan := &Plan{Machine: m}
	if !m.HasImage(req.Image) {
		plan.Cost += fetchCost
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

// candidatesOn returns the attempts on a machine that may be stopped.
func (req *Request) candidatesOn(m *fleet.Machine) []*fleet.Attempt {
	var candidates []*fleet.Attempt
	for _, a := range m.Attempts.All() {
		if !a.Exited() && !a.Stop && req.mayStop(a) {
			candidates = append(candidates, a)
		}
	}
	return candidates
}

// mayStop reports whether the task may stop the victim: a higher priority may
// stop a lower one, and a team that gets its guarantee may stop any work that
// another runs above its own. What a team uses on other controllers' machines
// is not known here, so their tasks are exempt from the latter.
func (req *Request) mayStop(victim *fleet.Attempt) bool {
	if req.Rank < victim.Rank {
		return true
	}
	if !req.Guaranteed || victim.Hosted || victim.Team == req.Team {
		return false
	}
	return req.AboveGuarantee(victim.Team)
}

// lostWork is what stopping an attempt loses, in seconds of work.
func lostWork(a *fleet.Attempt, now time.Time) float64 {
	if a.Running.IsZero() {
		return 0
	}
	return restartCost + now.Sub(a.Running).Seconds()
}
