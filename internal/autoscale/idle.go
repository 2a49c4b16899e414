package autoscale

import (
	"slices"
	"time"
)

const (
	// keepWarm is how long an idle machine is kept for what may come.
	keepWarm = 5 * time.Minute
	// keepUnused is how long it is kept while there are no jobs at all.
	keepUnused = 30 * time.Second
	// idlePart is which part of the machines may stay idle in reserve.
	idlePart = 5
)

// IdleMachine is a machine on which nothing runs.
type IdleMachine struct {
	Name  string
	Since time.Time // when it became idle
}

// IdleReserve returns how many machines of so many usable ones are kept idle
// rather than returned.
func IdleReserve(usable int) int { return max(1, usable/idlePart) }

// SurplusIdle returns the names of the idle machines to return now: the one
// that has been idle for longest, if more are idle than the reserve; while
// there are no jobs, all beyond the reserve. It reorders idle.
func SurplusIdle(idle []IdleMachine, reserve int, hasJobs func() bool, now time.Time) []string {
	if len(idle) <= reserve {
		return nil
	}
	slices.SortFunc(idle, func(a, b IdleMachine) int { return a.Since.Compare(b.Since) })
	surplus, keep := idle[:1], keepWarm
	if !hasJobs() {
		// Nobody wants anything, so only the reserve is worth its price.
		surplus, keep = idle[:len(idle)-reserve], keepUnused
	}
	var names []string
	for _, m := range surplus {
		if now.Sub(m.Since) > keep {
			names = append(names, m.Name)
		}
	}
	return names
}
