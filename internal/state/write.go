package state

import (
	"context"
	"errors"
	"slices"
	"time"

	"heronwick/wire"
)

// Write is one unit of work for a Committer: its changes are made together,
// when its conditions hold.
type Write struct {
	Priority Priority
	If       []wire.Condition
	Then     []wire.Change
	// RetryUntilAnswered retries the write until the service gives a definite answer or
	// the context ends. Otherwise it fails with ErrUnavailable after one
	// attempt, with ErrUnknown after a second without response.
	RetryUntilAnswered bool
	// StillValid reports, right before sending, whether the write can still succeed;
	// nil: it can. Sending one that cannot would use up budget that others wait
	// for.
	StillValid func() bool
	// QueuedAt is when the write began to wait; zero: now. Among writes of one
	// priority the oldest goes first, so one that is retried under another
	// epoch keeps its place.
	QueuedAt time.Time
}

// dependsOn reports whether the write changes one of the keys or is conditional
// on one.
func (w *Write) dependsOn(keys map[string]bool) bool {
	if len(keys) == 0 {
		return false
	}
	return slices.ContainsFunc(w.If, func(c wire.Condition) bool { return keys[c.Key] }) ||
		slices.ContainsFunc(w.Then, func(c wire.Change) bool { return keys[changedKey(c)] })
}

// Bytes that the syntax of a transaction's parts takes at most.
const (
	changeOverhead = 64
	conditionBytes = 100 // with its key
)

// bytes is about what the write takes of a transaction's size.
func (w *Write) bytes() int {
	size := conditionBytes * len(w.If)
	for _, change := range w.Then {
		size += len(change.Value) + len(change.Put) + len(change.Delete) + changeOverhead
	}
	return size
}

// changedKey is the key that a change puts or deletes.
func changedKey(change wire.Change) string { return change.Put + change.Delete }

// FencingCondition ties writes to the epoch under which they were decided.
type FencingCondition struct {
	Condition wire.Condition
	IsCurrent func() bool // whether the condition can still hold, without asking the service
	QueuedAt  time.Time   // when the writes were first decided, see Write
}

// Bind makes a write fail once the condition is outdated: unsent, where that is
// known.
func (f FencingCondition) Bind(w Write) Write {
	w.If = append([]wire.Condition{f.Condition}, w.If...)
	w.QueuedAt = f.QueuedAt
	fresh := w.StillValid
	w.StillValid = func() bool { return f.IsCurrent() && (fresh == nil || fresh()) }
	return w
}

// queuedWrite is a write that waits in a queue or is in flight.
type queuedWrite struct {
	Write
	ctx       context.Context
	unknown   bool // an earlier attempt had no response
	sendAlone bool // a transaction with others beside it was rejected
	done      chan commitResult
}

// commitResult is what Commit returns for a write.
type commitResult struct {
	revision uint64
	err      error
}

// mayHaveApplied reports whether an earlier attempt may have made the write's
// changes.
func (w *queuedWrite) mayHaveApplied() bool { return w.unknown && len(w.Then) > 0 }

// dropReason returns the error with which the write ends unsent, nil if it may
// still be sent.
func (w *queuedWrite) dropReason() error {
	if w.StillValid != nil && !w.StillValid() {
		return &Conflict{}
	}
	if err := w.ctx.Err(); err != nil {
		// Its caller has given up, and asks again: what nobody waits for must
		// not use up what others wait for.
		return errors.Join(ErrUnavailable, err)
	}
	return nil
}
