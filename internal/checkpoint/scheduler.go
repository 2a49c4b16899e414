package checkpoint

import (
	"context"
	"iter"
	"log/slog"
	"sync"

	"heronwick/internal/config"
	"heronwick/internal/duty"
	"heronwick/internal/job"
	"heronwick/internal/state"
)

// Scheduler is the scheduler whose machines are recorded. A Writer calls its methods
// with Options.Lock held.
type Scheduler interface {
	// Machines returns the scheduler's machines.
	Machines() iter.Seq[*Machine]
	// MachineCount returns the number of machines.
	MachineCount() int
	// Owns reports whether the scheduler still owns a machine.
	Owns(m *Machine) bool
	// Returning reports whether a machine is being returned to the cloud. No bucket is
	// written for such a machine.
	Returning(m *Machine) bool

	// Fence returns the condition that fences the writes of records: the store must have
	// the epoch that the scheduler acts under.
	Fence() state.FencingCondition
	// MemberSince returns the token of the epoch in which the scheduler's node joined as
	// a member.
	MemberSince() uint64
	// UniqueWriteID returns a string that no other write contains.
	UniqueWriteID() string
	// CleanupGuard returns the guard for removing the scheduler's records. It returns an
	// error if another controller holds the cleanup duty, or none does.
	CleanupGuard() (duty.Guard, error)

	// Job returns the record of a job, or nil if the job is not known to be active.
	Job(id string) *job.Record
	// DropStaleHostedAttempts removes hosted attempts on the machine that must no longer
	// be recorded.
	DropStaleHostedAttempts(m *Machine)
	// AttemptsRecorded is called when attempts on the machine have been recorded. Their
	// starts may be sent now.
	AttemptsRecorded(m *Machine)
	// DropUnsentAttempts is called when a write failed because a job has ended. It removes
	// the attempts of the job on these machines that were never sent to a worker: those
	// that are not recorded must not start.
	DropUnsentAttempts(job string, machines iter.Seq[*Machine])
}

// Committer commits writes to the store. It may commit several writes in one
// transaction, and returns the version of the commit.
type Committer interface {
	Commit(ctx context.Context, write state.Write) (uint64, error)
}

// Options configure a Writer.
type Options struct {
	Node      string
	Settings  *config.Settings
	Limit     *ValueLimit
	TxnLimits *state.TxnLimits
	Scheduler Scheduler
	// Lock guards the Writer, the ValueLimit and the Scheduler. The Writer acquires it
	// when a write has completed. Callers of the Writer's methods hold it.
	Lock      sync.Locker
	Committer Committer
	Reader    state.Reader
	Go        func(f func(ctx context.Context)) // runs f in the background; its context ends with the scheduler
	Wake      func()                            // causes Commit to be called soon; may be called without Lock
	Log       *slog.Logger
}
