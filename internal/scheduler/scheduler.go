package scheduler

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"heronwick/internal/autoscale"
	"heronwick/internal/checkpoint"
	"heronwick/internal/cluster"
	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/completion"
	"heronwick/internal/config"
	"heronwick/internal/detector"
	"heronwick/internal/duty"
	"heronwick/internal/fleet"
	"heronwick/internal/job"
	"heronwick/internal/ownership"
	"heronwick/internal/packing"
	"heronwick/internal/queue"
	"heronwick/internal/remote"
	"heronwick/internal/state"
	"heronwick/internal/wait"
	"heronwick/wire"
)

// Authority is the scheduler's view of the cluster: the epoch under which it
// acts as leader or follower, the fencing token it writes under, which
// machines it owns, and what is proven about other controllers.
type Authority interface {
	View() cluster.View
	Token() uint64
	// FencingToken tells whether the scheduler may answer and command workers now,
	// and under which fencing token.
	FencingToken() (token uint64, ok bool)
	FencedSince(token uint64) (time.Time, bool)
	AdvanceEpoch(ctx context.Context) error
	Ownership() cluster.Ownership
	HeartbeatTarget(machine string) (node string, owned bool)
	HostOf(epoch *cluster.Epoch, machine string) string
	OwnerOf(machine string) (o cluster.Owner, named bool)
	Fresh() bool
	NewTransfer(node string, machines map[string]json.RawMessage) (write cluster.TransferWrite, ok bool)
	NoteOwner(change wire.Change, version uint64)
	PeerCapacity() cluster.PeerCapacity
	IdleMachines(node string) int
	PeerLoads() map[string]cluster.PeerLoad
	UnplacedWants() []*peerpb.Want
}

// Workers sends commands and status requests straight to workers, by address.
type Workers interface {
	Command(ctx context.Context, address string, req *wire.CommandRequest) (*wire.Heartbeat, error)
	Status(ctx context.Context, address string) (*wire.Heartbeat, error)
}

// Cloud tells which machines there are. What changes that goes through duty.Actions.
type Cloud interface {
	List(ctx context.Context) ([]wire.Machine, error)
}

// Peers are the schedulers of the other controllers, by node name.
type Peers interface {
	Place(ctx context.Context, node string, req *peerpb.PlaceRequest) (*peerpb.PlaceReply, error)
	Settle(ctx context.Context, node string, req *peerpb.SettleRequest) (*peerpb.SettleReply, error)
}

// Jobs holds the jobs' records and tells the scheduler of new and ended jobs.
type Jobs interface {
	Listen(l job.Listener)
	Active(id string) *job.Record
	AllActive() []*job.Record
	Ended(id string) bool
	Readiness(r *job.Record) job.Readiness
	Resolve(ctx context.Context, id string) (job.Resolution, error)
	ReadDone(ctx context.Context) ([]job.DoneBucket, error)
	Finish(ctx context.Context, r *job.Record, fence state.FencingCondition) error
	SetProgress(id string, p job.Progress)
}

// Records reads the machines' records from the consensus-backed key-value store.
type Records interface {
	Get(ctx context.Context, p state.Priority, key string) (wire.Item, error)
	List(ctx context.Context, p state.Priority, prefix string) (state.Listing, error)
}

// Committer writes to the consensus-backed key-value store; several writes
// may be committed together. It returns the version of the commit.
type Committer interface {
	Commit(ctx context.Context, w state.Write) (uint64, error)
}

// Options configure a Scheduler.
type Options struct {
	Node          string
	Settings      *config.Settings
	Authority     Authority
	Workers       Workers
	Cloud         Cloud
	Actions       *duty.Actions
	Peers         Peers
	PlaceRequests *remote.RequestHistory // that have come from peers
	Jobs          Jobs
	Records       Records
	Committer     Committer
	Types         []wire.MachineType
	Resign        func(ctx context.Context) // gives up leading
	Elsewhere     func() int                // workers that lately came to a peer instead
	Latency       func() time.Duration      // how long goroutines lately waited for the processor; nil: not measured
	Log           *slog.Logger
}

