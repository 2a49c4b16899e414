package scheduler

// Hosting: tasks of other controllers' jobs that find no room on those controllers'
// machines are placed on this scheduler's machines. hostedattempts.go reports their
// states to the owners of the jobs.

import (
	"cmp"
	"slices"
	"time"

	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/fleet"
	"heronwick/internal/job"
	"heronwick/internal/queue"
	"heronwick/internal/remote"
	"heronwick/wire"
)

// Place places tasks of another controller's jobs on this scheduler's machines if there
// is room. Instead of placing tasks on an idle machine, it hands the machine over to
// that controller, unless the controller is overloaded.
func (s *Scheduler) Place(req *peerpb.PlaceRequest) *peerpb.PlaceReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := &peerpb.PlaceReply{}
	if !s.opts.PlaceRequests.Accept(req) {
		return reply // a late duplicate: since then its tasks may have run here and been placed elsewhere
	}
	if !s.mayHostLocked(req) {
		return reply
	}
	reply.Ready = true
	now := time.Now()
	s.beginPassLocked()
	overloaded := s.opts.Authority.PeerLoads()[req.Node].Overloaded
	for _, wanted := range req.Wanted {
		s.placeWantedLocked(req.Node, overloaded, wanted, reply, now)
	}
	if len(reply.Taken) > 0 {
		s.wakeLoop()
	}
	return reply
}

// mayHostLocked reports whether this scheduler may place tasks for the sender of a
// request: both must have the same assignment of jobs and machines to controllers.
func (s *Scheduler) mayHostLocked(req *peerpb.PlaceRequest) bool {
	return s.loaded && s.permitted() && req.Token <= s.epoch.Token && req.Token >= s.epoch.Assignment.Token &&
		s.opts.Authority.Token() == s.epoch.Token
}

// jobRequest is the part of a placement request that concerns one job, with the reply to
// fill in.
type jobRequest struct {
	from       string // the controller that owns the job
	overloaded bool   // whether that controller is overloaded: then it is handed machines only for gangs
	record     *job.Record
	job        *queue.Job
	wanted     *peerpb.Wanted
	placed     int // how many of the requested attempts have been placed here
	reply      *peerpb.PlaceReply
}

// pending returns how many tasks of the job still wait, including those that are not in
// the request.
func (r *jobRequest) pending() int { return int(r.wanted.Pending) - r.placed }

// placeWantedLocked handles a request for one job. Tasks that find no room here are
// counted, so that this scheduler reserves room for the job in the order of its queue.
func (s *Scheduler) placeWantedLocked(from string, overloaded bool, wanted *peerpb.Wanted, reply *peerpb.PlaceReply, now time.Time) {
	record := s.opts.Jobs.Active(wanted.Job)
	if record == nil || s.epoch.OwnerOf(record.Job.Team, record.Job.ID) != from || s.teams.IsDoubted(record.Job.Team) {
		return
	}
	r := &jobRequest{
		from: from, overloaded: overloaded, wanted: wanted, reply: reply,
		record: record, job: s.hostedJobLocked(record, wanted),
	}
	for _, attempt := range wanted.Attempts {
		_, index, ok := wire.SplitTaskID(attempt.Task)
		if !ok || s.deniedAttempts.Denied(remote.KeyOf(attempt)) {
			continue
		}
		if !s.hostNextAttemptLocked(r, attempt, index, now) {
			break
		}
	}
	if r.placed < len(wanted.Attempts) && !wanted.Held {
		r.job.OwnerUnplaced, r.job.OwnerRequestedAt = r.pending(), now
	}
}

// hostedJobLocked returns the state of another controller's job, updated with what the
// job's owner reports in a request.
func (s *Scheduler) hostedJobLocked(record *job.Record, wanted *peerpb.Wanted) *queue.Job {
	queued := s.hostedJobs[wanted.Job]
	if queued == nil {
		queued = s.newJob(record)
		queued.Hosted = true
		s.hostedJobs[wanted.Job] = queued
	}
	queued.OwnerGuaranteed, queued.OwnerUnplaced = wanted.Guaranteed, 0
	queued.Zones = map[string]int{}
	for zone, n := range wanted.Zones {
		queued.Zones[zone] = int(n)
	}
	return queued
}

