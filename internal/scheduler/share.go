// Package scheduler runs a share: it queues the tasks of its jobs, places
// them by Move To Front on its machines, preempts, and rents and returns
// machines. What may be on each machine is in the store before a worker can
// see it, and a task is placed again only when it is proven gone.
package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"heronwick/internal/cluster"
	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/config"
	"heronwick/internal/fleet"
	"heronwick/internal/job"
	"heronwick/internal/placement"
	"heronwick/internal/state"
	"heronwick/wire"
)

// Authority says under which epoch this share commands, what it owns, and what
// is proven about other controllers.
type Authority interface {
	Division() (cluster.Epoch, wire.Condition)
	Token() uint64
	// Permit tells whether the share may answer and command workers now, and
	// under which token.
	Permit() (token uint64, ok bool)
	Fenced(token uint64) (time.Time, bool)
	Raise(ctx context.Context) error
	Owners() (mine map[string]cluster.Owner, orphans []string, fresh bool)
	Home(machine string) (node string, owned bool)
	HostOf(epoch *cluster.Epoch, machine string) string
	OwnerOf(machine string) (o cluster.Owner, named bool)
	Fresh() bool
	TransferWrite(node string, machines map[string]json.RawMessage) (wire.Condition, wire.Change, bool)
	NoteOwner(change wire.Change, version uint64)
	Totals() (machines, idle int, cpus, free float64)
	Idle(node string) int
	Loads() map[string]cluster.Load
	Wants() []*peerpb.Want
}

// Workers sends straight to workers.
type Workers interface {
	Command(ctx context.Context, address string, req *wire.CommandRequest) (*wire.Report, error)
	Status(ctx context.Context, address string) (*wire.Report, error)
}

// Cloud rents machines.
type Cloud interface {
	Types(ctx context.Context) ([]wire.MachineType, error)
	Rent(ctx context.Context, req wire.RentRequest) ([]string, error)
	Return(ctx context.Context, machines []string) error
	List(ctx context.Context) ([]wire.Machine, error)
}

// Peers are the other controllers' shares.
type Peers interface {
	Place(ctx context.Context, node string, req *peerpb.PlaceRequest) (*peerpb.PlaceReply, error)
	Settle(ctx context.Context, node string, req *peerpb.SettleRequest) (*peerpb.SettleReply, error)
}

// Jobs holds the jobs' records.
type Jobs interface {
	Listen(l job.Listener)
	Active(id string) *job.Record
	AllActive() []*job.Record
	Over(id string) bool
	Resolve(ctx context.Context, id string) (f job.Final, over, found bool, err error)
	ReadDone(ctx context.Context) ([]job.DonePage, error)
	Finish(ctx context.Context, r *job.Record, fence wire.Condition) error
	SetProgress(id string, p job.Progress)
}

// Records reads and writes the machines' records.
type Records interface {
	Get(ctx context.Context, p state.Priority, key string) (wire.Item, error)
	List(ctx context.Context, p state.Priority, prefix string) ([]wire.Item, uint64, error)
}

// Committer writes in groups.
type Committer interface {
	Commit(ctx context.Context, w state.Write) (uint64, error)
}

// Options are what a Share needs.
type Options struct {
	Node      string
	Settings  *config.Settings
	Authority Authority
	Workers   Workers
	Cloud     Cloud
	Peers     Peers
	Requests  *Requests // for room, that have come
	Jobs      Jobs
	Records   Records
	Committer Committer
	Types     []wire.MachineType
	Resign    func(ctx context.Context) // gives up leading
	Elsewhere func() int                // workers that lately came to a peer instead
	Latency   func() time.Duration      // how long goroutines lately waited for the processor; nil: not measured
	Log       *slog.Logger
}

// machine is a machine of the share, with what the share decides about it.
type machine struct {
	*fleet.Machine
	page       *page   // where its record is; nil: it has none
	elsewhere  []*page // that still hold a record of it
	dirty      bool    // it has attempts that are on no record yet
	due        bool    // its page must be written
	sending    bool    // a direct command is under way
	sendAgain  bool
	looked     uint64 // the pass that found the next two
	usable     bool
	free       placement.Resources
	probing    bool
	probed     time.Time
	failures   int       // probes without answer since the last sign of life
	failing    time.Time // when the first of them was sent
	deaf       time.Time // since when no direct message was answered; zero: the last one was
	unanswered int       // probes without answer since the last direct answer
	heard      time.Time // when its last report came by itself
	returning  bool
	suspect    bool // fails what it starts: no new placements
	failedJobs map[string]bool
	idleSince  time.Time
	cooling    time.Time // no placements before then
	// Room that is kept for guests until they ask again: they are not in this
	// share's queue.
	kept []keptRoom

	base  uint64 // reports under older tokens do not settle its record
	fence uint64 // nobody else answers its worker once epochs before this are fenced; 0: nobody does
}

