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

// acquireWanted acquires every duty that this controller should hold and that is free. The
// watch reports whether it was acquired.
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
		// Another controller was faster, or the response was lost.
		mgr.opts.Log.Debug("acquiring duties failed", "duties", ids, "err", err)
	}
}

// acquisitionTxn returns the transaction that acquires those of the duties that are free, as
// many as fit one.
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
		if len(txn.Then) == mgr.opts.MaxChanges {
			mgr.TriggerReconcile() // the rest follows at once in another transaction
			break
		}
		txn.If = append(append(txn.If, wire.Condition{Key: holderKey(id), Version: h.token}), conditions...)
		txn.Then = append(txn.Then, wire.Change{Put: holderKey(id), Value: record})
	}
	return txn
}

// isFree reports whether a duty may be acquired: it was resigned, its holder is no longer a
// member, or its holder's lease has expired. evidence must still hold when it is acquired.
func (mgr *Manager) isFree(h holder, m Membership) (conditions []wire.Condition, free bool) {
	switch {
	case h.corrupt:
		return nil, false // logged when the ledger read it
	case h.Node == "":
		return nil, true
	case h.Node == mgr.opts.Node, !m.isCurrent(h.Node, h.Since):
		return nil, true // the own session and the epoch are conditions of every acquisition
	}
	seen := mgr.opts.RecordCache.sessionOf(h.Node)
	if seen == h.Session {
		return nil, false
	}
	return []wire.Condition{{Key: sessionKey(h.Node), Version: seen}}, true
}

// resignUnwanted resigns the duties that this controller holds and should not.
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
		txn.If = append(txn.If, wire.Condition{Key: holderKey(id), Version: h.token})
		txn.Then = append(txn.Then, wire.Change{Put: holderKey(id), Value: encode(holderRecord{})})
	}
	if len(txn.Then) == 0 {
		return
	}
	if _, err := mgr.opts.Store.Txn(ctx, state.Urgent, txn); err != nil {
		mgr.opts.Log.Debug("resigning duties failed", "duties", ids, "err", err)
	}
}

// handoverCooldown is how long a controller that has handed a duty over leaves it to others.
const handoverCooldown = 2 * time.Second

// HandOver resigns a duty, so that another controller acquires it or this one does under
// a new token. It returns ErrNotHeld or another error of Guard.Check if this controller
// does not hold it, and does not wait until the duty is acquired.
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

// Clear removes the corrupt record of a duty for an operator; ErrNotCorrupt means that it
// can be decoded. The duty is then acquired under a higher token, and intents under the
// record's token are completed like those of any earlier holder.
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
