package autoscale

import (
	"maps"
	"time"

	"heronwick/internal/placement"
	"heronwick/wire"
)

const (
	// lateBoot is by what factor of its usual boot time a machine may be late
	// and still count as coming.
	lateBoot = 1.7
	// maxBootFactor is by what factor of its usual boot time a machine may be
	// late before it is returned: some take several times as long as usual, a
	// few for ever.
	maxBootFactor = 3
	// usualBoot is the boot time of a machine of an unknown type.
	usualBoot = 30 * time.Second
)

// Demand is what one job finds no room for.
type Demand struct {
	Job    *wire.Job
	Size   placement.Resources // of each task
	ByZone map[string]int      // how many tasks of the job may be in each zone already
	Tasks  int                 // how many find no room
}

// Fleet sums the machines that are in use.
type Fleet struct {
	ByZone   map[string]int // this controller's machines, usable or not
	Usable   int            // machines that take tasks, of all controllers
	CPUs     float64        // of this controller's usable machines
	FreeCPUs float64        // of these, not taken by tasks
	// PeerCPUs and PeerFreeCPUs are the same of the other controllers'.
	PeerCPUs, PeerFreeCPUs float64
}

// Planner decides which machines to rent. It does no I/O and is not safe for
// concurrent use.
type Planner struct {
	Types     map[string]*wire.MachineType // by name
	Inventory *Inventory
}

// Plan returns requests for the machines to rent: the demand is packed, in its
// order, onto the machines that are booting, then onto new ones, and a reserve
// is kept for bursts and lost machines. The requests have no names yet.
func (p *Planner) Plan(fleet Fleet, demand []Demand, now time.Time) []wire.RentRequest {
	plan := p.newPlan(fleet, now)
	for _, d := range demand {
		plan.addDemand(d)
	}
	plan.addReserve(fleet)
	return plan.requests()
}

// Overdue returns the booting machines that have not come up in time, by a
// list of the cloud's that lags. Each must also have been known here for
// longer than patience.
func (p *Planner) Overdue(listLag, patience time.Duration, now time.Time) []string {
	limit := func(place placement.Pool) time.Duration { return p.bootLimit(place) + 2*listLag }
	return p.Inventory.Overdue(now, limit, patience)
}

// bootLimit is after how long a machine that has not come up is returned.
func (p *Planner) bootLimit(place placement.Pool) time.Duration {
	boot := usualBoot
	if t := p.Types[place.Type]; t != nil {
		boot = time.Duration(t.BootS * float64(time.Second))
	}
	return maxBootFactor * boot
}

// newPlan starts a plan with the machines that are here and those that are
// booting in time.
func (p *Planner) newPlan(fleet Fleet, now time.Time) *plan {
	plan := &plan{planner: p, now: now, byZone: maps.Clone(fleet.ByZone)}
	if plan.byZone == nil {
		plan.byZone = map[string]int{}
	}
	for _, m := range p.Inventory.booting {
		plan.byZone[m.place.Zone]++
		t := p.Types[m.place.Type]
		// One that is late does not count: it may never come.
		if t == nil || now.Sub(m.rentedAt) > time.Duration(lateBoot*t.BootS*float64(time.Second)) {
			continue
		}
		plan.coming = append(plan.coming, &plannedMachine{place: m.place, free: placement.Capacity(t)})
	}
	return plan
}
