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
func (k *Keeper) acquireWanted(ctx context.Context, m Membership) {
	k.mu.Lock()
	s, ids := k.session, slices.Collect(maps.Keys(k.wanted))
	k.mu.Unlock()
	if !m.Fresh || m.Since == 0 {
		return
	}
	txn := k.acquisition(ids, s, m)
	if len(txn.Then) == 0 {
		return
	}
	if _, err := k.opts.Store.Txn(ctx, state.Urgent, txn); err != nil {
		// Another controller was faster, or the response was lost.
		k.opts.Log.Debug("acquiring duties failed", "duties", ids, "err", err)
	}
}

// acquisition returns the transaction that acquires those of the duties that are free, as
// many as fit one.
func (k *Keeper) acquisition(ids []ID, s session, m Membership) wire.Txn {
	txn := wire.Txn{If: []wire.Condition{m.Epoch, {Key: sessionKey(k.opts.Node), Version: s.version}}}
	record := encode(holderRecord{Node: k.opts.Node, Since: m.Since, Session: s.version})
	for _, id := range ids {
		h := k.opts.Cache.holderOf(id)
		if k.isOwn(h, s, m) {
			continue
		}
		evidence, free := k.isFree(h, m)
		if !free {
			continue
		}
		if len(txn.Then) == k.opts.MaxChanges {
			k.Poke() // the rest follows at once in another transaction
			break
		}
		txn.If = append(append(txn.If, wire.Condition{Key: holderKey(id), Version: h.token}), evidence...)
		txn.Then = append(txn.Then, wire.Change{Put: holderKey(id), Value: record})
	}
	return txn
}

// isFree reports whether a duty may be acquired: it was resigned, its holder is no longer a
// member, or its holder's lease has expired. evidence must still hold when it is acquired.
func (k *Keeper) isFree(h holder, m Membership) (evidence []wire.Condition, free bool) {
	switch {
	case h.corrupt:
		return nil, false // logged when the ledger read it
	case h.Node == "":
		return nil, true
	case h.Node == k.opts.Node, !m.current(h.Node, h.Since):
		return nil, true // the own session and the epoch are conditions of every acquisition
	}
	seen := k.opts.Cache.sessionOf(h.Node)
	if seen == h.Session {
		return nil, false
	}
	return []wire.Condition{{Key: sessionKey(h.Node), Version: seen}}, true
}

// resignUnwanted resigns the duties that this controller holds and should not.
func (k *Keeper) resignUnwanted(ctx context.Context) {
	k.mu.Lock()
	s := k.session
	var ids []ID
	for id := range k.held {
		if k.wanted[id].IsZero() {
			ids = append(ids, id)
		}
	}
	k.mu.Unlock()
	txn := wire.Txn{}
	for _, id := range ids {
		h := k.opts.Cache.holderOf(id)
		if h.Node != k.opts.Node || h.Session != s.version {
			continue
		}
		txn.If = append(txn.If, wire.Condition{Key: holderKey(id), Version: h.token})
		txn.Then = append(txn.Then, wire.Change{Put: holderKey(id), Value: encode(holderRecord{})})
	}
	if len(txn.Then) == 0 {
		return
	}
	if _, err := k.opts.Store.Txn(ctx, state.Urgent, txn); err != nil {
		k.opts.Log.Debug("resigning duties failed", "duties", ids, "err", err)
	}
}

// handoverPause is how long a controller that has handed a duty over leaves it to others.
const handoverPause = 2 * time.Second

// HandOver resigns a duty, so that another controller acquires it or this one does under
// a new token. It returns ErrNotHeld or another error of Guard.Check if this controller
// does not hold it, and does not wait until the duty is acquired.
func (k *Keeper) HandOver(ctx context.Context, id ID) error {
	if !k.Active() {
		return fmt.Errorf("%w: single duties are off", ErrNotHeld)
	}
	if _, err := k.Guard(id); err != nil {
		return err
	}
	k.mu.Lock()
	k.paused[id] = time.Now().Add(handoverPause)
	delete(k.wanted, id)
	k.mu.Unlock()
	k.resignUnwanted(ctx)
	k.Poke()
	return nil
}

// Clear removes the corrupt record of a duty for an operator; ErrNotCorrupt means that it
// can be decoded. The duty is then acquired under a higher token, and intents under the
// record's token are completed like those of any earlier holder.
func (k *Keeper) Clear(ctx context.Context, id ID) error {
	h := k.opts.Cache.holderOf(id)
	if !h.corrupt {
		return fmt.Errorf("%w: %s", ErrNotCorrupt, id)
	}
	_, err := k.opts.Store.Txn(ctx, state.Urgent, wire.Txn{
		If:   []wire.Condition{{Key: holderKey(id), Version: h.token}},
		Then: []wire.Change{{Delete: holderKey(id)}},
	})
	if err != nil {
		return fmt.Errorf("clearing the record of %s: %w", id, err)
	}
	k.opts.Log.Info("corrupt duty record cleared", "duty", id, "version", h.token)
	return nil
}