// keptRoom is room for one task of a guest.
type keptRoom struct {
	job   string
	size  placement.Resources
	until time.Time
}

// jobState is a job of the share.
type jobState struct {
	rec  *job.Record
	size placement.Resources

	share    float64 // the largest part of a machine that a task takes
	accepted time.Time
	within   []time.Duration // objectives, from accepted on

	next  int   // tasks from here on were never queued for another try
	retry []int // tasks to place again
	live  map[int]int
	zones map[string]int

	done      *job.DoneSet
	dirty     map[int]bool             // chunks to write
	awaiting  map[int][]*fleet.Attempt // by chunk: done, not yet in the store
	shelves   map[int]*shelf           // by chunk, where it is written
	finishing bool                     // the job's end is being written

	failedOn  map[string]bool
	succeeded bool
	notBefore time.Time
	waiting   time.Time     // since when a task has found no room; zero: none waits
	fetch     time.Duration // about how long its image takes to fetch
	passedUp  time.Time     // since when it leaves room where its image is not to others; zero: it does not
	wantsHeld time.Time     // since when room beside its image is looked for elsewhere
	preempted time.Time     // when tasks were last stopped for this job
	tried     [2]time.Time  // when none was found to stop, anywhere or beside its image
	told      job.Progress
	toldAt    time.Time // when that last changed

	asking          int // tasks that another share is being asked to take
	guest           bool
	guestGuaranteed bool // a guest: its owner says that it is within its team's guarantee

	asked   int       // a guest: how many of its tasks its owner has no room for
	askedAt time.Time // and when it last said so
}

// Share is one controller's part of the cluster: its jobs, its machines and
// its Move To Front list.
type Share struct {
	opts  Options
	log   *slog.Logger
	types map[string]*wire.MachineType
	teams map[string]config.Team
	wake  chan struct{}
	// divided is cleared when the epoch, an owner or a job may ask for another
	// division: looking for that takes as long as the fleet is large.
	divided atomic.Bool
	summary atomic.Pointer[summary]
	// busyUntil is until when the loop's last long delay counts, in Unix nanoseconds.
	busyUntil atomic.Int64
	ctx       context.Context
	group     *errgroup.Group

	mu         sync.Mutex
	div        division
	loaded     bool
	adopted    uint64 // under this epoch, machines without an owner have been taken
	building   bool
	begun      uint64               // version of the epoch when the share began
	early      map[string]time.Time // reports answered before the records were read
	doubted    map[string]time.Time // since when machines have had tasks of unknown jobs
	jobs       map[string]*jobState // the share's own
	guests     map[string]*jobState // jobs of other shares that have, or want, tasks here
	foreign    map[fleet.Key]*lent  // tasks of own jobs that may be on others' machines
	barred     map[fleet.Key]time.Time
	asking     map[string]*asking
	machines   map[string]*machine
	pages      map[string]*page  // the keys that hold the machines' records
	journals   []*page           // hold what the pages do not hold yet
	journal    *page             // the one that is written at present
	journaled  time.Time         // when that was last written
	journalDue bool              // and it waits to be written again
	paged      uint64            // pages named so far
	shelves    map[string]*shelf // the keys that hold done tasks
	shelved    uint64            // shelves named so far
	flushed    time.Time         // when done tasks were last written
	gone       []string          // machines that are gone, which the others are still to be told
	telling    bool              // they are being told
	moving     map[string]bool   // machines whose owner is being written
	unsynced   []*machine        // whose workers are to be shown the token
	syncing    int               // that are being shown it
	syncRate   *rate.Limiter
	probeRate  *rate.Limiter
	syncWaits  bool // for that
	list       placement.List[*machine]
	pass       pass
	used       map[string]placement.Resources // by team, all that may be on machines
	number     uint64                         // last attempt number
	returned   map[string]time.Time           // machines that are surely gone
	booting    map[string]*booting
	refused    map[placement.Place]refusal
	serial     uint64 // numbers what must never be named alike under one token
	raising    bool
	raised     time.Time
	resolve    map[string]bool // jobs being looked up
	spare      int             // idle and booting machines wanted beyond the demand
	resigned   time.Time
	grouped    time.Time // when idle machines were last regrouped
	relieved   time.Time // when some were last given away for want of processor time
	overloaded time.Time // when this controller was last short of processor time
	toldAll    time.Time // when the progress of all jobs was last told
	passes     passTimes // since the load was last logged
	cut        bool      // most workers cannot be reached
}

