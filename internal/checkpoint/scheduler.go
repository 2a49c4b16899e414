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

// Scheduler is the scheduler whose machines are recorded. A Writer calls it with the
// Options' Lock held.
type Scheduler interface {
	// Machines returns the scheduler's machines.
	Machines() iter.Seq[*Machine]
	// MachineCount is how many those are.
	MachineCount() int
	// Owns reports whether a machine is still the scheduler's.
	Owns(m *Machine) bool
	// Returning reports whether a machine is being returned: no bucket is written for it.
	Returning(m *Machine) bool

	// Fence is the condition under which records are written: the epoch that the
	// scheduler acts under.
	Fence() state.FencingCondition
	// MemberSince is since which epoch the scheduler's node is a member.
	MemberSince() uint64
	// UniqueWriteID returns a string that no other write contains.
	UniqueWriteID() string
	// CleanupGuard returns the right to remove the scheduler's records, an error if
	// another controller has it or nobody.
	CleanupGuard() (duty.Guard, error)

	// Job returns the record of a job that is known to be active, else nil.
	Job(id string) *job.Record
	// DropStaleHostedAttempts removes hosted attempts that must not be recorded any more.
	DropStaleHostedAttempts(m *Machine)
	// AttemptsRecorded tells that attempts on the machine are recorded: they may start.
	AttemptsRecorded(m *Machine)
	// DropUnsentAttempts tells that a job is over: none of its attempts on these machines
	// that was not recorded may start.
	DropUnsentAttempts(job string, on iter.Seq[*Machine])
}

// Committer writes to the store; several writes may be committed together. It
// returns the version of the commit.
type Committer interface {
	Commit(ctx context.Context, write state.Write) (uint64, error)
}

// Options configure a Writer.
type Options struct {
	Node      string
	Settings  *config.Settings
	Limit     *ValueLimit
	Scheduler Scheduler
	// Lock guards the Writer, the ValueLimit and the Scheduler. The Writer takes it when a
	// write has ended; the callers of its methods hold it.
	Lock      sync.Locker
	Committer Committer
	Reader    state.Reader
	Go        func(f func(ctx context.Context)) // starts work that ends with the scheduler
	Wake      func()                            // has Commit called soon; needs no lock
	Log       *slog.Logger
}
