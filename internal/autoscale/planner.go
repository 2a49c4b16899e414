package autoscale

import (
	"maps"
	"time"

	"heronwick/internal/placement"
	"heronwick/wire"
)

const (
	// lateBootFactor defines when a booting machine is late and no longer counts as
	// capacity: after this many times the usual boot time of its type.
	lateBootFactor = 1.7
	// bootTimeoutFactor defines when a machine that has not booted is returned: after this
	// many times the usual boot time of its type. Some machines take several times as long
	// as usual, and a few never boot.
	bootTimeoutFactor = 3
	// defaultBootTime is the usual boot time that is assumed for an unknown machine type.
	defaultBootTime = 30 * time.Second
)

// Demand is the number of tasks of one job that fit on no machine in use.
type Demand struct {
	Job    *wire.Job
	Size   placement.Resources // of each task
	ByZone map[string]int      // number of the job's tasks that may already be in each zone
	Tasks  int                 // number of tasks that fit on no machine in use
}

// Fleet holds totals over the machines in use.
type Fleet struct {
	ByZone   map[string]int // number of this controller's machines by zone, usable or not
	Usable   int            // number of usable machines of all controllers
	CPUs     float64        // of this controller's usable machines
	FreeCPUs float64        // the part of CPUs that no task uses
	// PeerCPUs and PeerFreeCPUs are the same totals for the other controllers.
	PeerCPUs, PeerFreeCPUs float64
}

// Planner decides which machines to rent. It does no I/O and is not safe for
// concurrent use.
type Planner struct {
	Types     map[string]*wire.MachineType // by name
	Inventory *Inventory
}

// Plan returns the requests for the machines to rent. It packs the demand, in the given
// order, onto the booting machines and then onto new ones, and adds machines for a reserve
// for bursts of tasks and lost machines. The caller sets the RequestID of each request.
func (p *Planner) Plan(fleet Fleet, demand []Demand, now time.Time) []wire.RentRequest {
	plan := p.newPlan(fleet, now)
	for _, d := range demand {
		plan.addDemand(d)
	}
	plan.addReserve(fleet)
	return plan.requests()
}

// Overdue returns the names of the machines that have been booting for longer than the
// boot timeout of their type, plus twice listLag, the usual lag of the cloud's list of
// machines. It omits machines that were added to the inventory less than gracePeriod ago.
func (p *Planner) Overdue(listLag, gracePeriod time.Duration, now time.Time) []string {
	timeout := func(pool placement.Pool) time.Duration { return p.bootTimeout(pool) + 2*listLag }
	return p.Inventory.Overdue(now, timeout, gracePeriod)
}

// bootTimeout returns how long a machine of the pool may boot before it is returned.
func (p *Planner) bootTimeout(pool placement.Pool) time.Duration {
	boot := defaultBootTime
	if t := p.Types[pool.Type]; t != nil {
		boot = time.Duration(t.BootS * float64(time.Second))
	}
	return bootTimeoutFactor * boot
}

// newPlan returns a plan that contains the booting machines that are not late. Its zone
// counts include all machines in use and all booting machines.
func (p *Planner) newPlan(fleet Fleet, now time.Time) *plan {
	plan := &plan{planner: p, now: now, byZone: maps.Clone(fleet.ByZone)}
	if plan.byZone == nil {
		plan.byZone = map[string]int{}
	}
	for _, m := range p.Inventory.booting {
		plan.byZone[m.pool.Zone]++
		t := p.Types[m.pool.Type]
		// A late machine does not count as capacity, since it may never boot.
		if t == nil || now.Sub(m.rentedAt) > time.Duration(lateBootFactor*t.BootS*float64(time.Second)) {
			continue
		}
		plan.machines = append(plan.machines, &plannedMachine{pool: m.pool, free: placement.Capacity(t)})
	}
	return plan
}