// New makes a share; Run starts it.
func New(opts Options) *Share {
	s := &Share{
		opts: opts, log: opts.Log,
		types: map[string]*wire.MachineType{}, teams: map[string]config.Team{},
		wake:  make(chan struct{}, 1),
		early: map[string]time.Time{}, doubted: map[string]time.Time{}, jobs: map[string]*jobState{}, machines: map[string]*machine{},
		used: map[string]placement.Resources{}, returned: map[string]time.Time{},
		booting: map[string]*booting{}, refused: map[placement.Place]refusal{}, resolve: map[string]bool{},
		guests: map[string]*jobState{}, foreign: map[fleet.Key]*lent{}, barred: map[fleet.Key]time.Time{},
		asking: map[string]*asking{}, moving: map[string]bool{}, pages: map[string]*page{}, shelves: map[string]*shelf{},
	}
	s.syncRate, s.probeRate = syncRate(opts.Settings.CoreShare), probeRate(opts.Settings.CoreShare)
	for i := range opts.Types {
		s.types[opts.Types[i].Name] = &opts.Types[i]
	}
	for _, t := range opts.Settings.Teams {
		s.teams[t.Name] = t
	}
	return s
}

// Run runs the share until ctx ends.
func (s *Share) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	s.ctx, s.group = ctx, g
	s.opts.Jobs.Listen(s)
	defer s.opts.Jobs.Listen(nil)
	g.Go(func() error { return s.loop(ctx) })
	g.Go(func() error { return s.runCloud(ctx) })
	g.Go(func() error { return s.runLent(ctx) })
	return g.Wait()
}

// goDo starts work that belongs to the share and ends with it.
func (s *Share) goDo(f func(ctx context.Context)) {
	s.group.Go(func() error {
		f(s.ctx)
		return nil
	})
}

// maxSyncs is how many workers are shown a new token at a time. A takeover of
// thousands at once would use up sockets and the share of a processor, and most
// report by themselves before their turn comes. Those of a zone that is cut off
// must not keep all others waiting.
const maxSyncs = 512

// syncsPerCore is how many workers a second may be shown a new token for each
// core that this controller has: about half of its time, the rest is for the
// reports of those that come by themselves.
const syncsPerCore = 4000

// syncLocked shows a worker the new token soon and takes its report: until then
// nothing may be placed on its machine.
func (s *Share) syncLocked(m *machine) {
	if m.mustStop() {
		s.unsynced = slices.Insert(s.unsynced, 0, m)
	} else {
		s.unsynced = append(s.unsynced, m)
	}
	s.syncNextLocked()
}

// mustStop tells whether a cancelled job's task may be on the machine: showing
// its worker the token, and with it the stop, does not wait for its turn.
func (m *machine) mustStop() bool {
	for _, a := range m.Attempts.All() {
		if !a.MustGoBy.IsZero() && !a.Exited() {
			return true
		}
	}
	return false
}

// syncNextLocked goes on with the workers that still have not reported.
func (s *Share) syncNextLocked() {
	for s.syncing < maxSyncs && len(s.unsynced) > 0 {
		m := s.unsynced[0]
		if m.Address == "" || m.probing || s.machines[m.Name] != m || s.synced(m) {
			s.unsynced = s.unsynced[1:]
			continue
		}
		if !m.mustStop() && !s.syncRate.Allow() {
			if !s.syncWaits {
				s.syncWaits = true
				time.AfterFunc(syncPause, s.syncAgain)
			}
			return
		}
		s.unsynced = s.unsynced[1:]
		m.probing = true
		s.syncing++
		address := m.Address
		req := &wire.CommandRequest{Token: s.opts.Authority.Token(), Session: m.Session, Commands: []wire.Command{}}
		s.goDo(func(ctx context.Context) {
			cctx, cancel := context.WithTimeout(ctx, commandTimeout)
			report, err := s.opts.Workers.Command(cctx, address, req)
			cancel()
			s.mu.Lock()
			defer s.mu.Unlock()
			m.probing = false
			s.syncing--
			if s.answeredLocked(m, err) {
				s.applyLocked(m, report)
			}
			if ctx.Err() == nil {
				s.syncNextLocked()
			}
		})
	}
}