// hostNextAttemptLocked places the next requested attempt, or hands over machines for
// it. It returns false if the remaining attempts of the request need not be tried.
func (s *Scheduler) hostNextAttemptLocked(r *jobRequest, attempt *peerpb.Attempt, index int, now time.Time) bool {
	if r.record.Job.Kind == wire.KindGang {
		s.handOverForGangLocked(r, now)
		return false
	}
	m, makingRoom := s.findMachineForHostedLocked(r, now)
	if m == nil {
		r.reply.Making = r.reply.Making || makingRoom
		return false
	}
	if !r.overloaded && s.canHandOverLocked(m, now) {
		// The owner of the job will place tasks on the machine itself.
		r.reply.Given += uint32(s.handOverToOwnerLocked(r.job, m, r.from, r.pending(), now))
		return false
	}
	s.hostAttemptLocked(r, attempt, index, m, now)
	r.reply.Taken = append(r.reply.Taken, &peerpb.Hosted{Attempt: attempt, Zone: m.Zone, Known: true})
	return true
}

// handOverForGangLocked hands over an idle machine, if there is one. The owner of a gang
// places all of its tasks at once, and only on machines of its own, so the request can
// only be met with machines.
func (s *Scheduler) handOverForGangLocked(r *jobRequest, now time.Time) {
	found := s.packer.FindIdle(r.job, now)
	if found == nil {
		return
	}
	if idle := s.machines[found.Name]; s.canHandOverLocked(idle, now) {
		s.handOverLocked([]*machine{idle}, r.from)
		r.reply.Given++
	}
}

// findMachineForHostedLocked finds a machine for the next task of a request, preferably
// one that holds its image. makingRoom reports whether tasks are being preempted for it
// instead.
func (s *Scheduler) findMachineForHostedLocked(r *jobRequest, now time.Time) (m *machine, makingRoom bool) {
	m, makingRoom = s.findWithImageLocked(r.job, now, r.wanted.Guaranteed)
	if m != nil || makingRoom || r.wanted.Held {
		return m, makingRoom
	}
	if m = s.findAnyLocked(r.job, now); m != nil {
		return m, false
	}
	return nil, s.preemptLocked(r.job, now, queue.ImageOptional, r.wanted.Guaranteed)
}

// hostAttemptLocked assigns an attempt of another controller's job to a machine.
func (s *Scheduler) hostAttemptLocked(r *jobRequest, attempt *peerpb.Attempt, index int, m *machine, now time.Time) {
	id := r.wanted.Job
	a := &fleet.Attempt{Key: remote.KeyOf(attempt), Job: id, Index: index, Hosted: true, Epoch: s.epoch.Token}
	a.SetJobDetails(&r.record.Job, r.job.EffectivePriority)
	m.Add(a, now)
	m.packing.RoomChanged()
	m.record.Dirty = true
	m.packing.UseReservation(id)
	r.job.Zones[m.Zone]++
	r.placed++
	s.log.Debug("task placed for a peer", "task", a.Task, "attempt", a.Attempt, "machine", m.Name, "image_held", m.HasImage(a.Image), "peer", r.from)
}

// handOverToOwnerLocked hands over the first machine, and as many other idle machines as
// the pending tasks of the job need, to the controller that owns the job. It keeps at
// least as many of the other idle machines as it hands over, since the next controller
// may need them as much. It returns how many machines it has handed over.
func (s *Scheduler) handOverToOwnerLocked(queued *queue.Job, first *machine, node string, pending int, now time.Time) int {
	tasksPerMachine := max(1, int(1/max(queued.DominantShare, 1e-3)))
	needed := (pending + tasksPerMachine - 1) / tasksPerMachine
	chosen := []*machine{first}
	if needed > 1 {
		idle := s.idleForHandoverLocked(queued, first, now)
		chosen = append(chosen, idle[:min(needed-1, len(idle)/2)]...)
	}
	s.handOverLocked(chosen, node)
	return len(chosen)
}

// idleForHandoverLocked returns, sorted by name, the idle machines other than first that
// have room for a task of the job and may be handed over.
func (s *Scheduler) idleForHandoverLocked(queued *queue.Job, first *machine, now time.Time) []*machine {
	var idle []*machine
	for _, m := range s.machines {
		if m != first && !s.packer.Open.Has(m.packing) && s.canHandOverLocked(m, now) && s.packer.Fits(queued, m.packing, now) {
			idle = append(idle, m)
		}
	}
	slices.SortFunc(idle, func(a, b *machine) int { return cmp.Compare(a.Name, b.Name) })
	return idle
}
