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
	// Txn carries out a transaction and returns the store's revision after it.
	Txn(ctx context.Context, p state.Priority, txn wire.Txn) (revision uint64, err error)
	// Grant grants a lease that expires after ttl unless renewed.
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	// Renew restarts a lease's ttl; state.ErrNotFound means that it has expired.
	Renew(ctx context.Context, lease uint64) error
}

// Membership is the newest epoch that a controller knows, as far as duties depend on it.
type Membership struct {
	Epoch   wire.Condition    // holds while no newer epoch was written
	Since   uint64            // epoch version from which this controller is a member; 0: it is none
	Leads   bool              // this controller is the leader
	Members map[string]uint64 // Since of each member, by node
	Fresh   bool              // everything written under older epochs has been seen
}

// current reports whether a node's membership is one of the epoch's.
func (m Membership) current(node string, since uint64) bool {
	return since != 0 && m.Members[node] == since
}

// KeeperOptions configure a Keeper.
type KeeperOptions struct {
	Node        string
	Incarnation uint64        // differs each time that the controller starts
	Lease       time.Duration // of the duties; 0: duties are off
	Store       Store
	Cache       *RecordCache
	// Ready reports whether all controllers can decode what is stored for duties.
	Ready      func() bool
	Membership func() Membership
	MaxChanges int // the store's limit of a transaction's changes
	History    *History
	Log        *slog.Logger
}

// Keeper acquires, renews and resigns this controller's duties. It is safe for concurrent
// use.
type Keeper struct {
	opts KeeperOptions
	poke chan struct{}

	mu      sync.Mutex
	session session
	wanted  map[ID]time.Time // duties that this controller should hold, and since when
	held    map[ID]uint64    // tokens of the duties last seen as held, for log and history
	paused  map[ID]time.Time // duties handed over, not to be acquired before then
}

// NewKeeper returns a Keeper that does nothing until Run is called.
func NewKeeper(opts KeeperOptions) *Keeper {
	return &Keeper{opts: opts, poke: make(chan struct{}, 1), wanted: map[ID]time.Time{}, held: map[ID]uint64{}, paused: map[ID]time.Time{}}
}

// Active reports whether actions are fenced: duties are on, and every controller can decode
// what they store.
func (k *Keeper) Active() bool { return k.opts.Lease > 0 && k.opts.Ready() }

// Poke makes the Keeper look at once because the epoch or a duty has changed. It does not
// block.
func (k *Keeper) Poke() {
	select {
	case k.poke <- struct{}{}:
	default:
	}
}

// Run keeps the duties until ctx ends. It returns nil.
func (k *Keeper) Run(ctx context.Context) error {
	if k.opts.Lease <= 0 {
		return nil
	}
	tick := time.NewTicker(k.opts.Lease / renewalsPerLease)
	defer tick.Stop()
	renew := true
	for {
		if k.Active() {
			k.reconcile(ctx, renew)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			renew = true
		case <-k.poke:
			renew = false
		}
	}
}

// reconcile keeps the session, then resigns and acquires duties until this controller
// holds the ones it should.
func (k *Keeper) reconcile(ctx context.Context, renew bool) {
	membership := k.opts.Membership()
	k.recordHeld(time.Now())
	k.updateWanted(membership, time.Now())
	if !k.keepSession(ctx, membership, renew) {
		return
	}
	k.resignUnwanted(ctx)
	k.acquireWanted(ctx, membership)
	k.recordHeld(time.Now())
}

// assigned returns the duties that an epoch assigns to this controller.
func (k *Keeper) assigned(m Membership) []ID {
	if m.Since == 0 {
		return nil
	}
	ids := []ID{{Return, Shard(k.opts.Node)}, {Cleanup, Shard(k.opts.Node)}}
	if m.Leads {
		ids = append(ids, ID{Rent, Fleet}, ID{Reclaim, Fleet}, ID{Cleanup, Fleet})
	}
	return ids
}

// updateWanted notes which duties this controller should hold.
func (k *Keeper) updateWanted(m Membership, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	ids := k.assigned(m)
	maps.DeleteFunc(k.wanted, func(id ID, _ time.Time) bool { return !slices.Contains(ids, id) })
	for _, id := range ids {
		if now.Before(k.paused[id]) {
			delete(k.wanted, id)
		} else if k.wanted[id].IsZero() {
			k.wanted[id] = now
		}
	}
}

// restartWaitLocked returns how long this controller has wanted a duty and counts anew
// from now; 0 if it does not want it.
func (k *Keeper) restartWaitLocked(id ID, now time.Time) time.Duration {
	since, wanted := k.wanted[id]
	if !wanted {
		return 0
	}
	k.wanted[id] = now
	return now.Sub(since)
}

// recordHeld logs and records the duties that this controller has acquired or lost since
// the last call.
func (k *Keeper) recordHeld(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	ids := slices.AppendSeq(slices.Collect(maps.Keys(k.wanted)), maps.Keys(k.held))
	slices.SortFunc(ids, compareIDs)
	for _, id := range slices.Compact(ids) {
		k.recordHeldLocked(id, now)
	}
}

// recordHeldLocked does what recordHeld does for one duty.
func (k *Keeper) recordHeldLocked(id ID, now time.Time) {
	h := k.opts.Cache.holderOf(id)
	previous := k.held[id]
	holds := h.Node == k.opts.Node && h.Session == k.session.version && !h.corrupt
	switch {
	case holds && previous != h.token:
		k.held[id] = h.token
		waited := k.restartWaitLocked(id, now)
		k.opts.Log.Info("duty acquired", "duty", id, "token", h.token, "after", waited)
		k.opts.History.add(wire.DutyEvent{At: now, Kind: string(EventAcquired), Duty: id.String(), Node: k.opts.Node, Token: h.token, TookS: waited.Seconds()})
	case !holds && previous != 0:
		delete(k.held, id)
		k.restartWaitLocked(id, now)
		k.opts.Log.Info("duty resigned or lost", "duty", id, "token", previous, "holder", h.Node)
		k.opts.History.add(wire.DutyEvent{At: now, Kind: string(EventLost), Duty: id.String(), Node: k.opts.Node, Token: previous})
	}
}
