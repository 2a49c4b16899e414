package completion

import (
	"context"
	"sync"

	"heronwick/internal/duty"
	"heronwick/internal/state"
)

// Scheduler is what a Table needs of the scheduler that it belongs to. Its lock
// is held during all calls but Lock and Commit.
type Scheduler interface {
	// Locker guards the table and its jobs.
	sync.Locker
	// Go starts work that ends with the scheduler.
	Go(work func(ctx context.Context))
	// BucketKey names the scheduler's n-th bucket.
	BucketKey(n uint64) string
	// ValueLimit is how many bytes of records a value may hold.
	ValueLimit() int
	// UniqueWriteID returns a string that no other write contains.
	UniqueWriteID() string
	// Fence is the condition under which records are written: the epoch that the
	// scheduler acts under.
	Fence() state.FencingCondition
	// CleanupGuard returns the right to remove the scheduler's records, an error if
	// another controller has it or nobody.
	CleanupGuard() (duty.Guard, error)
	// Commit writes key to the store. The result counts also after an error.
	Commit(ctx context.Context, key string, write state.Write) (CommitResult, error)
	// NoteRejected lowers ValueLimit if err says that the store has rejected a
	// value.
	NoteRejected(err error)
}

// CommitResult is what is known of a key after a write to it.
type CommitResult struct {
	Version uint64 // of the key
	Known   bool   // Version is certain
}
