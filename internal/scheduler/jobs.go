package scheduler

import (
	"context"
	"time"

	"heronwick/internal/completion"
	"heronwick/internal/job"
	"heronwick/internal/placement"
	"heronwick/internal/wait"
	"heronwick/wire"
)

// jobState is a job of the share.
type jobState struct {
	Record *job.Record
	Size   placement.Resources

	DominantShare     float64 // the largest part of a machine that a task takes
	AcceptedAt        time.Time
	Ready             bool            // all jobs that it needs are done
	EligibleAt        time.Time       // from when its times but the deadline count: when it was accepted, or became ready
	Objectives        []time.Duration // objectives, from begin on
	EffectivePriority int             // of its priority, or of a job that needs it; 0 is the highest
	Deadline          time.Time       // by when it must be done, for itself or for a job that needs it; zero: at no time

	next  int   // tasks from here on were never queued for another try
	retry []int // tasks to place again
	live  map[int]int
	Zones map[string]int

	Done      *completion.Job
	Finishing bool // the job's end is being written

	FailedOn          map[string]bool
	Succeeded         bool
	NotBefore         time.Time
	UnplacedSince     time.Time     // since when a task has found no room; zero: none waits
	ImageFetchTime    time.Duration // about how long its image takes to fetch
	DeferredSince     time.Time     // since when it leaves room where its image is not to others; zero: it does not
	ImageWaitSince    time.Time     // since when room beside its image is looked for elsewhere
	PreemptedAt       time.Time     // when tasks were last stopped for this job
	NoVictimAt        [2]time.Time  // when none was found to stop, anywhere or beside its image
	ReportedProgress  job.Progress
	ProgressChangedAt time.Time // when that last changed

	Requested       int // tasks that another share is being asked to take
	Hosted          bool
	OwnerGuaranteed bool // a guest: its owner says that it is within its team's guarantee

	OwnerUnplaced int       // a guest: how many of its tasks its owner has no room for
	OwnerAskedAt  time.Time // and when it last said so
}

// resolveLocked looks up a job that is not among the active ones, since tasks
// of it may be on machines: it is over, or only not heard of yet.
func (s *Scheduler) resolveLocked(id string) {
	if s.resolve[id] {
		return
	}
	s.resolve[id] = true
	s.goDo(func(ctx context.Context) {
		for {
			f, over, found, err := s.opts.Jobs.Resolve(ctx, id)
			if err != nil {
				if !wait.Sleep(ctx, 300*time.Millisecond) {
					return
				}
				continue
			}
			s.mu.Lock()
			delete(s.resolve, id)
			if over || !found {
				// When it ended is not known: perhaps long ago.
				s.endLocked(id, f, time.Now().Add(s.opts.Settings.ReportEvery*2))
			}
			s.mu.Unlock()
			return
		}
	})
}

// jobOf returns an own job or a guest.
func (s *Scheduler) jobOf(id string) *jobState {
	if js := s.jobs[id]; js != nil {
		return js
	}
	return s.hostedJobs[id]
}

// JobAdded implements job.Listener.
func (s *Scheduler) JobAdded(r *job.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.poke()
	if s.mineLocked(&r.Job) && s.jobs[r.Job.ID] == nil {
		if !s.acceptedHereLocked(r) {
			// Its owner before may have placed it, which the records tell.
			s.epochChecked.Store(false)
			return
		}
		s.addJobLocked(r)
	}
	for _, m := range s.machines {
		for _, a := range m.Attempts.All() {
			if a.Job == r.Job.ID && !a.Sized {
				s.adoptLocked(m, a)
				if a.Exited() && !a.Handled {
					s.exitedLocked(m, a)
				}
			}
		}
	}
}

func (s *Scheduler) addJobLocked(r *job.Record) *jobState {
	j := &r.Job
	js := s.newJob(r)
	s.jobs[j.ID] = js
	s.log.Debug("job queued", "job", j.ID, "class", j.Class, "team", j.Team, "tasks", j.Tasks, "cpus", j.CPUs, "image", j.Image, "estimate_s", j.EstimateS,
		"needs", j.Dependencies, "ready", js.Ready, "rank", js.EffectivePriority)
	return js
}

func (s *Scheduler) newJob(r *job.Record) *jobState {
	j := &r.Job
	js := &jobState{
		Record: r, Size: placement.Of(j), live: map[int]int{}, Zones: map[string]int{},
		Done: completion.NewJob(r), FailedOn: map[string]bool{}, AcceptedAt: time.UnixMilli(r.AcceptedMs), Objectives: s.objectives(j),
	}
	js.DominantShare, js.ImageFetchTime = s.dominantShare(js.Size), s.fetchTime(j)
	s.takeReadinessLocked(js)
	return js
}

