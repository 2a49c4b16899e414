package cluster

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"heronwick/wire"
)

// Keys of this package in the key-value store.
const (
	prefix    = "cluster/"
	epochKey  = prefix + "epoch"
	leaderKey = prefix + "leader"
)

// Cluster is one controller's participation in the cluster: it tracks the epoch,
// the members and the owners of machines. It is safe for concurrent use.
type Cluster struct {
	opts                    Options
	incarnation             uint64 // random identifier of this run of the controller
	startedAt               time.Time
	timeouts                timeouts
	confirmationTTL         time.Duration
	expiryFitsCancelTimeout bool          // confirmation TTL and worker lease together fit within CancelTimeout
	electionTrigger         chan struct{} // requests an election round at once; buffered, so that requests coalesce

	mu sync.Mutex

	// Last known contents of the store.
	revision      uint64 // of the store, up to which changes have been applied
	epochLoaded   bool   // the epoch has been read since this controller started
	epoch         Epoch
	version       uint64 // of the epoch key
	leader        leaderRecord
	leaderVersion uint64              // of the leader key; 0 means that there is no leader
	owners        map[string]Owner    // by machine
	transfers     map[string]transfer // by key
	features      features

	// State of this controller as leader and member.
	lease            uint64             // ID of the lease of the leader key
	steppedDownAt    time.Time          // when this controller last gave up the leader key
	transfersWritten uint64             // number of the last transfer key, see NewTransfer
	stopMembership   context.CancelFunc // stops RunMembership; nil if it is not running
	membershipDone   chan struct{}      // closed when the current RunMembership has returned

	// Evidence that the epoch is current.
	confirmedAt           time.Time // when the last request was sent that confirmed the epoch together with all cancellations
	cancellationsSyncedAt time.Time // when the last list was requested after which all cancellations were known
	confirmationExpired   bool      // whether the last logged state was expired
	fence                 fence
	fenceRecords          []fenceRecord // in ascending order of token

	// Information received from peers and workers.
	peers        map[string]*peer
	workersHeard map[string]time.Time // by machine, time of the last heartbeat, see RecordWorkerHeartbeat
}

// New returns a Cluster that does nothing until Run is called.
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

// warnAboutSettings logs a warning for settings with which the cluster cannot work
// as intended.
func (c *Cluster) warnAboutSettings() {
	if !c.expiryFitsCancelTimeout {
		c.opts.Log.Warn("cancel_s leaves too little time for a worker lease to expire: cancellations are confirmed only after every controller has acknowledged them",
			"lease", c.opts.LeaseDuration, "cancel_timeout", c.opts.CancelTimeout, "needed", c.opts.LeaseDuration+leaseExpirySlack(c.opts.LeaseDuration)+minConfirmationTTL)
	}
	nodes := []string{c.opts.Node}
	for node := range c.opts.Peers {
		nodes = append(nodes, node)
	}
	if size := maxEpochBytes(nodes, c.opts.Teams); c.opts.MaxValueBytes > 0 && size > c.opts.MaxValueBytes {
		c.opts.Log.Warn("the epoch does not fit a value of the key-value store: no leader can be elected; configure fewer teams, shorter names or a larger value limit",
			"bytes", size, "limit", c.opts.MaxValueBytes, "teams", len(c.opts.Teams))
	}
}

// Run participates in elections, replication and membership until ctx ends.
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

// View is a consistent snapshot of the current epoch and this controller's role in
// it.
type View struct {
	Epoch     Epoch          // callers must not modify its maps
	Condition wire.Condition // true while Epoch is current; fences writes that depend on it
	Leader    bool           // this controller is the leader of the epoch
	Member    bool           // this controller is a member of the epoch
}

// View returns the current epoch and this controller's role in it.
func (c *Cluster) View() View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return View{Epoch: c.epoch, Condition: c.epochConditionLocked(), Leader: c.isLeaderLocked(), Member: c.isMemberLocked()}
}

// Token returns the fencing token of the last known epoch, with which this
// controller commands workers.
func (c *Cluster) Token() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch.Token
}

// epochConditionLocked returns the condition that the epoch in the store is still
// the one that this controller knows.
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
// the owner of its machine if that is a member, otherwise the leader, or "" if no
// leader is known to hold the leader key. owned reports whether the machine has an
// owner that is a member.
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

// triggerElectionRound makes runElection start a round at once instead of at its
// next tick. It does not block.
func (c *Cluster) triggerElectionRound() {
	select {
	case c.electionTrigger <- struct{}{}:
	default:
	}
}
