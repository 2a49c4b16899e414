package completion

import (
	"context"
	"sync"

	"heronwick/internal/duty"
	"heronwick/internal/state"
)

// Scheduler is the interface through which a Table uses the scheduler that it belongs
// to. The caller holds the scheduler's lock, except when it calls Lock or Commit.
type Scheduler interface {
	// Locker guards the table and its jobs.
	sync.Locker
	// Go runs work in a goroutine. Its context ends when the scheduler stops.
	Go(work func(ctx context.Context))
	// BucketKey returns the key of the scheduler's n-th bucket.
	BucketKey(n uint64) string
	// ValueLimit returns the maximum size of a value with records, in bytes.
	ValueLimit() int
	// UniqueWriteID returns a string that no other write contains.
	UniqueWriteID() string
	// Fence returns the condition for writing records: that the epoch under which the
	// scheduler acts is still current.
	Fence() state.FencingCondition
	// CleanupGuard returns the guard for removing the scheduler's records. It fails if
	// this controller does not hold the duty of removing them.
	CleanupGuard() (duty.Guard, error)
	// Commit writes key to the store. The result is valid even if there is an error.
	Commit(ctx context.Context, key string, write state.Write) (CommitResult, error)
	// LowerLimitIfRejected lowers ValueLimit if err means that the store has rejected a value.
	LowerLimitIfRejected(err error)
}

// CommitResult holds what is known of a key after a write to it.
type CommitResult struct {
	Version uint64 // version of the key, if Known
	Known   bool
}
