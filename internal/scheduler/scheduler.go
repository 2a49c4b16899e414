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
	"heronwick/internal/quota"
	"heronwick/internal/remote"
	"heronwick/wire"
)

// Scheduler schedules one controller's part of the cluster: its jobs and its machines,
// including the Move To Front list of open machines. Its methods are safe for concurrent
// use.
type Scheduler struct {
	opts  Options
	log   *slog.Logger
	types map[string]*wire.MachineType // by name
	ctx   context.Context              // context of Run
	group *errgroup.Group              // runs the goroutines of Run and spawn
	wake  chan struct{}                // wakes the scheduling loop
	// epochChecked is false if the next pass must compare the scheduler's jobs and
	// machines with their owners in the current epoch. A change of the epoch, of a
	// machine's owner or of a job clears it. The time for the comparison grows with the
	// fleet, so it is not made in every pass.
	epochChecked atomic.Bool
	summary      atomic.Pointer[summary]

	// mu guards all fields below and the state that other packages keep for the
	// scheduler. No I/O is done while it is held.
	mu sync.Mutex

	// The epoch under which the scheduler acts, and what it has adopted under it.
	epoch                epochState
	loaded               bool                 // whether the records have been read
	rebuilding           bool                 // whether rebuild is running
	startVersion         uint64               // version of the epoch key when the records were first read
	adoptedToken         uint64               // fencing token under which machines without an owner were last adopted
	preAdoptionReplies   map[string]time.Time // by machine that is not adopted yet, when its worker was last sent a reply
	tokenSync            tokenSync
	incrementingToken    bool      // whether AdvanceEpoch is running
	incrementAttemptedAt time.Time // when AdvanceEpoch was last called
	leaderSince          time.Time // when this controller last became leader
	resignedAt           time.Time // when it last resigned as leader

	// Jobs and pending tasks.
	teams          *queue.Teams
	jobs           map[string]*queue.Job // this scheduler's own jobs
	hostedJobs     map[string]*queue.Job // jobs of other controllers that have tasks here or request room for them
	resolvingJobs  map[string]bool       // jobs whose state is being read from the store
	attemptNumbers fleet.AttemptNumbers
	lastSerial     uint64    // last number used in a name that must be unique under one token
	fullProgressAt time.Time // when Progress last began to return the progress of all jobs

	// Machines, the tasks that may be on them, and the placement of tasks.
	machines          map[string]*machine
	unknownTasksSince map[string]time.Time // by machine, when its worker first reported tasks of unknown jobs
	detector          *detector.Detector
	probeRate         *rate.Limiter
	packer            *packing.Packer
	victims           victimSummary
	fetchDeferred     bool // a job among those being served leaves room to jobs whose image is cached there

	// Records in the store.
	valueLimit  *checkpoint.ValueLimit
	checkpoints *checkpoint.Writer // which tasks may be on the machines
	completions *completion.Table  // which tasks are done

	// Attempts of this scheduler's jobs on other controllers' machines, and the reverse.
	remoteAttempts *remote.Attempts // attempts of this scheduler's jobs
	placeThrottle  remote.Throttle
	deniedAttempts remote.DeniedAttempts // attempts that must not be hosted here any more
	settleSpans    map[string]settleSpan // by owner, see recordSettleLocked

	// Machines that change owner, are rented or are returned.
	transfers    ownership.Transfers // changes of ownership that are not written yet
	inventory    *autoscale.Inventory
	planner      *autoscale.Planner // uses types and inventory
	idleReserve  int                // how many machines are kept idle rather than returned
	rebalancedAt time.Time          // when idle machines were last rebalanced
	shedAt       time.Time          // when idle machines were last handed over because this controller was overloaded
	overloadedAt time.Time          // when this controller was last short of processor time

	passes      passStats // passes since the load was last logged
	maintenance maintenance
}

// New returns a Scheduler with the given options. Run starts it.
func New(opts Options) *Scheduler {
	s := &Scheduler{
		opts: opts, log: opts.Log, types: map[string]*wire.MachineType{}, wake: make(chan struct{}, 1),
		preAdoptionReplies: map[string]time.Time{},
		teams:              &queue.Teams{Ledger: quota.NewLedger(opts.Settings.Teams, opts.Log)},
		jobs:               map[string]*queue.Job{},
		hostedJobs:         map[string]*queue.Job{},
		resolvingJobs:      map[string]bool{},
		machines:           map[string]*machine{},
		unknownTasksSince:  map[string]time.Time{},
		remoteAttempts:     remote.NewAttempts(),
		settleSpans:        map[string]settleSpan{},
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

// Run runs the scheduler until ctx is done, and returns the first error of its
// goroutines.
func (s *Scheduler) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	s.ctx, s.group = ctx, group
	s.opts.Jobs.SetListener(s)
	defer s.opts.Jobs.SetListener(nil)
	group.Go(func() error { return s.loop(ctx) })
	group.Go(func() error { return s.runAutoscaling(ctx) })
	group.Go(func() error { return s.runSettling(ctx) })
	return group.Wait()
}

// spawn runs f in a goroutine that Run waits for, with the context of Run.
func (s *Scheduler) spawn(f func(ctx context.Context)) {
	s.group.Go(func() error {
		f(s.ctx)
		return nil
	})
}

// permitted reports whether the scheduler may now act for its machines, that is, whether
// it has a valid fencing token.
func (s *Scheduler) permitted() bool {
	_, ok := s.opts.Authority.FencingToken()
	return ok
}
