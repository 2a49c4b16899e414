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
	// View returns the current epoch, the condition that fences what is decided under
	// it, and this controller's part in it.
	View() cluster.View
	// Token returns the fencing token under which workers are commanded.
	Token() uint64
	// FencingToken reports whether the scheduler may answer and command workers now,
	// and under which fencing token.
	FencingToken() (token uint64, ok bool)
	// FencedSince returns since when surely no controller has answered a worker
	// under an epoch older than token, if that is proven.
	FencedSince(token uint64) (since time.Time, ok bool)
	// AdvanceEpoch raises the fencing token and changes nothing else.
	AdvanceEpoch(ctx context.Context) error

	// Ownership returns the machines of this controller and those whose owner is no
	// member.
	Ownership() cluster.Ownership
	// HeartbeatTarget returns the controller to which a machine's worker should send
	// its heartbeats; owned reports whether the machine has an owner that is a member.
	HeartbeatTarget(machine string) (node string, owned bool)
	// HostOf returns the member that owns a machine in an epoch.
	HostOf(epoch *cluster.Epoch, machine string) string
	// OwnerOf returns a machine's owner, member or not; named reports whether any
	// transfer names the machine.
	OwnerOf(machine string) (owner cluster.Owner, named bool)
	// Fresh reports whether every transfer of an older epoch has been seen.
	Fresh() bool
	// NewTransfer returns the write that makes node the owner of machines, given by
	// name with their records, or, with node "", marks them as released; ok is false
	// if the node is no member.
	NewTransfer(node string, machines map[string]json.RawMessage) (write cluster.TransferWrite, ok bool)
	// NoteOwner applies a transfer that was written at a version, before the watch
	// brings it.
	NoteOwner(change wire.Change, version uint64)

	// PeerCapacity returns what the machines of the other members have together.
	PeerCapacity() cluster.PeerCapacity
	// IdleMachines returns how many idle machines another controller has, 0 if that
	// is not known.
	IdleMachines(node string) int
	// PeerLoads returns the loads of the other members that were heard from lately,
	// by node.
	PeerLoads() map[string]cluster.PeerLoad
	// UnplacedWants returns the tasks for which the other members' machines have no
	// room.
	UnplacedWants() []*peerpb.Want
}

// Workers sends requests straight to workers, by address. The answer is a heartbeat.
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

// Jobs holds the jobs' records and notifies the scheduler of new and ended jobs.
type Jobs interface {
	// Listen notifies listener of every change from now on; nil ends that.
	Listen(listener job.Listener)
	// Active returns an active job's record, nil if none is cached.
	Active(id string) *job.Record
	// AllActive returns the records of all active jobs.
	AllActive() []*job.Record
	// Ended reports whether a job is known to be over, without a read of the store.
	Ended(id string) bool
	// Readiness returns whether a job's dependencies are done, and its effective
	// priority.
	Readiness(record *job.Record) job.Readiness
	// Resolve reads from the store whether a job that is not cached is over, or
	// whether there is none.
	Resolve(ctx context.Context, id string) (job.Resolution, error)
	// ReadDone reads the bitmaps of all jobs' done tasks.
	ReadDone(ctx context.Context) ([]job.DoneBucket, error)
	// Finish records that every task of the job is done.
	Finish(ctx context.Context, record *job.Record, fence state.FencingCondition) error
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

	// PlaceRequests are those that have come from peers. They outlast a Scheduler.
	PlaceRequests *remote.RequestHistory
	// Resign gives up leading.
	Resign func(ctx context.Context)
	// WorkersAtPeers returns how many workers have lately come to a peer instead.
	WorkersAtPeers func() int
	// Latency returns how long goroutines lately waited for the processor; nil: that
	// is not measured.
	Latency func() time.Duration
}
