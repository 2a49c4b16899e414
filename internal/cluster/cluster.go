package cluster

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"heronwick/wire"
)

// Keys of the store that this package owns.
const (
	prefix    = "cluster/"
	epochKey  = prefix + "epoch"
	leaderKey = prefix + "leader"
)

// Cluster is this controller's view of the deployment. It is safe for concurrent
// use.
type Cluster struct {
	opts                    Options
	incarnation             uint64 // of this controller, random
	startedAt               time.Time
	timeouts                timeouts
	confirmationTTL         time.Duration
	expiryFitsCancelTimeout bool          // a lease expiry after the confirmation TTL fits within CancelTimeout
	electionTrigger         chan struct{} // poked when the epoch or the leader key changes

	mu sync.Mutex

	// What the store holds, as far as known.
	revision      uint64 // up to which the watched keys are known
	epochLoaded   bool   // the epoch was read since this controller started
	epoch         Epoch
	version       uint64 // of the epoch key
	leader        leaderRecord
	leaderVersion uint64              // of the leader key; 0: there is no leader
	owners        map[string]Owner    // by machine
	transfers     map[string]transfer // by key
	features      features

	// This controller's part.
	lease            uint64    // of the leader key
	steppedDownAt    time.Time // when this leader asked the others to take over
	transfersWritten uint64
	stopMembership   context.CancelFunc // nil: no RunMembership runs
	membershipDone   chan struct{}      // closed when the current RunMembership has returned

	// The proof that the epoch is current.
	confirmedAt           time.Time // when the last confirmation, cancellations included, was requested
	cancellationsSyncedAt time.Time // when the store last showed all cancellations
	confirmationExpired   bool      // as last logged
	fence                 fence
	fenceRecords          []fenceRecord // by token, ascending

	// What the others say.
	peers        map[string]*peer
	workersHeard map[string]time.Time // by machine, see RecordWorkerHeartbeat
}

// New makes a Cluster; Run starts it.
func New(opts Options) *Cluster {
	ttl, fits := confirmationTTLFor(opts.LeaseDuration, opts.CancelTimeout)
	c := &Cluster{
		opts:                    opts,
		incarnation:             rand.Uint64(),
		startedAt:               time.Now(),
		timeouts:                newTimeouts(opts.TimeoutFactor),
		confirmationTTL:         ttl,
		expiryFitsCancelTimeout: fits,
		electionTrigger:         make(chan struct{}, 1),
		peers:                   map[string]*peer{},
		workersHeard:            map[string]time.Time{},
		owners:                  map[string]Owner{},
		transfers:               map[string]transfer{},
	}
	for node, client := range opts.Peers {
		c.peers[node] = &peer{node: node, client: client}
	}
	c.warnAboutSettings()
	return c
}

// warnAboutSettings logs settings under which the cluster works badly or not at
// all.
func (c *Cluster) warnAboutSettings() {
	if !c.expiryFitsCancelTimeout {
		c.opts.Log.Warn("cancel_s leaves too little time for a lease to expire: cancellations are confirmed only once every controller knows them",
			"lease", c.opts.LeaseDuration, "cancel_in", c.opts.CancelTimeout, "needed", c.opts.LeaseDuration+leaseExpirySlack(c.opts.LeaseDuration)+minConfirmationTTL)
	}
	nodes := []string{c.opts.Node}
	for node := range c.opts.Peers {
		nodes = append(nodes, node)
	}
	if size := maxEpochBytes(nodes, c.opts.Teams); c.opts.MaxValueBytes > 0 && size > c.opts.MaxValueBytes {
		c.opts.Log.Warn("the epoch does not fit a value of the key-value store: no leader can be elected. Fewer teams, shorter names or larger values are needed",
			"bytes", size, "limit", c.opts.MaxValueBytes, "teams", len(c.opts.Teams))
	}
}

// Run takes part in the cluster until ctx ends.
func (c *Cluster) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.watch(ctx) })
	g.Go(func() error { return c.runElection(ctx) })
	g.Go(func() error { return c.runTransferCleanup(ctx) })
	for _, p := range c.peers {
		g.Go(func() error { return c.runHeartbeats(ctx, p) })
	}
	return g.Wait()
}

// View is the current epoch and this controller's part in it, as of one moment.
type View struct {
	Epoch     Epoch          // its maps must not be changed
	Condition wire.Condition // holds while Epoch is current; fences what is decided under it
	Leader    bool           // this controller leads the epoch
	Member    bool           // this controller is a member of the epoch
}

// View returns the current epoch and this controller's part in it.
func (c *Cluster) View() View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return View{Epoch: c.epoch, Condition: c.epochConditionLocked(), Leader: c.isLeaderLocked(), Member: c.isMemberLocked()}
}

// Token returns the fencing token under which this controller commands workers.
func (c *Cluster) Token() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch.Token
}

// epochConditionLocked holds while the epoch is the one that is known here.
func (c *Cluster) epochConditionLocked() wire.Condition {
	return wire.Condition{Key: epochKey, Version: c.version}
}

func (c *Cluster) isMemberLocked() bool {
	return c.epochLoaded && c.epoch.Members[c.opts.Node].Incarnation == c.incarnation
}

func (c *Cluster) isLeaderLocked() bool {
	return c.epochLoaded && c.epoch.Leader == c.opts.Node && c.epoch.Incarnation == c.incarnation
}

// HeartbeatTarget returns the node to which a worker should send its heartbeats:
// the owner of its machine, else the leader, or "" if that one is not known to be
// alive. owned reports whether the machine has an owner that is a member.
func (c *Cluster) HeartbeatTarget(machine string) (node string, owned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.epochLoaded {
		return "", false
	}
	if o, ok := c.owners[machine]; ok && c.ownerIsMemberLocked(o) {
		return o.Node, true
	}
	if c.leaderVersion == 0 || c.leader.Node != c.epoch.Leader || c.leader.Incarnation != c.epoch.Incarnation {
		return "", false
	}
	return c.epoch.Leader, false
}

// triggerElectionRound has the election look at what changed at once.
func (c *Cluster) triggerElectionRound() {
	select {
	case c.electionTrigger <- struct{}{}:
	default:
	}
}
