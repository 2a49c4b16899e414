package autoscale

import (
	"cmp"
	"maps"
	"time"

	"heronwick/internal/placement"
	"heronwick/wire"
)

const (
	// maxRentals bounds how many machines one plan rents.
	maxRentals = 100
	// reservePart is which part of the fleet's CPUs is kept free.
	reservePart = 4
	// minCPUs stands for the CPUs of a type without any, in prices per CPU.
	minCPUs = 0.001
)

// plan is one round of planning: the machines that are coming or would be
// rented, and how many machines each zone has then.
type plan struct {
	planner *Planner
	now     time.Time
	coming  []*plannedMachine
	byZone  map[string]int
	rented  int // how many of coming are to be rented
}

// plannedMachine is a machine that is booting, or would be if rented.
type plannedMachine struct {
	place placement.Pool
	free  placement.Resources
	rent  bool
}

// takes reports whether one more task of the demand may go to the machine.
func (m *plannedMachine) takes(d Demand, byZone map[string]int) bool {
	return d.Size.Within(m.free) && placement.Allows(d.Job, m.place, placement.Spread{ByZone: byZone})
}

// option is a kind of machine that could be rented.
type option struct {
	place       placement.Pool
	machineType *wire.MachineType
}

// pricePerCPU is what the option costs.
func (o *option) pricePerCPU() float64 {
	price := o.machineType.Price
	if o.place.Spot {
		price = o.machineType.SpotPrice
	}
	return price / max(o.machineType.CPUs, minCPUs)
}

// addDemand fits the tasks of one job onto the machines of the plan, first
// fit, and rents where none takes the next.
func (p *plan) addDemand(d Demand) {
	byZone := maps.Clone(d.ByZone)
	if byZone == nil {
		byZone = map[string]int{}
	}
	next := 0 // a machine that does not take a task of the job takes none of its later ones
	for range d.Tasks {
		for next < len(p.coming) && !p.coming[next].takes(d, byZone) {
			next++
		}
		if next == len(p.coming) {
			if p.rented >= maxRentals {
				return
			}
			best := p.bestOption(d.Job, d.Size, byZone)
			if best == nil {
				return
			}
			p.rent(best)
		}
		machine := p.coming[next]
		machine.free = machine.free.Minus(d.Size)
		byZone[machine.place.Zone]++
	}
}

// addReserve rents ordinary machines, or spot ones where there are none, until
// the reserve lacks no CPUs.
func (p *plan) addReserve(fleet Fleet) {
	for lacking := p.lackingReserve(fleet); lacking > 0 && p.rented < maxRentals; {
		// Ordinary machines take any job.
		best := p.bestOption(&wire.Job{Tasks: 1}, placement.Resources{}, nil)
		if best == nil {
			best = p.bestOption(&wire.Job{Tasks: 1, Spot: true}, placement.Resources{}, nil)
		}
		if best == nil {
			return
		}
		p.rent(best)
		lacking -= max(best.machineType.CPUs, 1)
	}
}

// lackingReserve returns the CPUs that the reserve lacks: a part of the
// machines in use, idle or coming, that takes bursts and what lost machines
// leave.
func (p *plan) lackingReserve(fleet Fleet) float64 {
	if fleet.Usable == 0 {
		return 0
	}
	free := fleet.FreeCPUs
	for _, m := range p.coming {
		free += m.free.CPUs
	}
	return max(0, (fleet.CPUs+fleet.PeerCPUs)/reservePart-free-fleet.PeerFreeCPUs)
}

// bestOption chooses what to rent for a task of the size: spot if the job may,
// the cheapest per CPU, in the zone with the fewest machines; nothing that the
// cloud has just refused. It returns nil if there is none.
func (p *plan) bestOption(j *wire.Job, size placement.Resources, byZone map[string]int) *option {
	var best *option
	for _, t := range p.planner.Types {
		if !size.Within(placement.Capacity(t)) {
			continue
		}
		for _, zone := range t.Zones {
			for _, spot := range []bool{false, true} {
				o := &option{place: placement.Pool{Type: t.Name, Zone: zone, Spot: spot}, machineType: t}
				if p.mayRent(o, j, byZone) && (best == nil || p.compare(o, best) < 0) {
					best = o
				}
			}
		}
	}
	return best
}

// mayRent reports whether the option is open to a task of the job now.
func (p *plan) mayRent(o *option, j *wire.Job, byZone map[string]int) bool {
	return !p.planner.Inventory.InBackoff(o.place, p.now) && placement.Allows(j, o.place, placement.Spread{ByZone: byZone})
}

// compare orders options, the better first.
func (p *plan) compare(a, b *option) int {
	return cmp.Or(
		cmp.Compare(a.pricePerCPU(), b.pricePerCPU()),
		cmp.Compare(p.byZone[a.place.Zone], p.byZone[b.place.Zone]),
		cmp.Compare(a.place.Zone, b.place.Zone),
	)
}

// rent adds a machine of the option to the plan, to be rented.
func (p *plan) rent(o *option) {
	p.coming = append(p.coming, &plannedMachine{place: o.place, free: placement.Capacity(o.machineType), rent: true})
	p.byZone[o.place.Zone]++
	p.rented++
}

// requests turns the machines of the plan that are to be rented into requests,
// one for each place.
func (p *plan) requests() []wire.RentRequest {
	counts := map[placement.Pool]int{}
	for _, m := range p.coming {
		if m.rent {
			counts[m.place]++
		}
	}
	var requests []wire.RentRequest
	for place, count := range counts {
		requests = append(requests, wire.RentRequest{
			Type: place.Type, Zone: place.Zone, Spot: place.Spot, Count: min(count, wire.MaxRent),
		})
	}
	return requests
}
