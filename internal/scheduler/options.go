package scheduler

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"heronwick/internal/cluster"
	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/config"
	"heronwick/internal/duty"
	"heronwick/internal/job"
	"heronwick/internal/remote"
	"heronwick/internal/state"
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
	OwnerOf(machine string) (owner cluster.Owner, named bool)
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
	Listen(listener job.Listener)
	Active(id string) *job.Record
	AllActive() []*job.Record
	Ended(id string) bool
	Readiness(record *job.Record) job.Readiness
	Resolve(ctx context.Context, id string) (job.Resolution, error)
	ReadDone(ctx context.Context) ([]job.DoneBucket, error)
	Finish(ctx context.Context, record *job.Record, fence state.FencingCondition) error
	SetProgress(id string, progress job.Progress)
}

// Records reads the machines' records from the consensus-backed key-value store.
type Records interface {
	Get(ctx context.Context, priority state.Priority, key string) (wire.Item, error)
	List(ctx context.Context, priority state.Priority, prefix string) (state.Listing, error)
}

// Committer writes to the consensus-backed key-value store; several writes
// may be committed together. It returns the version of the commit.
type Committer interface {
	Commit(ctx context.Context, write state.Write) (uint64, error)
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
