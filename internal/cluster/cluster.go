// Package cluster keeps the controllers' membership, elects their leader and
// holds the epoch: who is entitled to command workers, under which token.
//
// One unleased key holds the epoch: its token, the leader, the members, and
// which member owns each team. Each change of it is a compare-and-set
// that raises the token; workers drop whatever bears a lower token, so tokens
// are what fences an old leader. The leader's leased key only decides when
// another may try.
package cluster

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/state"
	"heronwick/wire"
)

// Keys of the state service that this package owns.
const (
	prefix    = "cluster/"
	epochKey  = prefix + "epoch"
	leaderKey = prefix + "leader"
)

const (
	heartbeatInterval = time.Second
	watchFor          = 4 * time.Second // a refused controller's open watch stays silent: look elsewhere soon
	// exclusionPeriod keeps out a member that could not reach its workers.
	exclusionPeriod = 15 * time.Second
)

// timeouts are how long this controller waits for the others. One that is short of
// processor time falls silent for seconds when work comes at once; were it taken
// for dead, taking over from it would be the next such work, and so on.
type timeouts struct {
	// leaderTTL is how long a silent leader keeps the others waiting. Renewing
	// four times within it rides out a lost request.
	leaderTTL        time.Duration
	heartbeatTimeout time.Duration
	peerSilence      time.Duration // a peer counts as heard from
	deadAfter        time.Duration // when a member that does not answer is removed
}

func newTimeouts(slowness float64) timeouts {
	times := func(d time.Duration) time.Duration { return time.Duration(float64(d) * max(1, slowness)) }
	return timeouts{leaderTTL: times(3 * time.Second), heartbeatTimeout: times(time.Second),
		peerSilence: times(3 * heartbeatInterval), deadAfter: times(2500 * time.Millisecond)}
}

// Options are what a Cluster needs.
type Options struct {
	Node   string
	Client *state.Client
	// Teams are all that are configured, and MaxValue is how many bytes a value of
	// the state service may have, zero if that is not known.
	Teams    []string
	MaxValue int
	Route    *state.FailoverTransport
	Peers    map[string]PeerClient
	// LeaseFor is the workers' lease; the confirmation TTL for answering their heartbeats
	// without a fresh confirmation of the epoch is at most a quarter of it.
	LeaseFor time.Duration
	// CancelIn is by when a cancelled job's tasks must be gone.
	CancelIn      time.Duration
	Cancellations Cancellations
	// Slowness is how many times longer than usual the controllers may be busy.
	Slowness float64
	// RunMembership runs while this controller is a member; its context ends when it
	// no longer is.
	RunMembership func(ctx context.Context, membership *Membership) error
	// Status fills in what the peers are told of this controller's scheduler.
	Status func(*peerpb.Status)
	// Changed is called, in no lock, when the epoch or an owner has changed.
	Changed func()
	// Weights tells how much work each team has.
	Weights func() map[string]float64
	// Progress is told to the peers, for display, and taken from the leader.
	Progress   func() []*peerpb.Progress
	OnProgress func([]*peerpb.Progress)
	// WatchHandler follows the keys below the watched prefix that are not this package's
	// own; nil: nobody does. It is called under a lock, in the order of the store.
	WatchHandler WatchHandler
	// Cleanup returns the conditions under which records may be removed, or an error
	// if this controller has no right to; nil: there are none besides the epoch.
	Cleanup func() ([]wire.Condition, error)
	Log     *slog.Logger
}

// WatchHandler mirrors the keys that the watch brings: Replace with a full
// list as of a revision, Apply with the events after it.
type WatchHandler interface {
	Replace(items []wire.Item, revision uint64)
	Apply(events []wire.Event, revision uint64)
}