func syncRate(coreShare float64) *rate.Limiter {
	if coreShare <= 0 {
		return rate.NewLimiter(rate.Inf, maxSyncs)
	}
	return rate.NewLimiter(rate.Limit(syncsPerCore*coreShare), max(1, min(maxSyncs, int(syncsPerCore*coreShare/4))))
}

// syncPause is how long showing the token waits where it went too fast.
const syncPause = 50 * time.Millisecond

func (s *Share) syncAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.syncWaits = false; s.ctx.Err() == nil {
		s.syncNextLocked()
	}
}

// answeredLocked notes whether a direct message was answered. Reports that
// arrive are no proof that anything reaches the worker: one that does not
// answer gets nothing new.
func (s *Share) answeredLocked(m *machine, err error) bool {
	if err == nil {
		m.deaf, m.unanswered = time.Time{}, 0
		return true
	}
	if m.deaf.IsZero() && !errors.Is(err, fleet.ErrNoSocket) && !s.busy() {
		m.deaf = time.Now()
	}
	s.log.Debug("no answer from worker", "machine", m.Name, "err", err)
	return false
}

func (s *Share) addMachineLocked(fm *fleet.Machine, now time.Time) *machine {
	m := &machine{Machine: fm, failedJobs: map[string]bool{}, idleSince: now}
	m.Type = s.types[m.TypeName]
	m.LastReport, m.heard = now, now
	m.base, m.fence = s.div.Token, s.div.Token
	s.machines[m.Name] = m
	delete(s.booting, m.Name)
	delete(s.early, m.Name)
	return m
}

// divideEvery is how often the share looks for who owns what though nothing has
// told it of a change.
const divideEvery = time.Second

// logLoadEvery is how often the share logs how full it is.
const logLoadEvery = 10 * time.Second

// loop schedules whenever something has changed, and looks after the machines
// at regular times.
func (s *Share) loop(ctx context.Context) error {
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	var logged, tidied, summarized, divided time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		case now := <-tick.C:
			if now.Sub(divided) >= divideEvery {
				divided = now
				s.divided.Store(false) // in case that a change went unnoticed
			}
			s.mu.Lock()
			s.regroupLocked(now)
			s.relieveLocked(now)
			s.watchMachinesLocked(now)
			if now.Sub(summarized) >= summarizeEvery {
				summarized = now
				s.summarizeLocked(now)
			}
			s.flushLocked(now)
			s.tellGoneLocked()
			if now.Sub(tidied) > tidyEvery {
				tidied = now
				s.tidyLocked()
			}
			if now.Sub(logged) > logLoadEvery {
				logged = now
				s.logLoadLocked(now)
			}
			s.mu.Unlock()
		}
		began := time.Now()
		s.mu.Lock()
		locked := time.Now()
		if !s.divided.Swap(true) {
			s.divideLocked()
		}
		s.scheduleLocked(time.Now())
		s.commitLocked()
		s.lendLocked(time.Now())
		s.mu.Unlock()
		took := time.Since(began)
		s.noteDelay(max(locked.Sub(began), time.Since(locked)))
		s.passes.add(took)
		if !pause(ctx, max(passEvery, 2*took)) {
			return nil
		}
	}
}

// passTimes sums how long passes took. Only the loop uses it.
type passTimes struct {
	count          int
	total, longest time.Duration
}

func (p *passTimes) add(took time.Duration) {
	p.count, p.total, p.longest = p.count+1, p.total+took, max(p.longest, took)
}

// passEvery is how long a pass waits after the one before, or twice as long as
// that took. What comes meanwhile is served together: under load a pass for
// each report would take more than the share of a processor.
const passEvery = 10 * time.Millisecond

// Changed tells the share that the epoch or a machine's owner has changed.
func (s *Share) Changed() { s.redivide() }

// redivide has the next pass look at who owns what.
func (s *Share) redivide() {
	s.divided.Store(false)
	s.poke()
}

func (s *Share) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// permitted tells whether the share may act for its machines now.
func (s *Share) permitted() bool {
	_, ok := s.opts.Authority.Permit()
	return ok
}

