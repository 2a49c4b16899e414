package cluster

import (
	"context"
	"log/slog"
	"time"

	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/state"
	"heronwick/wire"
)

// Options are the settings and dependencies of a Cluster.
type Options struct {
	Node      string // this controller's name
	Client    *state.Client
	Transport *state.FailoverTransport
	Peers     map[string]PeerClient // the other controllers, by node
	Log       *slog.Logger

	// Teams are all configured teams.
	Teams []string
	// MaxValueBytes is how many bytes a value of the store may have; 0: unknown.
	MaxValueBytes int
	// LeaseDuration is the workers' lease. The confirmation TTL, for which heartbeats
	// are answered without a new confirmation of the epoch, is at most a quarter
	// of it.
	LeaseDuration time.Duration
	// CancelTimeout is the time from the cancellation of a job until its tasks must be
	// gone.
	CancelTimeout time.Duration
	// TimeoutFactor is how many times longer than usual the controllers may be busy.
	TimeoutFactor float64

	Cancellations Cancellations
	// RunMembership runs the scheduler of a membership. Its context ends with
	// that membership.
	RunMembership func(ctx context.Context, membership *Membership) error
	// FillStatus fills in the scheduler's part of the status that peers are sent.
	FillStatus func(*peerpb.Status)
	// OnChange is called, without any lock, when the epoch or an owner changed.
	OnChange func()
	// TeamWeights returns how much work each team has.
	TeamWeights func() map[string]float64
	// Progress returns what to send the peers of the jobs' progress, and
	// OnProgress takes what the leader sent; both are optional, for display only.
	Progress   func() []*peerpb.Progress
	OnProgress func([]*peerpb.Progress)
	// WatchHandler follows the keys below the watched prefix that are not this
	// package's own; optional. It is called under a lock, in the store's order.
	WatchHandler WatchHandler
	// CleanupConditions returns the conditions under which records may be removed, or an
	// error if this controller may not remove any; nil: there are none besides
	// the epoch.
	CleanupConditions func() ([]wire.Condition, error)
}

// WatchHandler mirrors the keys that the watch brings: Replace with a full list
// as of a revision, Apply with the events after it.
type WatchHandler interface {
	Replace(items []wire.Item, revision uint64)
	Apply(events []wire.Event, revision uint64)
}

const (
	heartbeatInterval = time.Second
	// Base values of timeouts, for controllers of usual speed.
	baseLeaderTTL        = 3 * time.Second
	baseHeartbeatTimeout = time.Second
	baseRemovalTimeout   = 2500 * time.Millisecond
	// maxMissedHeartbeats is how many heartbeats in a row a live peer may miss.
	maxMissedHeartbeats = 3
)

// timeouts are how long this controller waits for the others. One that is short
// of processor time falls silent for seconds when work comes at once; were it
// taken for dead, taking over from it would be the next such work, and so on.
type timeouts struct {
	leaderTTL        time.Duration // of the leader's lease, renewed four times within it to survive a lost request
	heartbeatTimeout time.Duration // of one heartbeat to a peer
	livenessTimeout  time.Duration // after which a peer does not count as heard from
	removalTimeout   time.Duration // of silence, after which a member is removed
}

func newTimeouts(slowness float64) timeouts {
	scale := func(d time.Duration) time.Duration { return time.Duration(float64(d) * max(1, slowness)) }
	return timeouts{
		leaderTTL:        scale(baseLeaderTTL),
		heartbeatTimeout: scale(baseHeartbeatTimeout),
		livenessTimeout:  scale(maxMissedHeartbeats * heartbeatInterval),
		removalTimeout:   scale(baseRemovalTimeout),
	}
}
