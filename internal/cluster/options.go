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
	Node      string // name of this controller
	Client    *state.Client
	Transport *state.FailoverTransport
	Peers     map[string]PeerClient // connections to the other controllers, by node
	Log       *slog.Logger

	// Teams are the names of all configured teams.
	Teams []string
	// MaxValueBytes is the maximum size of a value in the store; 0 means unknown.
	MaxValueBytes int
	// LeaseDuration is the duration of a worker's lease. The confirmation TTL, which
	// is how long heartbeats are answered without a new confirmation of the epoch,
	// is at most a quarter of it.
	LeaseDuration time.Duration
	// CancelTimeout is the time after the cancellation of a job within which all its
	// tasks must have stopped.
	CancelTimeout time.Duration
	// TimeoutFactor multiplies the timeouts for other controllers, because they respond
	// more slowly if they have less processor time than usual. Values below 1 count
	// as 1.
	TimeoutFactor float64

	Cancellations Cancellations
	// RunMembership runs the scheduler during a membership. Its context is cancelled
	// when the membership ends.
	RunMembership func(ctx context.Context, membership *Membership) error
	// FillStatus sets the scheduler's fields of the status that is sent to peers.
	FillStatus func(*peerpb.Status)
	// OnChange is called after the epoch or the owner of a machine may have changed.
	// No lock is held during the call.
	OnChange func()
	// TeamWeights returns the amount of work of each team.
	TeamWeights func() map[string]float64
	// Progress returns the progress of jobs to send to the peers, and OnProgress
	// receives the progress that the leader has sent. Both are optional, and the
	// values are only displayed.
	Progress   func() []*peerpb.Progress
	OnProgress func([]*peerpb.Progress)
	// WatchHandler receives all items and events under the watched prefix, including
	// keys that this package does not use. It is optional. It is called in the order
	// of the store's revisions, with the lock of the Cluster held.
	WatchHandler WatchHandler
	// CleanupConditions returns the conditions, in addition to the epoch, under which
	// records may be removed, or an error if this controller may not remove any. If
	// the function is nil, there are no additional conditions.
	CleanupConditions func() ([]wire.Condition, error)
}

// WatchHandler maintains a copy of the watched keys. Replace receives a full list as
// of a revision, Apply the events after the last known revision up to a new one.
type WatchHandler interface {
	Replace(items []wire.Item, revision uint64)
	Apply(events []wire.Event, revision uint64)
}

const (
	heartbeatInterval = time.Second
	// Timeouts for a TimeoutFactor of 1.
	baseLeaderTTL        = 3 * time.Second
	baseHeartbeatTimeout = time.Second
	baseRemovalTimeout   = 2500 * time.Millisecond
	// maxMissedHeartbeats is the number of consecutive heartbeats that a peer may miss
	// and still count as live.
	maxMissedHeartbeats = 3
)

// timeouts are the timeouts for other controllers. A controller that is short of
// processor time may not respond for seconds during a burst of work. If the others
// took it for failed, taking over its machines would be another burst of work for
// them, and so the failure would cascade.
type timeouts struct {
	leaderTTL        time.Duration // of the leader lease, which is renewed four times within it so that one lost request does no harm
	heartbeatTimeout time.Duration // for the response to one heartbeat to a peer
	livenessTimeout  time.Duration // without heartbeats, after which a peer no longer counts as live
	removalTimeout   time.Duration // without heartbeats, after which a member is removed
}

func newTimeouts(timeoutFactor float64) timeouts {
	scale := func(d time.Duration) time.Duration { return time.Duration(float64(d) * max(1, timeoutFactor)) }
	return timeouts{
		leaderTTL:        scale(baseLeaderTTL),
		heartbeatTimeout: scale(baseHeartbeatTimeout),
		livenessTimeout:  scale(maxMissedHeartbeats * heartbeatInterval),
		removalTimeout:   scale(baseRemovalTimeout),
	}
}