// Checkin takes a worker's report. It returns nil if this share has no right
// to answer it.
func (s *Share) Checkin(r *wire.Report) *wire.ReportReply {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	token, permitted := s.opts.Authority.Permit()
	if !permitted {
		return nil
	}
	if node, owned := s.opts.Authority.Home(r.Machine); owned && node != s.opts.Node {
		return nil // given since, whatever this share has not followed yet
	}
	m, coming := s.machines[r.Machine], false
	if m == nil {
		m, coming = s.joinLocked(r, now)
	}
	reply := &wire.ReportReply{Token: token, Commands: []wire.Command{}}
	if m == nil {
		if !coming || s.doubtfulLocked(r, now) {
			// Answering a machine that is another's would renew a lease that
			// its owner counts as lapsed.
			return nil
		}
		s.early[r.Machine] = now
		reply.Commands = s.stopsOfOverLocked(r)
		return reply // keeps its lease while its machine is being taken
	}
	fresh := s.applyLocked(m, r)
	if s.doubtfulLocked(r, now) {
		return nil
	}
	m.LastAnswer = now
	if fresh {
		m.heard = now
	} else {
		// Late or repeated: its reply will be dropped, and must not carry
		// commands meant for the worker as it is now. Or the worker has
		// started anew and counts from the beginning: asking it tells.
		if !m.probing && now.Sub(m.probed) > probeTimeout {
			s.probeLocked(m, now)
		}
		return reply
	}
	reply.Commands = append(reply.Commands, m.Reply()...)
	return reply
}

// doubtFor is how long a worker is answered though it has tasks of jobs of which
// nothing is known.
func (s *Share) doubtFor() time.Duration { return s.opts.Settings.LeaseFor / 4 }

// doubtfulLocked tells whether a worker has had tasks of unknown jobs for so
// long that its lease must lapse. Such a job may be over: cancelled before this
// controller read the jobs, while the state service, which would tell, is out
// for longer than the tasks may stay.
func (s *Share) doubtfulLocked(r *wire.Report, now time.Time) bool {
	m := s.machines[r.Machine]
	unknown := slices.ContainsFunc(r.Tasks, func(t wire.TaskReport) bool {
		id, _, ok := wire.SplitTaskID(t.Task)
		if !ok || t.State == wire.TaskExited || s.jobOf(id) != nil {
			return false
		}
		if m != nil {
			if a := m.Attempts.Get(fleet.Key{Task: t.Task, Attempt: t.Attempt}); a != nil && a.Stop {
				return false
			}
		}
		return s.opts.Jobs.Active(id) == nil && !s.opts.Jobs.Over(id)
	})
	since, doubted := s.doubted[r.Machine]
	switch {
	case !unknown && doubted:
		delete(s.doubted, r.Machine)
	case unknown && !doubted:
		s.doubted[r.Machine] = now
	case unknown:
		return now.Sub(since) > s.doubtFor()
	}
	return false
}

// stopsOfOverLocked stops, of the tasks that a report shows, those whose jobs
// are over: their machine's records may not be readable for long.
func (s *Share) stopsOfOverLocked(r *wire.Report) []wire.Command {
	stops := []wire.Command{}
	for _, t := range r.Tasks {
		id, _, ok := wire.SplitTaskID(t.Task)
		if ok && t.State != wire.TaskExited && s.opts.Jobs.Over(id) && len(stops) < wire.MaxCommands {
			grace := 0.0
			stops = append(stops, wire.Command{Op: wire.OpStop, Task: t.Task, Attempt: t.Attempt, GraceS: &grace})
		}
	}
	return stops
}

// applyLocked takes a report or the answer to a direct command.
func (s *Share) applyLocked(m *machine, r *wire.Report) bool {
	if s.machines[m.Name] != m || r.Machine != m.Name {
		return false
	}
	now := time.Now()
	events, fresh := m.Apply(r, now)
	if !fresh {
		return false
	}
	m.failures = 0
	if m.Type == nil {
		m.Type = s.types[m.TypeName]
	}
	s.handleLocked(m, events)
	if len(events) > 0 {
		s.poke()
	}
	if s.wantsDirectLocked(m) {
		s.sendLocked(m)
	}
	return true
}

// wantsDirectLocked tells whether waiting for the next report would cost
// time: stops make room for what waits.
func (s *Share) wantsDirectLocked(m *machine) bool {
	for _, a := range m.Attempts.All() {
		if a.Stop && a.State != "" && !a.Exited() && a.State != wire.TaskSaving {
			return true
		}
	}
	return false
}

// synced tells whether the machine's report under its owner's token has come:
// then its record is settled.
func (s *Share) synced(m *machine) bool { return m.Reported && m.Token >= m.base }

