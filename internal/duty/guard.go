package duty

import (
	"fmt"
	"time"

	"heronwick/internal/state"
	"heronwick/wire"
)

// Guard is the right to act for a duty under one fencing token. Manager.Guard returns it;
// the zero Guard permits nothing.
type Guard struct {
	manager  *Manager
	id       ID
	token    uint64
	unfenced bool // duties are off, so every action is permitted
}

// Check returns nil while the duty is held under the Guard's token, and otherwise
// ErrNotHeld, ErrReplaced, ErrLeaseExpired or ErrCorrupt.
func (g Guard) Check() error {
	if g.unfenced {
		return nil
	}
	if g.manager == nil {
		return ErrNotHeld
	}
	return g.manager.check(g.id, g.token)
}

// Conditions returns the conditions that make a transaction fail once the duty was resigned
// or another controller has acquired it.
func (g Guard) Conditions() []wire.Condition {
	if g.unfenced {
		return nil
	}
	return []wire.Condition{{Key: holderKey(g.id), Version: g.token}}
}

// Bind adds the Guard's conditions to a write.
func (g Guard) Bind(w state.Write) state.Write {
	w.If = append(g.Conditions(), w.If...)
	return w
}

// Guard returns the right to act for a duty, or the error that Guard.Check would return. If
// duties are off, every controller has that right.
func (mgr *Manager) Guard(id ID) (Guard, error) {
	if !mgr.Active() {
		return Guard{unfenced: true}, nil
	}
	h := mgr.opts.RecordCache.holderOf(id)
	if err := mgr.check(id, h.token); err != nil {
		return Guard{}, err
	}
	return Guard{manager: mgr, id: id, token: h.token}, nil
}

// check returns nil if this controller holds a duty under a token: the watch has delivered
// its holder record, and therefore everything written before it, and the lease cannot have
// expired.
func (mgr *Manager) check(id ID, token uint64) error {
	membership := mgr.opts.Membership()
	h := mgr.opts.RecordCache.holderOf(id)
	s := mgr.currentSession()
	switch {
	case h.corrupt:
		return fmt.Errorf("%w: %s", ErrCorrupt, id)
	case h.token != token && token != 0 && h.Node != mgr.opts.Node:
		return fmt.Errorf("%w: %s is held by %q", ErrReplaced, id, h.Node)
	case h.token != token || !mgr.isOwnRecord(h, s, membership) || mgr.opts.RecordCache.sessionOf(mgr.opts.Node) != s.version:
		return fmt.Errorf("%w: %s", ErrNotHeld, id)
	case !s.valid(time.Now()):
		return fmt.Errorf("%w: %s", ErrLeaseExpired, id)
	}
	return nil
}

// isOwnRecord reports whether a holder record names this controller's session and membership.
func (mgr *Manager) isOwnRecord(h holder, s session, m Membership) bool {
	return !h.corrupt && h.Node == mgr.opts.Node && h.Session == s.version && s.version != 0 && h.Since == m.Since
}
