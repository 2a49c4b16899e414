package duty

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"heronwick/internal/state"
	"heronwick/wire"
)

// Store is the part of the key-value store's client that this package needs.
type Store interface {
	// Txn executes a transaction and returns the store's revision after it.
	Txn(ctx context.Context, p state.Priority, txn wire.Txn) (revision uint64, err error)
	// Grant grants a lease that expires after ttl unless renewed.
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	// Renew resets a lease to its full ttl. It returns state.ErrNotFound if the lease has
	// expired.
	Renew(ctx context.Context, lease uint64) error
}

// Membership is the part of the newest epoch known to a controller that duties depend on.
type Membership struct {
	Epoch    wire.Condition    // holds until a newer epoch is written
	Since    uint64            // token of the epoch in which this controller joined; 0 if not a member
	IsLeader bool              // this controller is the leader
	Members  map[string]uint64 // by node, token of the epoch in which the member joined
	Fresh    bool              // the watch has delivered everything written under older epochs
}

// isCurrent reports whether a node is a member of the epoch and joined in the epoch since. A
// node that has left and joined again is a different member.
func (m Membership) isCurrent(node string, since uint64) bool {
	return since != 0 && m.Members[node] == since
}

// ManagerOptions configure a Manager.
type ManagerOptions struct {
	Node        string
	Incarnation uint64        // unique to each start of the controller
	Lease       time.Duration // duration of the lease under which duties are held; 0 turns duties off
	Store       Store
	RecordCache *RecordCache
	// Ready reports whether all controllers can decode the records of this package.
	Ready      func() bool
	Membership func() Membership
	Limits     *state.TxnLimits
	History    *History
	Log        *slog.Logger
}

// Manager acquires, renews and resigns this controller's duties. It is safe for concurrent
// use.
type Manager struct {
	opts    ManagerOptions
	trigger chan struct{}

	mu            sync.Mutex
	session       session
	wanted        map[ID]time.Time // start of the current wait for each duty this controller should hold
	held          map[ID]uint64    // tokens of the duties last seen as held, for log and history
	cooldownUntil map[ID]time.Time // time before which a duty that was handed over is not acquired
}

// NewManager returns a Manager that does nothing until Run is called.
func NewManager(opts ManagerOptions) *Manager {
	return &Manager{opts: opts, trigger: make(chan struct{}, 1), wanted: map[ID]time.Time{}, held: map[ID]uint64{}, cooldownUntil: map[ID]time.Time{}}
}

// Active reports whether actions are fenced: duties are on, and every controller can decode
// the records of this package.
func (mgr *Manager) Active() bool { return mgr.opts.Lease > 0 && mgr.opts.Ready() }

// TriggerReconcile makes Run reconcile at once, because the epoch or a duty has changed. It
// does not block.
func (mgr *Manager) TriggerReconcile() {
	select {
	case mgr.trigger <- struct{}{}:
	default:
	}
}

// Run acquires, renews and resigns duties until ctx is done. It returns nil.
func (mgr *Manager) Run(ctx context.Context) error {
	if mgr.opts.Lease <= 0 {
		return nil
	}
	tick := time.NewTicker(mgr.opts.Lease / renewalsPerLease)
	defer tick.Stop()
	renew := true
	for {
		if mgr.Active() {
			mgr.reconcile(ctx, renew)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			renew = true
		case <-mgr.trigger:
			renew = false
		}
	}
}

// reconcile ensures that there is a valid session, and renews it if renew is set. Then it
// resigns and acquires duties, so that this controller holds those that it should.
func (mgr *Manager) reconcile(ctx context.Context, renew bool) {
	membership := mgr.opts.Membership()
	mgr.recordTransitions(time.Now())
	mgr.updateWanted(membership, time.Now())
	if !mgr.ensureSession(ctx, membership, renew) {
		return
	}
	mgr.resignUnwanted(ctx)
	mgr.acquireWanted(ctx, membership)
	mgr.recordTransitions(time.Now())
}

// assignedDuties returns the duties that an epoch assigns to this controller.
func (mgr *Manager) assignedDuties(m Membership) []ID {
	if m.Since == 0 {
		return nil
	}
	ids := []ID{{Return, Shard(mgr.opts.Node)}, {Cleanup, Shard(mgr.opts.Node)}}
	if m.IsLeader {
		ids = append(ids, ID{Rent, Fleet}, ID{Reclaim, Fleet}, ID{Cleanup, Fleet})
	}
	return ids
}

// updateWanted updates the set of duties that this controller should hold.
func (mgr *Manager) updateWanted(m Membership, now time.Time) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	ids := mgr.assignedDuties(m)
	maps.DeleteFunc(mgr.wanted, func(id ID, _ time.Time) bool { return !slices.Contains(ids, id) })
	for _, id := range ids {
		if now.Before(mgr.cooldownUntil[id]) {
			delete(mgr.wanted, id)
		} else if mgr.wanted[id].IsZero() {
			mgr.wanted[id] = now
		}
	}
}

// resetWaitLocked returns how long this controller has been waiting to hold a duty, or 0 if
// it should not hold it, and restarts the wait at now.
func (mgr *Manager) resetWaitLocked(id ID, now time.Time) time.Duration {
	since, wanted := mgr.wanted[id]
	if !wanted {
		return 0
	}
	mgr.wanted[id] = now
	return now.Sub(since)
}

// recordTransitions logs and records the duties that this controller has acquired or lost since
// the last call.
func (mgr *Manager) recordTransitions(now time.Time) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	ids := slices.AppendSeq(slices.Collect(maps.Keys(mgr.wanted)), maps.Keys(mgr.held))
	slices.SortFunc(ids, compareIDs)
	for _, id := range slices.Compact(ids) {
		mgr.recordTransitionLocked(id, now)
	}
}

// recordTransitionLocked is recordTransitions for a single duty.
func (mgr *Manager) recordTransitionLocked(id ID, now time.Time) {
	h := mgr.opts.RecordCache.holderOf(id)
	previous := mgr.held[id]
	holds := h.Node == mgr.opts.Node && h.Session == mgr.session.version && !h.corrupt
	switch {
	case holds && previous != h.token:
		mgr.held[id] = h.token
		waited := mgr.resetWaitLocked(id, now)
		mgr.opts.Log.Info("duty acquired", "duty", id, "token", h.token, "waited", waited)
		mgr.opts.History.add(wire.DutyEvent{At: now, Kind: string(EventAcquired), Duty: id.String(), Node: mgr.opts.Node, Token: h.token, TookS: waited.Seconds()})
	case !holds && previous != 0:
		delete(mgr.held, id)
		mgr.resetWaitLocked(id, now)
		mgr.opts.Log.Info("duty resigned or lost", "duty", id, "token", previous, "holder", h.Node)
		mgr.opts.History.add(wire.DutyEvent{At: now, Kind: string(EventLost), Duty: id.String(), Node: mgr.opts.Node, Token: previous})
	}
}
