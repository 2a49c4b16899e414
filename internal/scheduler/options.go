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

// Authority is the scheduler's view of the cluster: the epoch under which it acts as
// leader or follower, the fencing token of its writes and commands, the machines that it
// owns, and what is proven about other controllers.
type Authority interface {
	// View returns the current epoch, the condition that fences writes decided under it,
	// and this controller's role in it.
	View() cluster.View
	// Token returns the fencing token that commands to workers carry.
	Token() uint64
	// FencingToken returns the fencing token for replies and commands to workers; ok is
	// false if the scheduler may not send any now.
	FencingToken() (token uint64, ok bool)
	// FencedSince returns a time after which no controller has replied to a worker under
	// an epoch older than token; ok is false if that is not proven.
	FencedSince(token uint64) (since time.Time, ok bool)
	// AdvanceEpoch increments the fencing token and changes nothing else.
	AdvanceEpoch(ctx context.Context) error

	// Ownership returns the machines that this controller owns and those whose owner is
	// not a member.
	Ownership() cluster.Ownership
	// HeartbeatTarget returns the controller to which a machine's worker should send its
	// heartbeats; owned reports whether the machine's owner is a member.
	HeartbeatTarget(machine string) (node string, owned bool)
	// OwnerInEpoch returns the member that owns the machine under the given epoch.
	OwnerInEpoch(epoch *cluster.Epoch, machine string) string
	// OwnerOf returns a machine's owner, whether or not that is a member; named reports
	// whether any transfer names the machine.
	OwnerOf(machine string) (owner cluster.Owner, named bool)
	// Fresh reports whether all transfers written under older epochs have been seen.
	Fresh() bool
	// NewTransfer returns the write that makes node the owner of the machines, which are
	// given by name with their records. If node is "", the write marks them as released.
	// ok is false if node is not a member.
	NewTransfer(node string, machines map[string]json.RawMessage) (write cluster.TransferWrite, ok bool)
	// RecordTransfer applies a transfer that was written at the given version, without
	// waiting for the watch to deliver it.
	RecordTransfer(change wire.Change, version uint64)

	// PeerCapacity returns the total capacity of the other members' machines.
	PeerCapacity() cluster.PeerCapacity
	// IdleMachines returns how many idle machines another controller has, or 0 if that
	// is unknown.
	IdleMachines(node string) int
	// PeerLoads returns, by node, the loads of the other members that have sent a
	// heartbeat recently.
	PeerLoads() map[string]cluster.PeerLoad
	// PeerUnplacedTasks returns the tasks of the other members that find no room on those
	// members' machines.
	PeerUnplacedTasks() []*peerpb.Want
}

// Workers sends requests directly to workers, by address. A worker answers with a
// heartbeat.
type Workers interface {
	Command(ctx context.Context, address string, req *wire.CommandRequest) (*wire.Heartbeat, error)
	Status(ctx context.Context, address string) (*wire.Heartbeat, error)
}

// Cloud lists the rented machines. Requests that change them go through duty.Actions.
type Cloud interface {
	List(ctx context.Context) ([]wire.Machine, error)
}

// Peers are the schedulers of the other controllers, by node name.
type Peers interface {
	Place(ctx context.Context, node string, req *peerpb.PlaceRequest) (*peerpb.PlaceReply, error)
	Settle(ctx context.Context, node string, req *peerpb.SettleRequest) (*peerpb.SettleReply, error)
}

// Jobs stores the job records and notifies the scheduler of new and ended jobs.
type Jobs interface {
	// SetListener makes listener receive every later change; a nil listener ends the
	// notifications.
	SetListener(listener job.Listener)
	// Active returns the record of an active job, or nil if none is cached.
	Active(id string) *job.Record
	// AllActive returns the records of all active jobs.
	AllActive() []*job.Record
	// Ended reports whether a job is known to have ended. It does not read the store.
	Ended(id string) bool
	// Readiness returns a job's effective priority and whether its dependencies are
	// done.
	Readiness(record *job.Record) job.Readiness
	// Resolve reads from the store whether a job that is not cached has ended or does
	// not exist.
	Resolve(ctx context.Context, id string) (job.Resolution, error)
	// ReadDone reads the bitmaps of done tasks of all jobs.
	ReadDone(ctx context.Context) ([]job.DoneBucket, error)
	// Finish records that all tasks of the job are done.
	Finish(ctx context.Context, record *job.Record, fence state.FencingCondition) error
}

// Records reads the machines' records from the consensus-backed key-value store.
type Records interface {
	Get(ctx context.Context, priority state.Priority, key string) (wire.Item, error)
	List(ctx context.Context, priority state.Priority, prefix string) (state.Listing, error)
}

// Committer writes to the consensus-backed key-value store. It may commit several writes
// together, and returns the version of the commit.
type Committer interface {
	Commit(ctx context.Context, write state.Write) (uint64, error)
}

// Options configure a Scheduler.
type Options struct {
	Node     string // this controller's name
	Settings *config.Settings
	Types    []wire.MachineType
	Log      *slog.Logger

	Authority Authority
	Workers   Workers
	Cloud     Cloud
	Actions   *duty.Actions // rents and returns machines
	Peers     Peers
	Jobs      Jobs
	Records   Records
	Committer Committer
	TxnLimits *state.TxnLimits // of the Committer's transactions

	// PlaceRequests holds the placement requests received from peers. It outlives a
	// Scheduler.
	PlaceRequests *remote.RequestHistory
	// Violations counts the invariants that the scheduler finds violated. It outlives a
	// scheduler. If it is nil, they are only logged.
	Violations *Violations
	// Resign makes this controller step down as leader.
	Resign func(ctx context.Context)
	// WorkersAtPeers returns the largest number of workers, over the peers, that have
	// recently sent their heartbeats to the peer instead of this controller.
	WorkersAtPeers func() int
	// Latency returns how long goroutines recently waited for a processor. It is nil if
	// that is not measured.
	Latency func() time.Duration
}
