package scheduler

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"heronwick/internal/autoscale"
	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/placement"
	"heronwick/internal/queue"
	"heronwick/internal/state"
	"heronwick/internal/wait"
	"heronwick/wire"
)

const (
	// maxWants bounds the jobs of which a scheduler tells that they find no room.
	maxWants = 500
	// cloudEvery is how often it is looked whether to rent or return machines.
	cloudEvery = 500 * time.Millisecond
	// listEvery is how often the cloud's list is read.
	listEvery = 5 * time.Second
)

// runCloud reads the cloud's list, rents and returns. One controller does, so that
// the cloud's limit holds.
func (s *Scheduler) runCloud(ctx context.Context) error {
	renter := s.renter()
	var listed time.Time
	return wait.Every(ctx, cloudEvery, func() {
		s.mu.Lock()
		leads := s.leadsLocked()
		s.mu.Unlock()
		if !leads {
			return
		}
		if now := time.Now(); now.Sub(listed) > listEvery {
			listed = now
			s.readList(ctx)
		}
		s.mu.Lock()
		s.returnIdleLocked(time.Now())
		s.mu.Unlock()
		renter.Round(ctx)
	})
}

// readList reads the cloud's list.
func (s *Scheduler) readList(ctx context.Context) {
	machines, err := s.opts.Cloud.List(ctx)
	if err != nil {
		s.log.Info("listing machines failed", "err", err)
		return
	}
	s.takeList(machines, time.Now())
}

// takeList takes the cloud's list. It lags: a machine that is missing may be
// up, and one that is listed may be gone.
func (s *Scheduler) takeList(machines []wire.Machine, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var failed []string
	for _, lm := range machines {
		if s.isReleasedLocked(lm.ID) || s.opts.Actions.HasReturnIntent(lm.ID) {
			continue
		}
		if node, owned := s.opts.Authority.HeartbeatTarget(lm.ID); owned && node != s.opts.Node {
			s.inventory.Joined(lm.ID)
			continue // its owner looks after it
		}
		age := time.Duration(lm.AgeS * float64(time.Second))
		if lm.State == wire.MachineFailed {
			failed = append(failed, lm.ID)
			continue
		}
		if s.machines[lm.ID] != nil {
			continue
		}
		s.inventory.Expect(lm.ID, placement.Place{Type: lm.Type, Zone: lm.Zone, Spot: lm.Spot}, now.Add(-age), now)
	}
	// A list lags, and by up to double its usual lag.
	overdue := s.planner.Overdue(s.opts.Settings.ListLag, 2*s.opts.Settings.ListLag+s.detector.DeadAfter(), now)
	s.reclaimLocked(failed, "failed")
	s.reclaimLocked(overdue, "never came up")
	s.reclaimLocked(s.abandonedReturnsLocked(), autoscale.ReasonRecordedBefore)
}

// returnIdleLocked returns machines that have been idle for long, if more are
// idle than are wanted in reserve.
func (s *Scheduler) returnIdleLocked(now time.Time) {
	if !s.loaded || !s.permitted() {
		return
	}
	var idle []autoscale.IdleMachine
	for _, m := range s.machines {
		if m.returning || m.ActiveCount() > 0 || m.Attempts.Len() > 0 || m.record.Dirty || m.record.Writing() || !s.synced(m) {
			continue
		}
		idle = append(idle, autoscale.IdleMachine{Name: m.Name, Since: m.idleSince})
	}
	hasJobs := func() bool { return len(s.opts.Jobs.AllActive()) > 0 }
	var surplus []*machine
	for _, name := range autoscale.SurplusIdle(idle, s.idleReserve, hasJobs, now) {
		surplus = append(surplus, s.machines[name])
	}
	s.returnLocked(surplus, autoscale.ReasonIdle)
}

// wantsLocked tells the peers what finds no room here: one controller rents,
// and must know of all that waits, not only of what it is just asked to place.
func (s *Scheduler) wantsLocked(now time.Time) []*peerpb.Want {
	var wants []*peerpb.Want
	for id, queued := range s.jobs {
		if n := queued.RentalDemand(now); n > 0 && len(wants) < maxWants {
			wants = append(wants, &peerpb.Want{Job: id, Tasks: uint32(n)})
		}
	}
	return wants
}

// unmetDemand is what a job, of any scheduler, finds no room for.
type unmetDemand struct {
	job   *queue.Job
	tasks int
}

// unmetDemandLocked gathers what finds no room in any scheduler, in the order
// in which it is rented for.
func (s *Scheduler) unmetDemandLocked(now time.Time) []unmetDemand {
	var all []unmetDemand
	for _, queued := range s.jobs {
		if n := queued.RentalDemand(now); n > 0 {
			all = append(all, unmetDemand{queued, n})
		}
	}
	for _, w := range s.opts.Authority.UnplacedWants() {
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

// rentRequestsLocked returns what is to be rented now, and how many idle
// machines are kept in reserve from now on.
func (s *Scheduler) rentRequestsLocked(now time.Time) []wire.RentRequest {
	if !s.loaded || !s.permitted() {
		return nil
	}
	fleet := s.fleetInUseLocked(now)
	s.idleReserve = autoscale.IdleReserve(fleet.Usable)
	requests := s.planner.Plan(fleet, s.demandLocked(now), now)
	for i := range requests {
		s.lastSerial++
		// Tokens are used once and the count only rises under one, so no
		// request name ever comes again.
		requests[i].Request = fmt.Sprintf("heronwick-%s-%d-%d", s.opts.Node, s.epoch.Token, s.lastSerial)
	}
	return requests
}

// fleetInUseLocked sums the machines that there are, for planning.
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

// demandLocked returns the unmet demand in terms of the planner.
func (s *Scheduler) demandLocked(now time.Time) []autoscale.Demand {
	var demand []autoscale.Demand
	for _, d := range s.unmetDemandLocked(now) {
		demand = append(demand, autoscale.Demand{Job: &d.job.Record.Job, Size: d.job.Size, ByZone: d.job.Zones, Tasks: d.tasks})
	}
	return demand
}

// renter returns what sends the rent requests of this scheduler.
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
		Rented: func(req wire.RentRequest, machines []string, err error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.takeRentalLocked(req, machines, err)
		},
		Log: s.log,
	}
}

// takeRentalLocked takes the machines that a rent request has brought, or its error.
func (s *Scheduler) takeRentalLocked(req wire.RentRequest, names []string, err error) {
	place := placement.Place{Type: req.Type, Zone: req.Zone, Spot: req.Spot}
	now := time.Now()
	filled := err == nil && len(names) >= req.Count
	s.inventory.NoteAnswer(place, filled, now)
	if !filled {
		s.log.Info("rental not filled", "type", req.Type, "zone", req.Zone, "spot", req.Spot, "asked", req.Count, "got", len(names), "err", err)
	}
	for _, name := range names {
		if s.machines[name] == nil && !s.isReleasedLocked(name) && !s.opts.Actions.HasReturnIntent(name) {
			s.inventory.Expect(name, place, now, now)
		}
	}
	if len(names) > 0 {
		s.log.Info("rented", "machines", names, "type", req.Type, "zone", req.Zone, "spot", req.Spot)
	}
}
