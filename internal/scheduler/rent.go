package scheduler

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"heronwick/internal/cloud"
	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/duty"
	"heronwick/internal/placement"
	"heronwick/internal/wait"
	"heronwick/wire"
)

// rentalOption is a kind of machine that could be rented.
type rentalOption struct {
	place placement.Place
	t     *wire.MachineType
}

// plannedMachine is a machine that is on its way, or would be if rented.
type plannedMachine struct {
	place placement.Place
	free  placement.Resources
	rent  bool
}

// unmetDemand is what a job, of any share, finds no room for.
type unmetDemand struct {
	job   *jobState
	tasks int
}

const (
	// maxRentals bounds how many machines are asked for in one round.
	maxRentals = 100
	// wantsRoomAfter is how long a task must have found no room to be rented for.
	wantsRoomAfter = 300 * time.Millisecond
	// maxWants bounds the jobs of which a share tells that they find no room.
	maxWants = 500
)

// RentalDemand tells how many tasks of an own job machines should be rented for.
func (js *jobState) RentalDemand(now time.Time) int {
	if js.UnplacedSince.IsZero() || now.Sub(js.UnplacedSince) <= wantsRoomAfter || js.FailsEverywhere() {
		return 0
	}
	return js.Unplaced()
}

// wantsLocked tells the peers what finds no room here: one controller rents,
// and must know of all that waits, not only of what it is just asked to place.
func (s *Scheduler) wantsLocked(now time.Time) []*peerpb.Want {
	var wants []*peerpb.Want
	for id, js := range s.jobs {
		if n := js.RentalDemand(now); n > 0 && len(wants) < maxWants {
			wants = append(wants, &peerpb.Want{Job: id, Tasks: uint32(n)})
		}
	}
	return wants
}

// demandLocked gathers what finds no room in any share, in the order in which
// it is rented for.
func (s *Scheduler) demandLocked(now time.Time) []unmetDemand {
	var all []unmetDemand
	for _, js := range s.jobs {
		if n := js.RentalDemand(now); n > 0 {
			all = append(all, unmetDemand{js, n})
		}
	}
	for _, w := range s.opts.Authority.UnplacedWants() {
		js := s.hosted[w.Job]
		if js == nil {
			r := s.opts.Jobs.Active(w.Job)
			if r == nil {
				continue
			}
			js = s.newJob(r)
		}
		all = append(all, unmetDemand{js, int(w.Tasks)})
	}
	slices.SortFunc(all, func(a, b unmetDemand) int {
		return cmp.Or(cmp.Compare(a.job.EffectivePriority, b.job.EffectivePriority), a.job.EligibleAt.Compare(b.job.EligibleAt))
	})
	return all
}

// wantLocked works out which machines to rent: what waits is packed onto the
// machines that are on their way, then onto new ones, and a reserve is kept
// for bursts and losses.
func (s *Scheduler) wantLocked(now time.Time) []wire.RentRequest {
	if !s.loaded || !s.permitted() {
		return nil
	}
	plan := s.newRentalPlanLocked(now)
	for _, d := range s.demandLocked(now) {
		s.planDemandLocked(plan, d, now)
	}
	s.planReserveLocked(plan, now)
	return s.rentRequestsLocked(plan)
}

// rentalPlan is what one round of renting goes by: the machines that are
// coming or would be rented, and how many machines each zone has then.
type rentalPlan struct {
	coming  []*plannedMachine
	perZone map[string]int
	rented  int // how many of coming are to be rented
}

// newRentalPlanLocked starts a plan with the machines that are here and those
// that are booting in time.
func (s *Scheduler) newRentalPlanLocked(now time.Time) *rentalPlan {
	plan := &rentalPlan{perZone: map[string]int{}}
	for _, m := range s.machines {
		plan.perZone[m.Zone]++
	}
	for _, b := range s.supply.booting {
		plan.perZone[b.place.Zone]++
		t := s.types[b.place.Type]
		// One that is late does not count: it may never come.
		if t == nil || now.Sub(b.since) > time.Duration(1.7*t.BootS*float64(time.Second)) {
			continue
		}
		plan.coming = append(plan.coming, &plannedMachine{place: b.place, free: placement.Capacity(t)})
	}
	return plan
}

