package autoscale

import (
	"cmp"
	"maps"
	"time"

	"heronwick/internal/placement"
	"heronwick/wire"
)

const (
	// maxRentalsPerPlan bounds the number of machines to rent in one plan.
	maxRentalsPerPlan = 100
	// reserveDivisor sets the size of the reserve: one CPU in this many is kept free.
	reserveDivisor = 4
	// minCPUs is the least number of CPUs by which a price is divided, so that the price
	// per CPU of a machine type without CPUs is finite.
	minCPUs = 0.001
)

// plan is the state of one round of planning.
type plan struct {
	planner  *Planner
	now      time.Time
	machines []*plannedMachine // booting and not late, or to be rented
	byZone   map[string]int    // number of machines by zone: in use, booting or to be rented
	rented   int               // number of machines to be rented
}

// plannedMachine is a machine that is booting or to be rented.
type plannedMachine struct {
	pool placement.Pool
	free placement.Resources
	rent bool // true if the machine is to be rented, false if it is booting
}

// accepts reports whether one more task of the demand may be packed onto the machine.
// byZone counts the job's tasks by zone.
func (m *plannedMachine) accepts(d Demand, byZone map[string]int) bool {
	return d.Size.Within(m.free) && placement.Allows(d.Job, m.pool, placement.Spread{ByZone: byZone})
}

// option is a pool whose machines could be rented.
type option struct {
	pool        placement.Pool
	machineType *wire.MachineType
}

// pricePerCPU returns the hourly price of a machine of the option per CPU.
func (o *option) pricePerCPU() float64 {
	price := o.machineType.Price
	if o.pool.Spot {
		price = o.machineType.SpotPrice
	}
	return price / max(o.machineType.CPUs, minCPUs)
}

// addDemand packs the tasks of one job onto the machines of the plan, first fit, and
// adds a machine to rent for each task that fits on none of them.
func (p *plan) addDemand(d Demand) {
	byZone := maps.Clone(d.ByZone)
	if byZone == nil {
		byZone = map[string]int{}
	}
	next := 0 // index of the first machine to try: a machine that has rejected a task rejects all later tasks of the job
	for range d.Tasks {
		for next < len(p.machines) && !p.machines[next].accepts(d, byZone) {
			next++
		}
		if next == len(p.machines) {
			if p.rented >= maxRentalsPerPlan {
				return
			}
			best := p.bestOption(d.Job, d.Size, byZone)
			if best == nil {
				return
			}
			p.rent(best)
		}
		machine := p.machines[next]
		machine.free = machine.free.Minus(d.Size)
		byZone[machine.pool.Zone]++
	}
}

// addReserve adds machines to rent until the reserve is complete: ordinary machines,
// or spot machines if no ordinary ones can be rented.
func (p *plan) addReserve(fleet Fleet) {
	for shortfall := p.reserveShortfall(fleet); shortfall > 0 && p.rented < maxRentalsPerPlan; {
		// Ordinary machines come first, since they may run tasks of any job.
		best := p.bestOption(&wire.Job{Tasks: 1}, placement.Resources{}, nil)
		if best == nil {
			best = p.bestOption(&wire.Job{Tasks: 1, Spot: true}, placement.Resources{}, nil)
		}
		if best == nil {
			return
		}
		p.rent(best)
		shortfall -= max(best.machineType.CPUs, 1)
	}
}

// reserveShortfall returns how many free CPUs are missing from the reserve. The reserve is
// a fraction of the CPUs of all usable machines, and is kept for bursts of new tasks and
// for the tasks of lost machines. Free CPUs of planned machines count towards it.
func (p *plan) reserveShortfall(fleet Fleet) float64 {
	if fleet.Usable == 0 {
		return 0
	}
	free := fleet.FreeCPUs
	for _, m := range p.machines {
		free += m.free.CPUs
	}
	return max(0, (fleet.CPUs+fleet.PeerCPUs)/reserveDivisor-free-fleet.PeerFreeCPUs)
}

// bestOption returns the option to rent for a task of the size: the cheapest per CPU,
// including spot machines if the job allows them, and among equal prices the one in the
// zone with the fewest machines. It skips pools in backoff and returns nil if no option
// remains.
func (p *plan) bestOption(j *wire.Job, size placement.Resources, byZone map[string]int) *option {
	var best *option
	for _, t := range p.planner.Types {
		if !size.Within(placement.Capacity(t)) {
			continue
		}
		for _, zone := range t.Zones {
			for _, spot := range []bool{false, true} {
				o := &option{pool: placement.Pool{Type: t.Name, Zone: zone, Spot: spot}, machineType: t}
				if p.mayRent(o, j, byZone) && (best == nil || p.compare(o, best) < 0) {
					best = o
				}
			}
		}
	}
	return best
}

// mayRent reports whether the option may be rented now for a task of the job.
func (p *plan) mayRent(o *option, j *wire.Job, byZone map[string]int) bool {
	return !p.planner.Inventory.InBackoff(o.pool, p.now) && placement.Allows(j, o.pool, placement.Spread{ByZone: byZone})
}

// compare returns a negative number if a is the better option, and a positive number if b
// is.
func (p *plan) compare(a, b *option) int {
	return cmp.Or(
		cmp.Compare(a.pricePerCPU(), b.pricePerCPU()),
		cmp.Compare(p.byZone[a.pool.Zone], p.byZone[b.pool.Zone]),
		cmp.Compare(a.pool.Zone, b.pool.Zone),
	)
}

// rent adds a machine of the option to the plan, as one to be rented.
func (p *plan) rent(o *option) {
	p.machines = append(p.machines, &plannedMachine{pool: o.pool, free: placement.Capacity(o.machineType), rent: true})
	p.byZone[o.pool.Zone]++
	p.rented++
}

// requests returns the requests for the machines that are to be rented, one per pool.
func (p *plan) requests() []wire.RentRequest {
	counts := map[placement.Pool]int{}
	for _, m := range p.machines {
		if m.rent {
			counts[m.pool]++
		}
	}
	var requests []wire.RentRequest
	for pool, count := range counts {
		requests = append(requests, wire.RentRequest{
			Type: pool.Type, Zone: pool.Zone, Spot: pool.Spot, Count: min(count, wire.MaxRent),
		})
	}
	return requests
}
