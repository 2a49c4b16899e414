package state

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"heronwick/wire"
)

// Write is a unit of work for a Committer. Its changes are made atomically if all
// its conditions hold.
type Write struct {
	Priority Priority
	If       []wire.Condition
	Then     []wire.Change
	// RetryUntilAnswered makes the write be retried until the store gives a definite
	// answer or the context ends. If it is not set, the write fails with
	// ErrUnavailable after one attempt that was not carried out, or with ErrUnknown
	// after two attempts without a response.
	RetryUntilAnswered bool
	// StillValid reports whether the write can still succeed; nil means that it always
	// can. It is called right before the write is sent, since sending a write that
	// must fail would use budget that other writes need.
	StillValid func() bool
	// QueuedAt is the time from which the write counts as queued; the zero value means
	// the time of the Commit call. Within a priority, writes are sent in the order of
	// QueuedAt, so a write that is retried under a new epoch keeps its position in
	// the queue.
	QueuedAt time.Time
}

// dependsOn reports whether the write changes one of the keys, or has a condition on
// one.
func (w *Write) dependsOn(keys map[string]bool) bool {
	if len(keys) == 0 {
		return false
	}
	return slices.ContainsFunc(w.If, func(c wire.Condition) bool { return keys[c.Key] }) ||
		slices.ContainsFunc(w.Then, func(c wire.Change) bool { return keys[changedKey(c)] })
}

// Upper bounds for the JSON encoding of a transaction.
const (
	changeOverhead = 64  // bytes of a change without its key and value
	conditionBytes = 100 // bytes of a condition with its key
)

// bytes returns an estimate of what the write adds to the size of a transaction.
func (w *Write) bytes() int {
	size := conditionBytes * len(w.If)
	for _, change := range w.Then {
		size += len(change.Value) + len(change.Put) + len(change.Delete) + changeOverhead
	}
	return size
}

// changedKey returns the key that a change puts or deletes.
func changedKey(change wire.Change) string { return change.Put + change.Delete }

// FencingCondition is a condition on the epoch under which writes were decided, so
// that they fail once there is a newer epoch.
type FencingCondition struct {
	Condition wire.Condition
	IsCurrent func() bool // reports whether the condition can still hold, from local state
	QueuedAt  time.Time   // when the writes were first queued; see Write.QueuedAt
}

// Bind adds the condition to a write. The write is not even sent if IsCurrent
// reports that the condition no longer holds.
func (f FencingCondition) Bind(w Write) Write {
	w.If = append([]wire.Condition{f.Condition}, w.If...)
	w.QueuedAt = f.QueuedAt
	stillValid := w.StillValid
	w.StillValid = func() bool { return f.IsCurrent() && (stillValid == nil || stillValid()) }
	return w
}

// queuedWrite is a write that is in a queue or in flight.
type queuedWrite struct {
	Write
	ctx            context.Context
	outcomeUnknown bool           // an earlier attempt had no response
	sendAlone      bool           // a transaction of this and other writes was rejected
	rejectedBatch  *rejectedBatch // that transaction; nil if there was none
	done           chan commitResult
}

// end passes the result of the write to the caller of Commit. It is called once.
func (w *queuedWrite) end(result commitResult) {
	if w.rejectedBatch != nil {
		w.rejectedBatch.record(result.err)
	}
	w.done <- result
}

// commitResult holds what Commit returns for a write.
type commitResult struct {
	revision uint64
	err      error
}

// mayHaveApplied reports whether an earlier attempt may have made the changes of the
// write.
func (w *queuedWrite) mayHaveApplied() bool { return w.outcomeUnknown && len(w.Then) > 0 }

// dropReason returns the error with which the write must end without being sent, or
// nil if it may be sent.
func (w *queuedWrite) dropReason(limits *TxnLimits) error {
	if !limits.allows(&w.Write) {
		return fmt.Errorf("%w: %d changes, %d conditions and %d bytes are more than a transaction may have", ErrRejected, len(w.Then), len(w.If), w.bytes())
	}
	if w.StillValid != nil && !w.StillValid() {
		return &Conflict{}
	}
	if err := w.ctx.Err(); err != nil {
		// The caller has given up, and may retry. A write that no caller waits for
		// must not use budget that others need.
		return errors.Join(ErrUnavailable, err)
	}
	return nil
}