// rent adds a machine of the option to the plan, to be rented.
func (plan *rentalPlan) rent(o *rentalOption) *plannedMachine {
	v := &plannedMachine{place: o.place, free: placement.Capacity(o.t), rent: true}
	plan.coming = append(plan.coming, v)
	plan.perZone[o.place.Zone]++
	plan.rented++
	return v
}

// planDemandLocked fits the tasks of one job that find no room onto the
// machines of the plan, first fit, and rents where none takes the next.
func (s *Scheduler) planDemandLocked(plan *rentalPlan, d unmetDemand, now time.Time) {
	j := &d.job.Record.Job
	zones := map[string]int{}
	for z, n := range d.job.Zones {
		zones[z] = n
	}
	next := 0 // what does not take a task of the job takes none of its later ones
	for range d.tasks {
		for next < len(plan.coming) && (!d.job.Size.Within(plan.coming[next].free) || !placement.Allows(j, plan.coming[next].place, placement.Spread{ByZone: zones})) {
			next++
		}
		if next == len(plan.coming) {
			if plan.rented >= maxRentals {
				return
			}
			o := s.rentalOptionLocked(j, d.job.Size, zones, plan.perZone, now)
			if o == nil {
				return
			}
			plan.rent(o)
		}
		v := plan.coming[next]
		v.free = v.free.Minus(d.job.Size)
		zones[v.place.Zone]++
	}
}

// planReserveLocked rents ordinary machines, or spot ones where there are
// none, until the reserve lacks no CPUs.
func (s *Scheduler) planReserveLocked(plan *rentalPlan, now time.Time) {
	for lacking := s.reserveLackLocked(plan.coming, now); lacking > 0 && plan.rented < maxRentals; {
		// Ordinary machines take any job.
		o := s.rentalOptionLocked(&wire.Job{Tasks: 1}, placement.Resources{}, nil, plan.perZone, now)
		if o == nil {
			o = s.rentalOptionLocked(&wire.Job{Tasks: 1, Spot: true}, placement.Resources{}, nil, plan.perZone, now)
		}
		if o == nil {
			break
		}
		plan.rent(o)
		lacking -= max(o.t.CPUs, 1)
	}
}

// rentRequestsLocked turns the machines of the plan that are to be rented into
// requests, one for each place, each named once for good.
func (s *Scheduler) rentRequestsLocked(plan *rentalPlan) []wire.RentRequest {
	counts := map[placement.Place]int{}
	for _, v := range plan.coming {
		if v.rent {
			counts[v.place]++
		}
	}
	var requests []wire.RentRequest
	for place, n := range counts {
		s.serial++
		requests = append(requests, wire.RentRequest{
			// Tokens are used once and the count only rises under one, so no
			// request name ever comes again.
			Request: fmt.Sprintf("heronwick-%s-%d-%d", s.opts.Node, s.epoch.Token, s.serial),
			Type:    place.Type, Zone: place.Zone, Spot: place.Spot, Count: min(n, wire.MaxRent),
		})
	}
	return requests
}

// reserveLackLocked returns the CPUs that the reserve lacks: a part of the
// machines in use, idle or on their way, to take bursts and what dead machines
// leave.
func (s *Scheduler) reserveLackLocked(coming []*plannedMachine, now time.Time) float64 {
	var free, total placement.Resources
	inUse := 0
	for _, m := range s.machines {
		if !s.usableLocked(m, now) || m.Type == nil {
			continue
		}
		inUse++
		total = total.Plus(placement.Capacity(m.Type))
		free = free.Plus(m.Free())
	}
	for _, v := range coming {
		free = free.Plus(v.free)
	}
	machines, _, cpus, freeCPUs := s.opts.Authority.Totals()
	inUse += machines
	s.spare = max(1, inUse/5)
	if inUse == 0 {
		return 0
	}
	return math.Max(0, (total.CPUs+cpus)/4-free.CPUs-freeCPUs)
}