// handleLocked draws the consequences of what a report or a proof told.
func (s *Share) handleLocked(m *machine, events []fleet.Event) {
	for _, e := range events {
		a := e.Attempt
		switch e.Kind {
		case fleet.Found:
			s.adoptLocked(m, a)
			if a.Exited() {
				s.exitedLocked(m, a)
			}
		case fleet.Started:
			s.log.Debug("started", "task", a.Task, "machine", m.Name, "after", time.Since(a.Placed))
			if js := s.jobOf(a.Job); js != nil && a.Service {
				js.succeeded = true
			}
		case fleet.Exited:
			s.exitedLocked(m, a)
		case fleet.Lost:
			log := s.log.Info
			if a.Recovered {
				log = s.log.Debug // most of those had ended before the takeover
			}
			log("task lost", "task", a.Task, "attempt", a.Attempt, "machine", m.Name)
			s.uncountLocked(a)
		}
	}
	s.closeIfEmptyLocked(m)
}

// closeIfEmptyLocked takes a machine whose last task has ended off the list.
func (s *Share) closeIfEmptyLocked(m *machine) {
	if m.Live() > 0 {
		if !s.list.Has(m) {
			s.list.Append(m)
		}
		return
	}
	if s.list.Has(m) {
		s.list.Close(m)
		m.idleSince = time.Now()
	}
}

// adoptLocked takes in an attempt that was recorded before or that a report
// shows unexpectedly.
func (s *Share) adoptLocked(m *machine, a *fleet.Attempt) {
	js := s.jobs[a.Job]
	if js == nil {
		r := s.opts.Jobs.Active(a.Job)
		if r == nil || s.mineLocked(&r.Job) {
			s.resolveLocked(a.Job)
			return
		}
		s.describe(a, &r.Job)
		a.Guest = true
		s.closeIfEmptyLocked(m)
		return
	}
	a.Guest = false
	if f := s.foreign[a.Key]; f != nil {
		s.forgetLentLocked(f) // it was another's, and its machine is now ours
	}
	s.describe(a, &js.rec.Job)
	if a.Exited() {
		return
	}
	if a.Index >= js.rec.Job.Tasks || js.done.Has(a.Index) || js.live[a.Index] > 0 {
		// Its result is known, or another attempt may be elsewhere: never two.
		a.Stop = true
	}
	s.countLocked(m.Zone, a)
	s.closeIfEmptyLocked(m)
}

func (s *Share) describe(a *fleet.Attempt, j *wire.Job) {
	a.Team, a.Rank, a.Service = j.Team, j.Priority.Rank(), j.Kind == wire.KindService
	a.Image, a.ImageGB = j.Image, j.ImageGB
	a.Size, a.Sized = placement.Of(j), true
	if j.CheckpointS > 0 {
		a.GraceS = graceFor(j)
	}
}

// graceFor leaves a task a little more than its owner says it needs to save.
func graceFor(j *wire.Job) float64 { return j.SaveS*1.25 + 0.5 }

