package scheduler

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"heronwick/internal/autoscale"
	"heronwick/internal/checkpoint"
	"heronwick/internal/completion"
	"heronwick/internal/detector"
	"heronwick/internal/fleet"
	"heronwick/internal/ownership"
	"heronwick/internal/packing"
	"heronwick/internal/queue"
	"heronwick/internal/remote"
	"heronwick/wire"
)

// Scheduler schedules one controller's part of the cluster: its jobs, its
// machines and its Move To Front list. Its methods are safe for concurrent use.
type Scheduler struct {
	opts  Options
	log   *slog.Logger
	types map[string]*wire.MachineType // by name
	ctx   context.Context              // of Run
	group *errgroup.Group              // of Run: what spawn starts
	wake  chan struct{}                // wakes the loop
	// epochChecked is cleared when the epoch, an owner or a job may change the
	// shard assignment: looking for that takes as long as the fleet is large.
	epochChecked atomic.Bool
	summary      atomic.Pointer[summary]

	// mu guards all that follows, and what the other packages keep for the
	// scheduler. No I/O is done while it is held.
	mu sync.Mutex

	// The epoch that it acts under, and what was taken over under it.
	epoch              epochState
	loaded             bool                 // the records have been read
	rebuilding         bool                 // rebuild is under way
	startVersion       uint64               // version of the epoch under which the records were first read
	adoptedToken       uint64               // under this token, machines without an owner were adopted
	preAdoptionReplies map[string]time.Time // when workers were last answered before their machines were adopted
	tokenSync          tokenSync
	raisingToken       bool      // AdvanceEpoch is under way
	raiseAttemptedAt   time.Time // when it was last called
	leaderSince        time.Time // when this controller last began to lead
	resignedAt         time.Time // when it last gave that up

	// Jobs and the tasks that wait.
	teams          *queue.Teams
	jobs           map[string]*queue.Job // the scheduler's own
	hostedJobs     map[string]*queue.Job // jobs of other controllers that have, or want, tasks here
	resolvingJobs  map[string]bool       // jobs being looked up
	attemptNumbers fleet.AttemptNumbers
	lastSerial     uint64    // numbers what must never be named alike under one token
	fullProgressAt time.Time // when Progress last began to return all jobs

	// Machines: what may be on them, and where tasks are placed.
	machines          map[string]*machine
	unknownTasksSince map[string]time.Time // since when machines have had tasks of unknown jobs
	detector          *detector.Detector
	probeRate         *rate.Limiter
	packer            *packing.Packer
	victims           victimSummary
	fetchDeferred     bool // a job of the turn that is being served leaves room to others

	// What is recorded in the store.
	valueLimit  *checkpoint.ValueLimit
	checkpoints *checkpoint.Writer // what may be on the machines
	completions *completion.Table  // which tasks are done

	// Tasks on other controllers' machines, and theirs here.
	remoteAttempts *remote.Attempts // of own jobs
	placeThrottle  remote.Throttle
	deniedAttempts remote.DeniedAttempts // hosted here never more

	// Machines that change owner, are rented or returned.
	transfers    ownership.Transfers // changes of owner that are not written yet
	inventory    *autoscale.Inventory
	planner      *autoscale.Planner // holds types and inventory, too
	idleReserve  int                // how many machines may stay idle
	rebalancedAt time.Time          // when idle machines were last rebalanced
	shedAt       time.Time          // when some were last handed over for want of processor time
	overloadedAt time.Time          // when this controller was last short of processor time

	passes      passStats // since the load was last logged
	maintenance maintenance
}

// New returns a Scheduler for opts; Run starts it.
func New(opts Options) *Scheduler {
	s := &Scheduler{
		opts: opts, log: opts.Log, types: map[string]*wire.MachineType{}, wake: make(chan struct{}, 1),
		preAdoptionReplies: map[string]time.Time{},
		teams:              queue.NewTeams(opts.Settings.Teams),
		jobs:               map[string]*queue.Job{},
		hostedJobs:         map[string]*queue.Job{},
		resolvingJobs:      map[string]bool{},
		machines:           map[string]*machine{},
		unknownTasksSince:  map[string]time.Time{},
		remoteAttempts:     remote.NewAttempts(),
		inventory:          autoscale.NewInventory(),
	}
	for i := range opts.Types {
		s.types[opts.Types[i].Name] = &opts.Types[i]
	}
	s.detector = detector.New(detector.Settings{
		HeartbeatInterval: opts.Settings.HeartbeatInterval, LeaseDuration: opts.Settings.LeaseDuration,
		CommandTimeout: commandTimeout, Latency: opts.Latency,
	})
	s.probeRate = probeRate(opts.Settings.CoreShare)
	s.tokenSync.rate = tokenRequestRate(opts.Settings.CoreShare)
	s.packer = packing.New(packingScheduler{s})
	s.planner = &autoscale.Planner{Types: s.types, Inventory: s.inventory}
	s.valueLimit = checkpoint.NewValueLimit(opts.Settings, opts.Log)
	s.checkpoints = s.newCheckpointWriter()
	s.completions = completion.NewTable(completionScheduler{recordWriter{s}}, opts.Settings, s.log)
	return s
}

// Run runs the scheduler until ctx ends, and returns the first error of its
// goroutines.
func (s *Scheduler) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	s.ctx, s.group = ctx, group
	s.opts.Jobs.Listen(s)
	defer s.opts.Jobs.Listen(nil)
	group.Go(func() error { return s.loop(ctx) })
	group.Go(func() error { return s.runAutoscaling(ctx) })
	group.Go(func() error { return s.runSettling(ctx) })
	return group.Wait()
}

// spawn starts work that belongs to the scheduler and ends with it.
func (s *Scheduler) spawn(f func(ctx context.Context)) {
	s.group.Go(func() error {
		f(s.ctx)
		return nil
	})
}

// permitted reports whether the scheduler may act for its machines now.
func (s *Scheduler) permitted() bool {
	_, ok := s.opts.Authority.FencingToken()
	return ok
}
