package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"heronwick/internal/autoscale"
	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/placement"
	"heronwick/internal/queue"
	"heronwick/internal/state"
	"heronwick/wire"
)

// maxWants bounds the number of jobs without room that a heartbeat to a peer lists.
const maxWants = 500

// wantsLocked returns, for the heartbeats to the peers, the numbers of tasks that
// find no room here. The leader rents machines for all controllers, so it must know
// of all waiting tasks, not only of those that it is currently requested to place.
func (s *Scheduler) wantsLocked(now time.Time) []*peerpb.Want {
	var wants []*peerpb.Want
	for id, queued := range s.jobs {
		if n := queued.RentalDemand(now); n > 0 && len(wants) < maxWants {
			wants = append(wants, &peerpb.Want{Job: id, Tasks: uint32(n)})
		}
	}
	return wants
}

// unmetDemand is the number of a job's tasks that find no room. The job may belong to
// any scheduler.
type unmetDemand struct {
	job   *queue.Job
	tasks int
}

// unmetDemandLocked returns the unmet demand of all schedulers, in the order in which
// machines are rented for it.
func (s *Scheduler) unmetDemandLocked(now time.Time) []unmetDemand {
	var all []unmetDemand
	for _, queued := range s.jobs {
		if n := queued.RentalDemand(now); n > 0 {
			all = append(all, unmetDemand{queued, n})
		}
	}
	for _, w := range s.opts.Authority.PeerUnplacedTasks() {
		queued := s.hostedJobs[w.Job]
		if queued == nil {
			r := s.opts.Jobs.Active(w.Job)
			if r == nil {
				continue
			}
			queued = s.newJob(r)
		}
		all = append(all, unmetDemand{queued, int(w.Tasks)})
	}
	slices.SortFunc(all, func(a, b unmetDemand) int {
		return cmp.Or(cmp.Compare(a.job.EffectivePriority, b.job.EffectivePriority), a.job.EligibleAt.Compare(b.job.EligibleAt))
	})
	return all
}

// rentRequestsLocked returns the rent requests to send now, and updates the number of
// idle machines to keep in reserve.
func (s *Scheduler) rentRequestsLocked(now time.Time) []wire.RentRequest {
	if !s.loaded || !s.permitted() {
		return nil
	}
	fleet := s.fleetInUseLocked(now)
	s.idleReserve = autoscale.IdleReserve(fleet.Usable)
	requests := s.planner.Plan(fleet, s.demandLocked(now), now)
	for i := range requests {
		s.lastSerial++
		// A token is never reused, and the serial number only increases under a token, so
		// every request ID is unique.
		requests[i].RequestID = fmt.Sprintf("heronwick-%s-%d-%d", s.opts.Node, s.epoch.Token, s.lastSerial)
	}
	return requests
}

// fleetInUseLocked returns the totals of the existing machines for the planner.
func (s *Scheduler) fleetInUseLocked(now time.Time) autoscale.Fleet {
	fleet := autoscale.Fleet{ByZone: map[string]int{}}
	for _, m := range s.machines {
		fleet.ByZone[m.Zone]++
		if !s.usableLocked(m, now) {
			continue
		}
		fleet.Usable++
		fleet.CPUs += m.Type.CPUs
		fleet.FreeCPUs += m.Free().CPUs
	}
	peers := s.opts.Authority.PeerCapacity()
	fleet.Usable += peers.Machines
	fleet.PeerCPUs, fleet.PeerFreeCPUs = peers.CPUs, peers.FreeCPUs
	return fleet
}

// demandLocked returns the unmet demand in the form that the planner takes.
func (s *Scheduler) demandLocked(now time.Time) []autoscale.Demand {
	var demand []autoscale.Demand
	for _, d := range s.unmetDemandLocked(now) {
		demand = append(demand, autoscale.Demand{Job: &d.job.Record.Job, Size: d.job.Size, ByZone: d.job.Zones, Tasks: d.tasks})
	}
	return demand
}

// renter returns the Renter that sends this scheduler's rent requests.
func (s *Scheduler) renter() *autoscale.Renter {
	return &autoscale.Renter{
		Actions: s.opts.Actions,
		Plan: func() []wire.RentRequest {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.rentRequestsLocked(time.Now())
		},
		Fence: func() state.FencingCondition {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.fenceLocked()
		},
		OnResult: func(req wire.RentRequest, machines []string, err error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.applyRentalLocked(req, machines, err)
		},
		Log: s.log,
	}
}

// applyRentalLocked applies the result of a rent request: the names of the new
// machines, or an error.
func (s *Scheduler) applyRentalLocked(req wire.RentRequest, names []string, err error) {
	pool := placement.Pool{Type: req.Type, Zone: req.Zone, Spot: req.Spot}
	now := time.Now()
	filled := err == nil && len(names) >= req.Count
	s.inventory.RecordRentResult(pool, filled, now)
	if !filled {
		s.log.Info("rental not filled", "type", req.Type, "zone", req.Zone, "spot", req.Spot, "requested", req.Count, "got", len(names), "err", err)
	}
	for _, name := range names {
		if s.machines[name] == nil && !s.isReleasedLocked(name) && !s.opts.Actions.HasReturnIntent(name) {
			s.inventory.AddBooting(name, pool, now, now)
		}
	}
	if len(names) > 0 {
		s.log.Info("machines rented", "machines", names, "type", req.Type, "zone", req.Zone, "spot", req.Spot)
	}
}