// resolveLocked looks up a job that is not among the active ones, since tasks
// of it may be on machines: it is over, or only not heard of yet.
func (s *Share) resolveLocked(id string) {
	if s.resolve[id] {
		return
	}
	s.resolve[id] = true
	s.goDo(func(ctx context.Context) {
		for {
			f, over, found, err := s.opts.Jobs.Resolve(ctx, id)
			if err != nil {
				if !pause(ctx, 300*time.Millisecond) {
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

func (s *Share) countLocked(zone string, a *fleet.Attempt) {
	if a.Counted {
		return
	}
	a.Counted, a.Zone = true, zone
	s.used[a.Team] = s.used[a.Team].Plus(a.Size)
	if js := s.jobs[a.Job]; js != nil {
		js.live[a.Index]++
		js.zones[a.Zone]++
	}
}

// uncountLocked takes an attempt out of all sums: it is surely gone. Its task
// is queued again, unless it is done or may be elsewhere.
func (s *Share) uncountLocked(a *fleet.Attempt) {
	s.releaseLocked(a)
	s.poke()
}

// releaseLocked is uncountLocked without waking the scheduler.
func (s *Share) releaseLocked(a *fleet.Attempt) {
	if !a.Counted {
		return
	}
	a.Counted = false
	s.used[a.Team] = s.used[a.Team].Minus(a.Size)
	js := s.jobs[a.Job]
	if js == nil {
		return
	}
	js.zones[a.Zone]--
	if js.live[a.Index]--; js.live[a.Index] <= 0 {
		delete(js.live, a.Index)
		if !js.done.Has(a.Index) && a.Index < js.next {
			js.retry = append(js.retry, a.Index)
		}
	}
}

// exitedLocked takes the end of an attempt on a machine of the share.
func (s *Share) exitedLocked(m *machine, a *fleet.Attempt) {
	now := time.Now()
	s.log.Debug("exited", "task", a.Task, "attempt", a.Attempt, "machine", m.Name, "why", a.Why, "since_placed", now.Sub(a.Placed))
	if a.Why == wire.WhyError {
		s.failedLocked(m, s.jobOf(a.Job), a, now)
	}
	if a.Why == wire.WhyDone {
		clear(m.failedJobs)
		if js := s.jobOf(a.Job); js != nil {
			js.succeeded = true
		}
	}
	if a.Why == wire.WhyNoRoom || a.Why == wire.WhyBusy {
		m.cooling = now.Add(time.Second)
	}
	s.endedLocked(a, now)
}

// endedLocked draws the consequences of an attempt's end for its job, on
// whoever's machine it was.
func (s *Share) endedLocked(a *fleet.Attempt, now time.Time) {
	js := s.jobs[a.Job]
	if js == nil {
		// Its owner, which asks, decides what follows; without one, nothing.
		a.Handled = !a.Guest
		s.uncountLocked(a)
		return
	}
	if a.Why == wire.WhyDone && !a.Service {
		js.succeeded = true
		chunk := js.done.Add(a.Index)
		js.dirty[chunk] = true
		js.awaiting[chunk] = append(js.awaiting[chunk], a)
		s.uncountLocked(a)
		s.stopOthersLocked(a)
		s.finishLocked(js)
		return
	}
	a.Handled = true
	switch a.Why {
	case wire.WhyStopped, wire.WhyDone, wire.WhyError, wire.WhyPeers, wire.WhyAlone:
	default:
		s.log.Info("start refused", "task", a.Task, "attempt", a.Attempt, "why", a.Why)
		js.notBefore = now.Add(500 * time.Millisecond)
	}
	s.uncountLocked(a)
}

// stopOthersLocked stops other attempts of a task that is done.
func (s *Share) stopOthersLocked(done *fleet.Attempt) {
	js := s.jobs[done.Job]
	if js == nil || js.live[done.Index] == 0 {
		return
	}
	for _, m := range s.machines {
		for _, a := range m.Attempts.All() {
			if a.Task == done.Task && a != done && !a.Exited() {
				a.Stop = true
				s.sendLocked(m)
			}
		}
	}
}

// failedLocked judges a failure: is it the machine or the job? A machine on
// which several jobs fail that do not fail elsewhere is set aside; a job that
// fails on several machines and succeeds on none is tried again ever later.
func (s *Share) failedLocked(m *machine, js *jobState, a *fleet.Attempt, now time.Time) {
	s.log.Info("task failed", "task", a.Task, "attempt", a.Attempt, "machine", m.Name)
	if js == nil {
		return
	}
	js.failedOn[m.Name] = true
	m.failedJobs[a.Job] = true
	if n := len(js.failedOn); n >= 2 && !js.succeeded {
		js.notBefore = now.Add(min(30*time.Second, time.Second<<min(n-2, 5)))
	}
	evidence := 0
	for id := range m.failedJobs {
		if other := s.jobOf(id); other != nil && !other.mistaken() {
			evidence++
		}
	}
	if evidence >= 2 && !m.suspect {
		m.suspect = true
		s.log.Info("machine set aside: jobs fail on it that do not fail elsewhere", "machine", m.Name)
	}
}

// mistaken tells whether the job seems to fail everywhere.
func (js *jobState) mistaken() bool { return len(js.failedOn) >= 2 && !js.succeeded }

// jobOf returns an own job or a guest.
func (s *Share) jobOf(id string) *jobState {
	if js := s.jobs[id]; js != nil {
		return js
	}
	return s.guests[id]
}

// JobAdded implements job.Listener.
func (s *Share) JobAdded(r *job.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.poke()
	if s.mineLocked(&r.Job) && s.jobs[r.Job.ID] == nil {
		if !s.loaded || r.Version <= s.div.since.Version {
			// Accepted before the division that made it ours: its owner then
			// may have placed it, which the records tell.
			s.divided.Store(false)
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

func (s *Share) addJobLocked(r *job.Record) *jobState {
	j := &r.Job
	js := s.newJob(r)
	s.jobs[j.ID] = js
	s.log.Debug("job queued", "job", j.ID, "class", j.Class, "team", j.Team, "tasks", j.Tasks, "cpus", j.CPUs, "image", j.Image, "estimate_s", j.EstimateS)
	return js
}

func (s *Share) newJob(r *job.Record) *jobState {
	j := &r.Job
	js := &jobState{
		rec: r, size: placement.Of(j), live: map[int]int{}, zones: map[string]int{},
		done: &job.DoneSet{}, dirty: map[int]bool{}, awaiting: map[int][]*fleet.Attempt{}, shelves: map[int]*shelf{},
		failedOn: map[string]bool{}, accepted: time.UnixMilli(r.AcceptedMs), within: s.objectives(j),
	}
	js.share, js.fetch = s.dominantShare(js.size), s.fetchTime(j)
	return js
}

// objectives is within what time of its acceptance the job's users want it,
// as far as they have said: its deadline, and the objectives of its class.
func (s *Share) objectives(j *wire.Job) []time.Duration {
	if j.DeadlineS != nil {
		return []time.Duration{time.Duration(*j.DeadlineS * float64(time.Second))}
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
func (s *Share) dominantShare(size placement.Resources) float64 {
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
func (s *Share) JobEnded(id string, f job.Final) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLocked(id, f, time.Now().Add(s.opts.Settings.CancelIn*3/4))
}

// endLocked forgets a job that is over and stops its tasks.
func (s *Share) endLocked(id string, f job.Final, goneBy time.Time) {
	js := s.jobs[id]
	if js != nil {
		s.log.Debug("job over", "job", id, "state", f.State, "after", time.Since(js.accepted))
		for _, attempts := range js.awaiting {
			for _, a := range attempts {
				a.Handled = true
			}
		}
	}
	s.unshelveLocked(id)
	delete(s.jobs, id)
	delete(s.guests, id)
	s.endTasksLocked(id, f, goneBy)
}

// endTasksLocked stops every task of a job that is over, also those whose
// start may still be under way.
func (s *Share) endTasksLocked(id string, f job.Final, goneBy time.Time) {
	for _, m := range s.machines {
		s.endTasksOnLocked(m, id, f, goneBy)
	}
	s.poke()
}

func (s *Share) endTasksOnLocked(m *machine, id string, f job.Final, goneBy time.Time) {
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
		if a.Unsent() {
			m.Attempts.Delete(a.Key)
			s.uncountLocked(a)
			continue
		}
		a.Stop, a.GraceS, a.MustGoBy = true, 0, goneBy
		if !a.Sized {
			a.Team, a.Size, a.Sized = f.Team, placement.Resources{CPUs: f.CPUs, GPUs: f.GPUs, MemoryGB: f.MemoryGB}, true
			if s.div.OwnerOf(f.Team, id) == s.opts.Node {
				s.countLocked(m.Zone, a)
			}
		}
	}
	if touched {
		s.closeIfEmptyLocked(m)
		s.sendLocked(m)
	}
}

// commandTimeout bounds a direct command; the next report brings it again.
const commandTimeout = 2 * time.Second

// sendLocked sends a worker what it should be told, without waiting for its
// next report.
func (s *Share) sendLocked(m *machine) {
	if m.sending {
		m.sendAgain = true
		return
	}
	token, permitted := s.opts.Authority.Permit()
	if m.Address == "" || !m.Reported || !permitted {
		return
	}
	req := m.Direct(token)
	if req == nil {
		return
	}
	m.sending = true
	address := m.Address
	s.goDo(func(ctx context.Context) {
		cctx, cancel := context.WithTimeout(ctx, commandTimeout)
		report, err := s.opts.Workers.Command(cctx, address, req)
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		m.sending = false
		m.DirectDone(req, err == nil || errors.Is(err, fleet.ErrNoSocket))
		if !s.answeredLocked(m, err) {
			m.sendAgain = false
			return
		}
		s.applyLocked(m, report)
		if m.sendAgain {
			m.sendAgain = false
			s.sendLocked(m)
		}
	})
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
func (s *Share) Progress() map[string]job.Progress {
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
	for _, f := range s.foreign {
		if f.State == wire.TaskRunning {
			running[f.Job]++
		}
	}
	changed := map[string]job.Progress{}
	if now.Sub(s.toldAll) >= allProgressEvery {
		s.toldAll = now
	}
	all := now.Sub(s.toldAll) < progressFor
	for id, js := range s.jobs {
		p := job.Progress{Done: js.done.Count, Running: running[id]}
		if p != js.told {
			js.told, js.toldAt = p, now
		}
		if all || now.Sub(js.toldAt) < progressFor {
			changed[id] = p
		}
	}
	return changed
}

// pause waits, or returns false when ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