// Cluster is this controller's view of the deployment.
type Cluster struct {
	opts             Options
	incarnation      uint64
	begun            time.Time
	timeouts         timeouts
	confirmationTTL  time.Duration
	expiryFitsCancel bool          // a lease expiry after the confirmation TTL fits within CancelIn
	changed          chan struct{} // poked when the epoch or the leader key changes

	mu             sync.Mutex
	epoch          Epoch
	version        uint64 // of the epoch key
	known          bool   // the epoch was read in this incarnation
	leaderVersion  uint64 // of the leader key; 0: nobody holds it
	leader         leaderRecord
	revision       uint64
	lease          uint64
	steppedDown    time.Time // when this leader asked the others to take over
	unconfirmed    bool      // a member whose confirmation TTL ran out, as logged
	confirmed      time.Time // when the last proof that the epoch is current was asked for, cancellations included
	caughtUp       time.Time // when the store last showed all cancellations
	peers          map[string]*peer
	fence          fence
	fenceRecords   []fenceRecord
	owners         map[string]Owner    // by machine
	transfers      map[string]transfer // by key
	written        uint64              // transfers written
	features       features
	workersHeard   map[string]time.Time
	stopMembership context.CancelFunc
	membershipDone chan struct{} // closed when the current RunMembership has returned
}

// New makes a Cluster; Run starts it.
func New(opts Options) *Cluster {
	c := &Cluster{
		opts:         opts,
		incarnation:  rand.Uint64(),
		begun:        time.Now(),
		timeouts:     newTimeouts(opts.Slowness),
		changed:      make(chan struct{}, 1),
		peers:        map[string]*peer{},
		workersHeard: map[string]time.Time{},
		owners:       map[string]Owner{},
		transfers:    map[string]transfer{},
	}
	if c.confirmationTTL, c.expiryFitsCancel = confirmationTTLFor(opts.LeaseFor, opts.CancelIn); !c.expiryFitsCancel {
		opts.Log.Warn("cancel_s leaves too little time for a lease to lapse: cancellations are confirmed only once every controller knows them",
			"lease", opts.LeaseFor, "cancel_in", opts.CancelIn, "needed", opts.LeaseFor+leaseExpirySlack(opts.LeaseFor)+minConfirmationTTL)
	}
	nodes := []string{opts.Node}
	for node, client := range opts.Peers {
		c.peers[node] = &peer{node: node, client: client}
		nodes = append(nodes, node)
	}
	if size := largestEpoch(nodes, opts.Teams); opts.MaxValue > 0 && size > opts.MaxValue {
		opts.Log.Warn("the epoch does not fit a value of the state service: no leader can be elected. Fewer teams, shorter names or larger values are needed",
			"bytes", size, "limit", opts.MaxValue, "teams", len(opts.Teams))
	}
	return c
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

// CurrentEpoch returns the epoch, and the condition that fences what is decided
// under it.
func (c *Cluster) CurrentEpoch() (Epoch, wire.Condition) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch, wire.Condition{Key: epochKey, Version: c.version}
}

// Current returns the epoch and whether this controller leads it and is a
// member of it. The epoch's maps must not be changed.
func (c *Cluster) Current() (epoch Epoch, leading, member bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch, c.leadsLocked(), c.memberLocked()
}

// View returns the epoch, the condition that fences what is decided under it, and
// whether this controller leads it and is a member, all as of one moment.
func (c *Cluster) View() (epoch Epoch, condition wire.Condition, leading, member bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch, wire.Condition{Key: epochKey, Version: c.version}, c.leadsLocked(), c.memberLocked()
}

// Token returns the token under which this controller commands.
func (c *Cluster) Token() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch.Token
}

func (c *Cluster) memberLocked() bool {
	return c.known && c.epoch.Members[c.opts.Node].Incarnation == c.incarnation
}

// HeartbeatTarget returns the node to which a worker should report: its machine's owner,
// else the leader, or "" if that one is not known to be alive. owned tells
// whether its machine has an owner that is a member.
func (c *Cluster) HeartbeatTarget(machine string) (node string, owned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return "", false
	}
	if o, ok := c.owners[machine]; ok && c.validLocked(o) {
		return o.Node, true
	}
	if c.leaderVersion == 0 || c.leader.Node != c.epoch.Leader || c.leader.Incarnation != c.epoch.Incarnation {
		return "", false
	}
	return c.epoch.Leader, false
}

func (c *Cluster) poke() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}
