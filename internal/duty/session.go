package duty

import (
	"context"
	"errors"
	"time"

	"heronwick/internal/state"
	"heronwick/wire"
)

// session is the lease under which this controller holds all its duties, and the key that
// is attached to it.
type session struct {
	lease      uint64    // ID at the key-value store; 0: there is none
	version    uint64    // of the session key
	validUntil time.Time // the lease has not expired before then
}

// valid reports whether the session's lease cannot have expired yet.
func (s session) valid(now time.Time) bool { return s.lease != 0 && now.Before(s.validUntil) }

// currentSession returns this controller's session.
func (mgr *Manager) currentSession() session {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	return mgr.session
}

// ensureSession begins a session if a member has none, and renews it if renew is set. It
// returns whether there is a valid one.
func (mgr *Manager) ensureSession(ctx context.Context, m Membership, renew bool) bool {
	s := mgr.currentSession()
	seen := mgr.opts.RecordCache.sessionOf(mgr.opts.Node)
	switch {
	case s.lease == 0 || seen != s.version && mgr.opts.RecordCache.caughtUpTo(s.version):
		// There is none yet, its key is gone, or another incarnation of this node has
		// begun one. Only one incarnation is a member.
		return m.Since != 0 && mgr.createSession(ctx, seen)
	case renew:
		return mgr.renewSession(ctx, s)
	}
	return s.valid(time.Now())
}

// createSession begins a session in place of that of an earlier incarnation, whose session
// key has the version previous.
func (mgr *Manager) createSession(ctx context.Context, previous uint64) bool {
	sent := time.Now()
	lease, err := mgr.opts.Store.Grant(ctx, mgr.opts.Lease)
	if err != nil {
		mgr.opts.Log.Debug("granting the duty lease failed", "err", err)
		return false
	}
	version, err := mgr.opts.Store.Txn(ctx, state.Urgent, wire.Txn{
		If:   []wire.Condition{{Key: sessionKey(mgr.opts.Node), Version: previous}},
		Then: []wire.Change{{Put: sessionKey(mgr.opts.Node), Value: encode(sessionRecord{Incarnation: mgr.opts.Incarnation}), Lease: lease}},
	})
	if err != nil {
		// If it is carried out late, it leaves a key that expires with its lease.
		mgr.opts.Log.Debug("writing the duty session failed", "err", err)
		return false
	}
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	mgr.session = session{lease: lease, version: version, validUntil: leaseDeadline(sent, mgr.opts.Lease)}
	return true
}

// renewSession renews the session's lease and returns whether the session is valid. The
// lease counts from when the renewal was sent, however late its response arrives.
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
		mgr.opts.Log.Debug("renewing the duty lease failed", "err", err)
	}
	return mgr.session.valid(time.Now())
}