// rentalOptionLocked chooses what to rent for a job: spot if it may, the cheapest
// per CPU, in the zone with the fewest machines; not what the cloud has just
// refused. perZone counts the machines that there are.
func (s *Scheduler) rentalOptionLocked(j *wire.Job, size placement.Resources, zones, perZone map[string]int, now time.Time) *rentalOption {
	var best *rentalOption
	cost := func(o *rentalOption) float64 {
		if o.place.Spot {
			return o.t.SpotPrice / max(o.t.CPUs, 0.001)
		}
		return o.t.Price / max(o.t.CPUs, 0.001)
	}
	for _, t := range s.types {
		for _, zone := range t.Zones {
			for _, spot := range []bool{false, true} {
				o := &rentalOption{place: placement.Place{Type: t.Name, Zone: zone, Spot: spot}, t: t}
				if !size.Within(placement.Capacity(t)) || s.supply.refusedLately(o.place, now) ||
					!placement.Allows(j, o.place, placement.Spread{ByZone: zones}) {
					continue
				}
				if best == nil || cmp.Or(cmp.Compare(cost(o), cost(best)), cmp.Compare(perZone[zone], perZone[best.place.Zone]),
					cmp.Compare(zone, best.place.Zone)) < 0 {
					best = o
				}
			}
		}
	}
	return best
}

// rentDuty is the duty of whoever rents machines for all shares.
func rentDuty() duty.ID { return duty.ID{Name: duty.Rent, Scope: duty.Fleet} }

// rent rents what is wanted. What former holders of the duty, or earlier rounds, have
// recorded and not seen answered comes first: its machines may be there.
func (s *Scheduler) rent(ctx context.Context) {
	open := s.opts.Actions.OpenRentals()
	var requests []wire.RentRequest
	if len(open) == 0 {
		s.mu.Lock()
		requests = s.wantLocked(time.Now())
		s.mu.Unlock()
	}
	if len(open)+len(requests) == 0 {
		return
	}
	guard, err := s.opts.Actions.Guard(rentDuty())
	if err != nil {
		return
	}
	for _, rental := range open {
		if !s.rentRecorded(ctx, guard, rental) {
			return
		}
	}
	if len(requests) > 0 {
		s.rentAnew(ctx, guard, requests)
	}
}

// rentAnew records requests and sends them.
func (s *Scheduler) rentAnew(ctx context.Context, guard duty.Guard, requests []wire.RentRequest) {
	s.mu.Lock()
	fence := s.fenceLocked()
	s.mu.Unlock()
	recorded, err := s.opts.Actions.RecordRentals(ctx, guard, fence, requests)
	if err != nil {
		s.log.Info("nothing is rented for now", "err", err)
		return
	}
	s.rentRecorded(ctx, guard, recorded)
}

// rentRecorded sends recorded requests, one after the other, and closes their intent
// once all are answered. It returns false while one is not.
func (s *Scheduler) rentRecorded(ctx context.Context, guard duty.Guard, open duty.OpenRental) bool {
	answered := true
	for _, req := range open.Requests {
		if ctx.Err() != nil {
			return false
		}
		answered = s.rentOne(ctx, guard, req) && answered
	}
	if answered {
		s.opts.Actions.CloseRental(ctx, guard, open)
	}
	return answered
}

// rentOne sends one request, a few times if it must, and takes what it brings. It
// returns false if there was no answer.
func (s *Scheduler) rentOne(ctx context.Context, guard duty.Guard, req wire.RentRequest) bool {
	var names []string
	var err error
	for range 3 {
		// Repeating an unanswered request rents nothing twice.
		names, err = s.opts.Actions.Rent(ctx, guard, req)
		if err == nil || errors.Is(err, cloud.ErrNoCapacity) || !wait.Sleep(ctx, 300*time.Millisecond) {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takeRentalLocked(req, names, err)
	return err == nil || errors.Is(err, cloud.ErrNoCapacity)
}

// takeRentalLocked takes what a request has brought.
func (s *Scheduler) takeRentalLocked(req wire.RentRequest, names []string, err error) {
	place := placement.Place{Type: req.Type, Zone: req.Zone, Spot: req.Spot}
	now := time.Now()
	filled := err == nil && len(names) >= req.Count
	s.supply.answered(place, filled, now)
	if !filled {
		s.log.Info("rental not filled", "type", req.Type, "zone", req.Zone, "spot", req.Spot, "asked", req.Count, "got", len(names), "err", err)
	}
	for _, name := range names {
		if s.machines[name] == nil && !s.isGoneLocked(name) && !s.opts.Actions.Condemned(name) {
			s.supply.expect(name, place, now, now)
		}
	}
	if len(names) > 0 {
		s.log.Info("rented", "machines", names, "type", req.Type, "zone", req.Zone, "spot", req.Spot)
	}
}
