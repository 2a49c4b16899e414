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
	lease   uint64    // ID at the key-value store; 0: there is none
	version uint64    // of the session key
	until   time.Time // the lease has not expired before then
}

// valid reports whether the session's lease cannot have expired yet.
func (s session) valid(now time.Time) bool { return s.lease != 0 && now.Before(s.until) }

// currentSession returns this controller's session.
func (k *Keeper) currentSession() session {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.session
}

// keepSession begins a session if a member has none, and renews it if renew is set. It
// returns whether there is a valid one.
func (k *Keeper) keepSession(ctx context.Context, m Membership, renew bool) bool {
	s := k.currentSession()
	seen := k.opts.Cache.sessionOf(k.opts.Node)
	switch {
	case s.lease == 0 || seen != s.version && k.opts.Cache.hasSeen(s.version):
		// There is none yet, its key is gone, or another incarnation of this node has
		// begun one. Only one incarnation is a member.
		return m.Since != 0 && k.beginSession(ctx, seen)
	case renew:
		return k.renewSession(ctx, s)
	}
	return s.valid(time.Now())
}

// beginSession begins a session in place of that of an earlier incarnation, whose session
// key has the version previous.
func (k *Keeper) beginSession(ctx context.Context, previous uint64) bool {
	sent := time.Now()
	lease, err := k.opts.Store.Grant(ctx, k.opts.Lease)
	if err != nil {
		k.opts.Log.Debug("granting the duty lease failed", "err", err)
		return false
	}
	version, err := k.opts.Store.Txn(ctx, state.Urgent, wire.Txn{
		If:   []wire.Condition{{Key: sessionKey(k.opts.Node), Version: previous}},
		Then: []wire.Change{{Put: sessionKey(k.opts.Node), Value: encode(sessionRecord{Incarnation: k.opts.Incarnation}), Lease: lease}},
	})
	if err != nil {
		// If it is carried out late, it leaves a key that expires with its lease.
		k.opts.Log.Debug("writing the duty session failed", "err", err)
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.session = session{lease: lease, version: version, until: leaseDeadline(sent, k.opts.Lease)}
	return true
}

// renewSession renews the session's lease and returns whether the session is valid. The
// lease counts from when the renewal was sent, however late its response arrives.
func (k *Keeper) renewSession(ctx context.Context, s session) bool {
	sent := time.Now()
	err := k.opts.Store.Renew(ctx, s.lease)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.session.lease != s.lease {
		return false
	}
	switch {
	case err == nil:
		k.session.until = leaseDeadline(sent, k.opts.Lease)
	case errors.Is(err, state.ErrNotFound):
		k.opts.Log.Info("duty lease expired")
		k.session = session{}
	default:
		k.opts.Log.Debug("renewing the duty lease failed", "err", err)
	}
	return k.session.valid(time.Now())
}
