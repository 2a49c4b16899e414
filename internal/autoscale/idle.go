package autoscale

import (
	"slices"
	"time"
)

const (
	// maxIdleTime is how long a machine beyond the reserve may be idle before it is
	// returned, since new tasks may need it.
	maxIdleTime = 5 * time.Minute
	// maxIdleTimeWithoutJobs replaces maxIdleTime while there are no jobs.
	maxIdleTimeWithoutJobs = 30 * time.Second
	// idleReserveDivisor sets the size of the reserve: one machine in this many may
	// stay idle.
	idleReserveDivisor = 5
)

// IdleMachine is a machine without tasks.
type IdleMachine struct {
	Name  string
	Since time.Time // time at which the machine became idle
}

// IdleReserve returns how many idle machines are kept instead of returned, given the
// number of usable machines.
func IdleReserve(usable int) int { return max(1, usable/idleReserveDivisor) }

// SurplusIdle returns the names of the idle machines to return now. It returns none
// unless more machines are idle than the reserve. While there are jobs, it returns at
// most the machine that has been idle for the longest time; without jobs, it may return
// all machines beyond the reserve. It reorders idle.
func SurplusIdle(idle []IdleMachine, reserve int, hasJobs func() bool, now time.Time) []string {
	if len(idle) <= reserve {
		return nil
	}
	slices.SortFunc(idle, func(a, b IdleMachine) int { return a.Since.Compare(b.Since) })
	surplus, keep := idle[:1], maxIdleTime
	if !hasJobs() {
		// While there are no jobs, only the reserve is worth its price.
		surplus, keep = idle[:len(idle)-reserve], maxIdleTimeWithoutJobs
	}
	var names []string
	for _, m := range surplus {
		if now.Sub(m.Since) > keep {
			names = append(names, m.Name)
		}
	}
	return names
}
