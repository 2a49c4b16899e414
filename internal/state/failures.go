package state

import (
	"context"
	"encoding/json"
	"errors"
	"reflect"
)

// retryable ends the writes that are not retried after an attempt without a
// definite answer, and returns the others.
func retryable(batch []*queuedWrite, err error) []*queuedWrite {
	unknown := !errors.Is(err, ErrUnavailable)
	var retries []*queuedWrite
	for _, w := range batch {
		// Most often the connection broke, and another path has an answer.
		firstUnknown := unknown && !w.unknown
		w.unknown = w.unknown || unknown
		if (w.RetryUntilAnswered || firstUnknown) && w.ctx.Err() == nil {
			retries = append(retries, w)
			continue
		}
		w.done <- commitResult{err: w.failure(err)}
	}
	return retries
}

// failure is the error of a write whose last attempt failed with err: unknown if
// any attempt had no response.
func (w *queuedWrite) failure(err error) error {
	if w.unknown {
		return errors.Join(ErrUnknown, err)
	}
	return err
}

// splitRejected never sends a rejected transaction again unchanged: its writes
// go one by one, and one that was rejected alone fails for good.
func (c *Committer) splitRejected(q *writeQueue, batch []*queuedWrite, err error) {
	if len(batch) == 1 {
		c.endRejected(batch[0], err)
		return
	}
	for _, w := range batch {
		w.sendAlone = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range batch {
		q.insert(w)
	}
}

// endRejected ends a write that was rejected alone. What an earlier attempt
// without response has done is read back.
func (c *Committer) endRejected(w *queuedWrite, err error) {
	if w.mayHaveApplied() {
		if result := c.readBack(w, nil); result.err == nil {
			w.done <- result
			return
		}
	}
	w.done <- commitResult{err: err}
}

// resolveConflict ends the writes whose conditions failed and returns the
// others, which go again at once. A write that had no response before may have
// been carried out by that very attempt, so it is read back: here the conflict
// proves that its conditions have moved on.
func (c *Committer) resolveConflict(batch []*queuedWrite, conflict *Conflict) []*queuedWrite {
	var retries []*queuedWrite
	for _, w := range batch {
		failed := w.failedConditions(conflict)
		switch {
		case len(failed) == 0:
			retries = append(retries, w)
		case !w.mayHaveApplied():
			w.done <- commitResult{err: &Conflict{Failed: failed}}
		default:
			w.done <- c.readBack(w, failed)
		}
	}
	if len(retries) < len(batch) {
		return retries
	}
	// The service named no key that any write is conditional on: never loop on
	// that.
	for _, w := range retries {
		w.done <- commitResult{err: conflict}
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

// readBack finds out whether an earlier attempt of w was carried out: then every
// change is in place. Otherwise the result is a Conflict on the failed keys.
func (c *Committer) readBack(w *queuedWrite, failed []string) commitResult {
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

// sameJSON reports whether two texts encode the same JSON value.
func sameJSON(a, b json.RawMessage) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	return reflect.DeepEqual(x, y)
}