// objectives is within what time the job's users want it, as far as its class
// says; a deadline of its own stands for those.
func (s *Scheduler) objectives(j *wire.Job) []time.Duration {
	if j.DeadlineS != nil {
		return nil
	}
	var all []time.Duration
	for _, o := range s.opts.Settings.Objectives {
		if o.Class == j.Class && o.Within > 0 {
			all = append(all, o.Within)
		}
	}
	if len(all) == 0 {
		all = append(all, time.Minute)
	}
	return all
}

// dominantShare is the largest part of a machine's resources that a task of
// the size takes.
func (s *Scheduler) dominantShare(size placement.Resources) float64 {
	share := 1.0
	for _, t := range s.types {
		c := placement.Capacity(t)
		of := max(size.CPUs/max(c.CPUs, 1e-9), size.MemoryGB/max(c.MemoryGB, 1e-9))
		if c.GPUs > 0 {
			of = max(of, size.GPUs/c.GPUs)
		}
		share = min(share, of)
	}
	return share
}

// JobEnded implements job.Listener.
func (s *Scheduler) JobEnded(id string, f job.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLocked(id, f, time.Now().Add(s.opts.Settings.CancelIn*3/4))
}

// endLocked forgets a job that is over and stops its tasks.
func (s *Scheduler) endLocked(id string, f job.Outcome, goneBy time.Time) {
	js := s.jobs[id]
	if js != nil {
		s.log.Debug("job over", "job", id, "state", f.State, "after", time.Since(js.AcceptedAt))
		for a := range js.Done.Unwritten() {
			a.Handled = true
		}
	}
	s.completions.Forget(id)
	delete(s.jobs, id)
	delete(s.hostedJobs, id)
	s.endTasksLocked(id, f, goneBy)
}

// endTasksLocked stops every task of a job that is over, also those whose
// start may still be under way.
func (s *Scheduler) endTasksLocked(id string, f job.Outcome, goneBy time.Time) {
	for _, m := range s.machines {
		s.endTasksOnLocked(m, id, f, goneBy)
	}
	s.poke()
}

func (s *Scheduler) endTasksOnLocked(m *machine, id string, f job.Outcome, goneBy time.Time) {
	if f.State == wire.JobDone {
		goneBy = time.Time{} // nobody was told that its tasks are gone
	}
	touched := false
	for _, a := range m.Attempts.All() {
		if a.Job != id {
			continue
		}
		if a.Exited() {
			a.Handled = true
			continue
		}
		touched = true
		if a.NeverSent() {
			m.Attempts.Delete(a.Key)
			s.uncountLocked(a)
			continue
		}
		a.Stop, a.GraceS, a.MustGoBy = true, 0, goneBy
		if !a.Sized {
			a.Team, a.Size, a.Sized = f.Team, sizeOf(f), true
			if s.epoch.OwnerOf(f.Team, id) == s.opts.Node {
				s.countLocked(m.Zone, a)
			}
		}
	}
	if touched {
		s.closeIfEmptyLocked(m)
		s.sendLocked(m)
	}
}

const (
	// progressFor is how long a change of progress is told, so that a lost
	// message does not hide it.
	progressFor = 3 * time.Second
	// allProgressEvery is how often that of all jobs is told: to a controller
	// that has started since, a job that goes on alike would stay queued.
	allProgressEvery = 20 * time.Second
)

// Progress tells how far the jobs are whose progress has changed lately, and
// now and then all, for display.
func (s *Scheduler) Progress() map[string]job.Progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	running := map[string]int{}
	for _, m := range s.machines {
		for _, a := range m.Attempts.All() {
			if a.State == wire.TaskRunning {
				running[a.Job]++
			}
		}
	}
	for a := range s.remoteAttempts.All() {
		if a.State == wire.TaskRunning {
			running[a.Job]++
		}
	}
	changed := map[string]job.Progress{}
	if now.Sub(s.toldAll) >= allProgressEvery {
		s.toldAll = now
	}
	all := now.Sub(s.toldAll) < progressFor
	for id, js := range s.jobs {
		p := job.Progress{Done: js.Done.Count, Running: running[id]}
		if p != js.ReportedProgress {
			js.ReportedProgress, js.ProgressChangedAt = p, now
		}
		if all || now.Sub(js.ProgressChangedAt) < progressFor {
			changed[id] = p
		}
	}
	return changed
}
