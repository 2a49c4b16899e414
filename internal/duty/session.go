package duty

import (
	"context"
	"errors"
	"time"

	"heronwick/internal/state"
	"heronwick/wire"
)

// session is the lease under which this controller holds all its duties, and the session key
// that is attached to the lease.
type session struct {
	lease      uint64    // the key-value store's ID of the lease; 0 if there is none
	version    uint64    // version of the session key
	validUntil time.Time // time before which the lease cannot have expired
}

// valid reports whether the session's lease cannot have expired yet.
func (s session) valid(now time.Time) bool { return s.lease != 0 && now.Before(s.validUntil) }

// currentSession returns this controller's session.
func (mgr *Manager) currentSession() session {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	return mgr.session
}

// ensureSession creates a session if this controller is a member and has none, and renews
// an existing one if renew is set. It reports whether the session is valid.
func (mgr *Manager) ensureSession(ctx context.Context, m Membership, renew bool) bool {
	s := mgr.currentSession()
	seen := mgr.opts.RecordCache.sessionOf(mgr.opts.Node)
	switch {
	case s.lease == 0 || seen != s.version && mgr.opts.RecordCache.caughtUpTo(s.version):
		// There is no session yet, its key was removed, or another incarnation of this node
		// has created one. Only one incarnation is a member and may replace it.
		return m.Since != 0 && mgr.createSession(ctx, seen)
	case renew:
		return mgr.renewSession(ctx, s)
	}
	return s.valid(time.Now())
}

// createSession creates a session, replacing one of an earlier incarnation: previous is the
// version of the existing session key, 0 if there is none. It reports whether it succeeded.
func (mgr *Manager) createSession(ctx context.Context, previous uint64) bool {
	sent := time.Now()
	lease, err := mgr.opts.Store.Grant(ctx, mgr.opts.Lease)
	if err != nil {
		mgr.opts.Log.Debug("failed to grant the duty lease", "err", err)
		return false
	}
	version, err := mgr.opts.Store.Txn(ctx, state.Urgent, wire.Txn{
		If:   []wire.Condition{{Key: sessionKey(mgr.opts.Node), Version: previous}},
		Then: []wire.Change{{Put: sessionKey(mgr.opts.Node), Value: encode(sessionRecord{Incarnation: mgr.opts.Incarnation}), Lease: lease}},
	})
	if err != nil {
		// If the store executes the write later, the key expires with its lease.
		mgr.opts.Log.Debug("failed to write the duty session", "err", err)
		return false
	}
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	mgr.session = session{lease: lease, version: version, validUntil: leaseDeadline(sent, mgr.opts.Lease)}
	return true
}

// renewSession renews the session's lease and reports whether the session is valid. The
// renewed lease is counted from when the renewal was sent, however late its response arrives.
func (mgr *Manager) renewSession(ctx context.Context, s session) bool {
	sent := time.Now()
	err := mgr.opts.Store.Renew(ctx, s.lease)
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	if mgr.session.lease != s.lease {
		return false
	}
	switch {
	case err == nil:
		mgr.session.validUntil = leaseDeadline(sent, mgr.opts.Lease)
	case errors.Is(err, state.ErrNotFound):
		mgr.opts.Log.Info("duty lease expired")
		mgr.session = session{}
	default:
		mgr.opts.Log.Debug("failed to renew the duty lease", "err", err)
	}
	return mgr.session.valid(time.Now())
}
