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
	types map[string]*wire.MachineType
	teams *queue.Teams
	wake  chan struct{}
	// epochChecked is cleared when the epoch, an owner or a job may change the
	// shard assignment: looking for that takes as long as the fleet is large.
	epochChecked atomic.Bool
	summary      atomic.Pointer[summary]
	ctx          context.Context
	group        *errgroup.Group

	mu                sync.Mutex
	epoch             epochState
	loaded            bool
	adoptedToken      uint64 // under this epoch, machines without an owner have been taken
	rebuilding        bool
	startVersion      uint64                // version of the epoch when the scheduler began
	answeredUnadopted map[string]time.Time  // heartbeats answered before the records were read
	unknownTasksSince map[string]time.Time  // since when machines have had tasks of unknown jobs
	jobs              map[string]*queue.Job // the scheduler's own
	hostedJobs        map[string]*queue.Job // jobs of other controllers that have, or want, tasks here
	remoteAttempts    *remote.Attempts      // tasks of own jobs that may be on others' machines
	placeThrottle     remote.Throttle
	deniedAttempts    remote.DeniedAttempts // hosted here never more
	machines          map[string]*machine
	valueLimit        *checkpoint.ValueLimit
	checkpoints       *checkpoint.Writer  // records what may be on the machines
	transfers         ownership.Transfers // changes of owner that are not written yet
	tokenSync         tokenSync
	probeRate         *rate.Limiter
	detector          *detector.Detector
	packer            *packing.Packer
	victims           victimSummary
	fetchDeferred     bool // a job of the turn that is being served leaves room to others
	attemptNumbers    fleet.AttemptNumbers
	inventory         *autoscale.Inventory
	planner           *autoscale.Planner // shares types and inventory
	lastSerial        uint64             // numbers what must never be named alike under one token
	raisingToken      bool
	raiseAttemptedAt  time.Time
	resolvingJobs     map[string]bool // jobs being looked up
	idleReserve       int             // how many machines may stay idle
	leaderSince       time.Time       // when this controller last began to lead
	resignedAt        time.Time
	rebalancedAt      time.Time // when idle machines were last rebalanced
	shedAt            time.Time // when some were last given away for want of processor time
	overloadedAt      time.Time // when this controller was last short of processor time
	allProgressAt     time.Time // when the progress of all jobs was last reported
	passes            passTimes // since the load was last logged
	upkeep            upkeep

	// completions are the buckets of done tasks in the store.
	completions *completion.Table
}

// New returns a Scheduler for opts; Run starts it.
func New(opts Options) *Scheduler {
	s := &Scheduler{
		opts: opts, log: opts.Log,
		types: map[string]*wire.MachineType{}, teams: queue.NewTeams(opts.Settings.Teams),
		wake:              make(chan struct{}, 1),
		answeredUnadopted: map[string]time.Time{}, unknownTasksSince: map[string]time.Time{}, jobs: map[string]*queue.Job{}, machines: map[string]*machine{},
		inventory: autoscale.NewInventory(), resolvingJobs: map[string]bool{},
		hostedJobs: map[string]*queue.Job{}, remoteAttempts: remote.NewAttempts(),
	}
	s.valueLimit = checkpoint.NewValueLimit(opts.Settings, opts.Log)
	s.packer = packing.New(packingFleet{s})
	s.planner = &autoscale.Planner{Types: s.types, Inventory: s.inventory}
	s.checkpoints = s.newCheckpointWriter()
	s.detector = detector.New(detector.Settings{HeartbeatInterval: opts.Settings.HeartbeatInterval, LeaseDuration: opts.Settings.LeaseDuration,
		CommandTimeout: commandTimeout, Latency: opts.Latency})
	s.completions = completion.NewTable(completionScheduler{recordWriter{s}}, opts.Settings, s.log)
	s.tokenSync.rate, s.probeRate = tokenRequestRate(opts.Settings.CoreShare), probeRate(opts.Settings.CoreShare)
	for i := range opts.Types {
		s.types[opts.Types[i].Name] = &opts.Types[i]
	}
	return s
}

// Run runs the scheduler until ctx ends, and returns the first error of its
// goroutines.
func (s *Scheduler) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	s.ctx, s.group = ctx, g
	s.opts.Jobs.Listen(s)
	defer s.opts.Jobs.Listen(nil)
	g.Go(func() error { return s.loop(ctx) })
	g.Go(func() error { return s.runCloud(ctx) })
	g.Go(func() error { return s.runRemote(ctx) })
	return g.Wait()
}

// spawn starts work that belongs to the scheduler and ends with it.
func (s *Scheduler) spawn(f func(ctx context.Context)) {
	s.group.Go(func() error {
		f(s.ctx)
		return nil
	})
}

// permitted tells whether the scheduler may act for its machines now.
func (s *Scheduler) permitted() bool {
	_, ok := s.opts.Authority.FencingToken()
	return ok
}