// machine is a machine that the scheduler owns, with its decisions about it.
type machine struct {
	detector.Worker
	record          checkpoint.Machine // what is recorded of it
	commandPending  bool               // a direct command is under way
	commandAgain    bool
	returning       bool
	returnIntent    bool      // an owner before has recorded that it is to be returned
	quarantined     bool      // fails what it starts: no new placements
	returnNotBefore time.Time // not before then, since the last try was refused
	failedJobs      map[string]bool
	idleSince       time.Time
	placeNotBefore  time.Time        // no placements before then
	packing         *packing.Machine // what is known of its room

	syncToken  uint64 // heartbeats under older tokens do not settle its record
	fenceToken uint64 // nobody else answers its worker once epochs before this are fenced; 0: nobody does
}

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
	takeover          takeover
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
	s.detector = detector.New(detector.Settings{HeartbeatInterval: opts.Settings.ReportEvery, LeaseDuration: opts.Settings.LeaseFor,
		CommandTimeout: commandTimeout, Latency: opts.Latency})
	s.completions = completion.NewTable(completionScheduler{s}, opts.Settings, s.log)
	s.takeover.rate, s.probeRate = tokenRequestRate(opts.Settings.CoreShare), probeRate(opts.Settings.CoreShare)
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

// goDo starts work that belongs to the scheduler and ends with it.
func (s *Scheduler) goDo(f func(ctx context.Context)) {
	s.group.Go(func() error {
		f(s.ctx)
		return nil
	})
}

func (s *Scheduler) addMachineLocked(fm *fleet.Machine, now time.Time) *machine {
	m := &machine{Worker: detector.NewWorker(fm, now), record: checkpoint.Machine{Machine: fm}, failedJobs: map[string]bool{}, idleSince: now}
	m.packing = packing.NewMachine(fm, func(now time.Time) bool { return s.acceptsLocked(m, now) })
	m.Type = s.types[m.TypeName]
	m.syncToken, m.fenceToken = s.epoch.Token, s.epoch.Token
	m.returnIntent = s.opts.Actions.HasReturnIntent(m.Name)
	s.machines[m.Name] = m
	s.inventory.Joined(m.Name)
	delete(s.answeredUnadopted, m.Name)
	return m
}

// logLoadEvery is how often the scheduler logs how full it is.
const logLoadEvery = 10 * time.Second

// tickEvery is how often the scheduler looks after what nobody tells it of.
const tickEvery = 200 * time.Millisecond

// loop schedules whenever something has changed, and looks after the machines
// at regular times.
func (s *Scheduler) loop(ctx context.Context) error {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		case now := <-tick.C:
			s.tick(now)
		}
		took := s.schedule()
		if !wait.Sleep(ctx, max(passEvery, 2*took)) {
			return nil
		}
	}
}

// upkeep is when the rarer parts of a tick were last done. Only the loop uses it.
type upkeep struct {
	logged, tidied, summarized, closed time.Time
}

// tick looks after machines, records and what others are told.
func (s *Scheduler) tick(now time.Time) {
	s.epochChecked.Store(false) // in case that a change went unnoticed
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rebalanceIdleLocked(now)
	s.shedIdleMachinesLocked(now)
	s.watchMachinesLocked(now)
	if now.Sub(s.upkeep.summarized) >= summarizeEvery {
		s.upkeep.summarized = now
		s.summarizeLocked(now)
	}
	s.flushLocked(now)
	s.announceReleasesLocked()
	if now.Sub(s.upkeep.closed) > closeReturnsEvery {
		s.upkeep.closed = now
		s.closeReturnsLocked()
	}
	if now.Sub(s.upkeep.tidied) > tidyEvery {
		s.upkeep.tidied = now
		s.tidyLocked(now)
	}
	if now.Sub(s.upkeep.logged) > logLoadEvery {
		s.upkeep.logged = now
		s.logLoadLocked(now)
	}
}

// schedule places what waits, and returns how long that took.
func (s *Scheduler) schedule() (took time.Duration) {
	began := time.Now()
	s.mu.Lock()
	locked := time.Now()
	if !s.epochChecked.Swap(true) {
		s.followEpochLocked()
	}
	s.scheduleLocked(time.Now())
	s.commitLocked()
	s.placeRemotelyLocked(time.Now())
	s.detector.NoteDelay(max(locked.Sub(began), time.Since(locked)), time.Now())
	s.mu.Unlock()
	took = time.Since(began)
	s.passes.add(took)
	return took
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
// each heartbeat would take more than this controller's part of a processor.
const passEvery = 10 * time.Millisecond

// EpochChanged tells the scheduler that the epoch or a machine's owner has changed.
func (s *Scheduler) EpochChanged() { s.recheckEpoch() }

// recheckEpoch has the next pass look at who owns what.
func (s *Scheduler) recheckEpoch() {
	s.epochChecked.Store(false)
	s.poke()
}

func (s *Scheduler) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// permitted tells whether the scheduler may act for its machines now.
func (s *Scheduler) permitted() bool {
	_, ok := s.opts.Authority.FencingToken()
	return ok
}
