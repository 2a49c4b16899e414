package duty

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"heronwick/internal/state"
	"heronwick/wire"
)

// acquireWanted tries to acquire every duty that this controller should hold and that is
// free. The watch shows which of them were acquired.
func (mgr *Manager) acquireWanted(ctx context.Context, m Membership) {
	mgr.mu.Lock()
	s, ids := mgr.session, slices.Collect(maps.Keys(mgr.wanted))
	mgr.mu.Unlock()
	if !m.Fresh || m.Since == 0 {
		return
	}
	txn := mgr.acquisitionTxn(ids, s, m)
	if len(txn.Then) == 0 {
		return
	}
	if _, err := mgr.opts.Store.Txn(ctx, state.Urgent, txn); err != nil {
		// Another controller has acquired one of them first, or the response was lost.
		mgr.opts.Log.Debug("failed to acquire duties", "duties", ids, "err", err)
	}
}

// acquisitionTxn returns the transaction that acquires those of the duties that are free,
// limited to as many as fit in one transaction.
func (mgr *Manager) acquisitionTxn(ids []ID, s session, m Membership) wire.Txn {
	txn := wire.Txn{If: []wire.Condition{m.Epoch, {Key: sessionKey(mgr.opts.Node), Version: s.version}}}
	record := encode(holderRecord{Node: mgr.opts.Node, Since: m.Since, Session: s.version})
	for _, id := range ids {
		h := mgr.opts.RecordCache.holderOf(id)
		if mgr.isOwnRecord(h, s, m) {
			continue
		}
		conditions, free := mgr.isFree(h, m)
		if !free {
			continue
		}
		if len(txn.Then) >= mgr.opts.Limits.Changes() {
			mgr.TriggerReconcile() // acquires the remaining ones in another transaction
			break
		}
		txn.If = append(append(txn.If, wire.Condition{Key: holderKey(id), Version: h.token}), conditions...)
		txn.Then = append(txn.Then, wire.Change{Put: holderKey(id), Value: record})
	}
	return txn
}

// isFree reports whether a duty may be acquired: it was resigned, its holder is no longer a
// member, or its holder's lease has expired. The transaction that acquires the duty must
// include the conditions, which prove that the duty is still free.
func (mgr *Manager) isFree(h holder, m Membership) (conditions []wire.Condition, free bool) {
	switch {
	case h.corrupt:
		return nil, false // logged when the record cache decoded it
	case h.Node == "":
		return nil, true
	case h.Node == mgr.opts.Node, !m.isCurrent(h.Node, h.Since):
		return nil, true // this session and the epoch are conditions of every acquisition
	}
	seen := mgr.opts.RecordCache.sessionOf(h.Node)
	if seen == h.Session {
		return nil, false
	}
	return []wire.Condition{{Key: sessionKey(h.Node), Version: seen}}, true
}

// resignUnwanted resigns the duties that this controller holds but should not.
func (mgr *Manager) resignUnwanted(ctx context.Context) {
	mgr.mu.Lock()
	s := mgr.session
	var ids []ID
	for id := range mgr.held {
		if mgr.wanted[id].IsZero() {
			ids = append(ids, id)
		}
	}
	mgr.mu.Unlock()
	txn := wire.Txn{}
	for _, id := range ids {
		h := mgr.opts.RecordCache.holderOf(id)
		if h.Node != mgr.opts.Node || h.Session != s.version {
			continue
		}
		if len(txn.Then) >= mgr.opts.Limits.Changes() {
			mgr.TriggerReconcile() // resigns the remaining ones in another transaction
			break
		}
		txn.If = append(txn.If, wire.Condition{Key: holderKey(id), Version: h.token})
		txn.Then = append(txn.Then, wire.Change{Put: holderKey(id), Value: encode(holderRecord{})})
	}
	if len(txn.Then) == 0 {
		return
	}
	if _, err := mgr.opts.Store.Txn(ctx, state.Urgent, txn); err != nil {
		mgr.opts.Log.Debug("failed to resign duties", "duties", ids, "err", err)
	}
}

// handoverCooldown is how long a controller waits before it may acquire a duty again that it
// has handed over, so that another controller can acquire it first.
const handoverCooldown = 2 * time.Second

// HandOver resigns a duty, so that another controller acquires it, or this one does under a
// new token. It does not wait until the duty is acquired again. If this controller does not
// hold the duty, it returns ErrNotHeld or another error of Guard.Check.
func (mgr *Manager) HandOver(ctx context.Context, id ID) error {
	if !mgr.Active() {
		return fmt.Errorf("%w: single duties are off", ErrNotHeld)
	}
	if _, err := mgr.Guard(id); err != nil {
		return err
	}
	mgr.mu.Lock()
	mgr.cooldownUntil[id] = time.Now().Add(handoverCooldown)
	delete(mgr.wanted, id)
	mgr.mu.Unlock()
	mgr.resignUnwanted(ctx)
	mgr.TriggerReconcile()
	return nil
}

// Clear removes the corrupt record of a duty on an operator's request. It returns
// ErrNotCorrupt if the record can be decoded. Afterwards the duty is acquired under a higher
// token, and intents under the removed record's token are completed like those of any
// earlier holder.
func (mgr *Manager) Clear(ctx context.Context, id ID) error {
	h := mgr.opts.RecordCache.holderOf(id)
	if !h.corrupt {
		return fmt.Errorf("%w: %s", ErrNotCorrupt, id)
	}
	_, err := mgr.opts.Store.Txn(ctx, state.Urgent, wire.Txn{
		If:   []wire.Condition{{Key: holderKey(id), Version: h.token}},
		Then: []wire.Change{{Delete: holderKey(id)}},
	})
	if err != nil {
		return fmt.Errorf("clearing the record of %s: %w", id, err)
	}
	mgr.opts.Log.Info("corrupt duty record cleared", "duty", id, "version", h.token)
	return nil
}
