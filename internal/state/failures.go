package state

import (
	"context"
	"encoding/json"
	"errors"
	"reflect"
	"time"
)

// keepRetryable returns the writes to retry after an attempt without a definite
// result, and ends the others with an error.
func keepRetryable(batch []*queuedWrite, err error) []*queuedWrite {
	outcomeUnknown := !errors.Is(err, ErrUnavailable)
	var retries []*queuedWrite
	for _, w := range batch {
		// The usual cause is a broken connection, and a retry over another path
		// succeeds.
		firstUnknown := outcomeUnknown && !w.outcomeUnknown
		w.outcomeUnknown = w.outcomeUnknown || outcomeUnknown
		if (w.RetryUntilAnswered || firstUnknown) && w.ctx.Err() == nil {
			retries = append(retries, w)
			continue
		}
		w.end(commitResult{err: w.finalError(err)})
	}
	return retries
}

// finalError returns the error of a write whose last attempt failed with err. It
// includes ErrUnknown if any attempt had no response.
func (w *queuedWrite) finalError(err error) error {
	if w.outcomeUnknown {
		return errors.Join(ErrUnknown, err)
	}
	return err
}

// splitRejected queues the writes of a rejected transaction again, each to be sent in
// a transaction of its own: the same transaction would be rejected each time. A write
// that was rejected in a transaction of its own is not retried.
func (c *Committer) splitRejected(q *writeQueue, batch []*queuedWrite, err error) {
	if len(batch) == 1 {
		c.resolveRejected(batch[0], err)
		return
	}
	txn := mergeWrites(batch)
	rejected := &rejectedBatch{limits: c.client.limits, changes: len(txn.Then), conditions: len(txn.If), pending: len(batch)}
	for _, w := range batch {
		w.sendAlone, w.rejectedBatch = true, rejected
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range batch {
		q.insert(w)
	}
}

// resolveRejected ends a write that was rejected in a transaction of its own. If an
// earlier attempt had no response, the result is read back, since that attempt may
// have been carried out.
func (c *Committer) resolveRejected(w *queuedWrite, err error) {
	if w.mayHaveApplied() {
		if result := c.readBack(w, nil); result.err == nil {
			w.end(result)
			return
		}
	}
	w.end(commitResult{err: err})
}

// resolveConflict ends the writes whose conditions failed and returns the others,
// which are retried at once. If an earlier attempt of a failed write had no response,
// that attempt may have been carried out and may itself have changed the keys of the
// conditions, so the result is read back. It is final: the conditions no longer hold,
// so no attempt can be carried out any more.
func (c *Committer) resolveConflict(batch []*queuedWrite, conflict *Conflict) []*queuedWrite {
	var retries []*queuedWrite
	for _, w := range batch {
		failed := w.failedConditions(conflict)
		switch {
		case len(failed) == 0:
			retries = append(retries, w)
		case !w.mayHaveApplied():
			w.end(commitResult{err: &Conflict{Failed: failed}})
		default:
			w.end(c.readBack(w, failed))
		}
	}
	if len(retries) < len(batch) {
		return retries
	}
	// The failed keys belong to no write's conditions. Retrying all writes could
	// loop forever, so they all fail.
	for _, w := range retries {
		w.end(commitResult{err: conflict})
	}
	return nil
}

// failedConditions returns the keys of the write's conditions that failed.
func (w *Write) failedConditions(conflict *Conflict) []string {
	var failed []string
	for _, condition := range w.If {
		if conflict.Includes(condition.Key) {
			failed = append(failed, condition.Key)
		}
	}
	return failed
}

// readBack determines whether an earlier attempt of w was carried out, see readBackOnce. For
// a write that is retried until it is answered, it reads until that shows.
func (c *Committer) readBack(w *queuedWrite, failed []string) commitResult {
	result := c.readBackOnce(w, failed)
	for backoff := minBackoff; w.RetryUntilAnswered && errors.Is(result.err, ErrUnknown) && w.ctx.Err() == nil; {
		time.Sleep(backoff)
		backoff = min(2*backoff, maxBackoff)
		result = c.readBackOnce(w, failed)
	}
	return result
}

// readBackOnce determines whether an earlier attempt of w was carried out, by reading
// the keys that w changes. If one of them does not have the value that w gives it,
// the result is a Conflict on the failed keys. It is ErrUnknown if a read fails.
func (c *Committer) readBackOnce(w *queuedWrite, failed []string) commitResult {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	var revision uint64
	for _, change := range w.Then {
		item, err := c.client.Get(ctx, w.Priority, changedKey(change))
		switch {
		case errors.Is(err, ErrNotFound):
			if change.Put != "" {
				return commitResult{err: &Conflict{Failed: failed}}
			}
		case err != nil:
			return commitResult{err: errors.Join(ErrUnknown, err)}
		case change.Delete != "" || !sameJSON(item.Value, change.Value):
			return commitResult{err: &Conflict{Failed: failed}}
		default:
			revision = max(revision, item.Version)
		}
	}
	return commitResult{revision: revision}
}

// sameJSON reports whether a and b encode the same JSON value.
func sameJSON(a, b json.RawMessage) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	return reflect.DeepEqual(x, y)
}
