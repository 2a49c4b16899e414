package duty

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"heronwick/internal/state"
	"heronwick/wire"
)

// Store is the part of the state service's client that this package needs.
type Store interface {
	Txn(ctx context.Context, p state.Priority, txn wire.Txn) (revision uint64, err error)
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	Renew(ctx context.Context, lease uint64) error
}

// Membership is what a Keeper goes by: the newest epoch that its controller knows.
type Membership struct {
	Epoch   wire.Condition
	Since   uint64 // of this controller's membership; 0: it is no member
	Leads   bool
	Members map[string]uint64 // the memberships, by node
	Fresh   bool              // all that was written under older epochs has been seen
}

// current tells whether a node's membership is one of the epoch's.
func (m Membership) current(node string, since uint64) bool {
	return since != 0 && m.Members[node] == since
}

// KeeperOptions are what a Keeper needs.
type KeeperOptions struct {
	Node        string
	Incarnation uint64
	Lease       time.Duration // 0: duties are off
	Store       Store
	Ledger      *Ledger
	// Ready tells whether all controllers understand what is stored for duties.
	Ready      func() bool
	Membership func() Membership
	MaxChanges int // of a transaction
	History    *History
	Log        *slog.Logger
}

// Keeper acquires, keeps and gives up this controller's duties.
type Keeper struct {
	opts KeeperOptions
	poke chan struct{}

	mu      sync.Mutex
	session session
	wanted  map[ID]time.Time // since when this controller should hold them
	held    map[ID]uint64    // tokens, as last seen, for the log and the history
	paused  map[ID]time.Time // given up on request until then
}

// handoverPause is how long a controller that was told to hand a duty over leaves it
// to others.
const handoverPause = 2 * time.Second

// NewKeeper makes a Keeper; Run has it act.
func NewKeeper(opts KeeperOptions) *Keeper {
	return &Keeper{opts: opts, poke: make(chan struct{}, 1), wanted: map[ID]time.Time{}, held: map[ID]uint64{}, paused: map[ID]time.Time{}}
}

// Active tells whether actions are guarded: duties are on, and every controller
// understands what they store.
func (k *Keeper) Active() bool { return k.opts.Lease > 0 && k.opts.Ready() }

// Poke has the Keeper look at once: the epoch or a duty has changed.
func (k *Keeper) Poke() {
	select {
	case k.poke <- struct{}{}:
	default:
	}
}

// Run keeps the duties until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	if k.opts.Lease <= 0 {
		return nil
	}
	tick := time.NewTicker(k.opts.Lease / renewalsPerLease)
	defer tick.Stop()
	renew := true
	for {
		if k.Active() {
			k.round(ctx, renew)
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

// round keeps the session, and acquires and gives up what is due.
func (k *Keeper) round(ctx context.Context, renew bool) {
	membership := k.opts.Membership()
	k.noteHeld(time.Now())
	k.want(membership, time.Now())
	if !k.keepSession(ctx, membership, renew) {
		return
	}
	k.resignUnwanted(ctx)
	k.acquireWanted(ctx, membership)
	k.noteHeld(time.Now())
}

// wantedIn is what a controller should hold by an epoch.
func (k *Keeper) wantedIn(m Membership) []ID {
	if m.Since == 0 {
		return nil
	}
	ids := []ID{{Return, Share(k.opts.Node)}, {Cleanup, Share(k.opts.Node)}}
	if m.Leads {
		ids = append(ids, ID{Rent, Fleet}, ID{Reclaim, Fleet}, ID{Cleanup, Fleet})
	}
	return ids
}

// want notes what this controller should hold.
func (k *Keeper) want(m Membership, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	ids := k.wantedIn(m)
	maps.DeleteFunc(k.wanted, func(id ID, _ time.Time) bool { return !slices.Contains(ids, id) })
	for _, id := range ids {
		if now.Before(k.paused[id]) {
			delete(k.wanted, id)
		} else if k.wanted[id].IsZero() {
			k.wanted[id] = now
		}
	}
}

// keepSession sees to it that a member has a lease and a session key. It returns
// false if there is none.
func (k *Keeper) keepSession(ctx context.Context, m Membership, renew bool) bool {
	k.mu.Lock()
	s := k.session
	k.mu.Unlock()
	seen := k.opts.Ledger.sessionOf(k.opts.Node)
	switch {
	case s.lease == 0 || seen != s.version && k.opts.Ledger.hasSeen(s.version):
		// None yet, or its key is gone, or another life of this node has begun one. Of
		// two lives only one is a member.
		return m.Since != 0 && k.beginSession(ctx, seen)
	case renew:
		return k.renewSession(ctx, s)
	}
	return s.valid(time.Now())
}

// beginSession begins a session, in place of that of a former life.
func (k *Keeper) beginSession(ctx context.Context, former uint64) bool {
	sent := time.Now()
	lease, err := k.opts.Store.Grant(ctx, k.opts.Lease)
	if err != nil {
		k.opts.Log.Debug("no lease for duties", "err", err)
		return false
	}
	version, err := k.opts.Store.Txn(ctx, state.Urgent, wire.Txn{
		If:   []wire.Condition{{Key: sessionKey(k.opts.Node), Version: former}},
		Then: []wire.Change{{Put: sessionKey(k.opts.Node), Value: encode(sessionRecord{Incarnation: k.opts.Incarnation}), Lease: lease}},
	})
	if err != nil {
		// Carried out late, it leaves a key that its lease removes.
		k.opts.Log.Debug("no session for duties", "err", err)
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.session = session{lease: lease, version: version, until: deadline(sent, k.opts.Lease)}
	return true
}

// renewSession renews the lease. An answer that comes late counts from when it was
// asked for.
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
		k.session.until = deadline(sent, k.opts.Lease)
	case errors.Is(err, state.ErrNotFound):
		k.opts.Log.Info("the lease of the duties has lapsed")
		k.session = session{}
	default:
		k.opts.Log.Debug("renewing the lease of the duties failed", "err", err)
	}
	return k.session.valid(time.Now())
}

// acquireWanted takes every duty that this controller should hold and may take.
func (k *Keeper) acquireWanted(ctx context.Context, m Membership) {
	k.mu.Lock()
	s, ids := k.session, slices.Collect(maps.Keys(k.wanted))
	k.mu.Unlock()
	if !m.Fresh || m.Since == 0 {
		return
	}
	txn := wire.Txn{If: []wire.Condition{m.Epoch, {Key: sessionKey(k.opts.Node), Version: s.version}}}
	record := encode(holderRecord{Node: k.opts.Node, Since: m.Since, Session: s.version})
	for _, id := range ids {
		h := k.opts.Ledger.holderOf(id)
		if k.mine(h, s, m) {
			continue
		}
		evidence, free := k.free(h, m)
		if !free {
			continue
		}
		if len(txn.Then) == k.opts.MaxChanges {
			k.Poke() // the others at once after these
			break
		}
		txn.If = append(append(txn.If, wire.Condition{Key: holderKey(id), Version: h.token}), evidence...)
		txn.Then = append(txn.Then, wire.Change{Put: holderKey(id), Value: record})
	}
	if len(txn.Then) == 0 {
		return
	}
	if _, err := k.opts.Store.Txn(ctx, state.Urgent, txn); err != nil {
		// Somebody was faster, or the answer is lost: the watch tells.
		k.opts.Log.Debug("acquiring duties failed", "duties", ids, "err", err)
	}
}

// mine tells whether a duty's record names this controller's session and membership.
func (k *Keeper) mine(h holder, s session, m Membership) bool {
	return !h.damaged && h.Node == k.opts.Node && h.Session == s.version && s.version != 0 && h.Since == m.Since
}

// free tells whether a duty may be taken: it was given up, its holder's membership is
// over, or its holder's lease has lapsed. evidence is what must still hold for that.
func (k *Keeper) free(h holder, m Membership) (evidence []wire.Condition, free bool) {
	switch {
	case h.damaged:
		return nil, false // reported when it was seen
	case h.Node == "":
		return nil, true
	case h.Node == k.opts.Node, !m.current(h.Node, h.Since):
		return nil, true // the own session and the epoch are conditions anyway
	}
	seen := k.opts.Ledger.sessionOf(h.Node)
	if seen == h.Session {
		return nil, false
	}
	return []wire.Condition{{Key: sessionKey(h.Node), Version: seen}}, true
}

// resignUnwanted gives up what this controller holds and should not.
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
		h := k.opts.Ledger.holderOf(id)
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
		k.opts.Log.Debug("giving up duties failed", "duties", ids, "err", err)
	}
}

// HandOver gives a duty up, for another controller or for a new token.
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

// Clear removes the record of a duty that cannot be read, at an operator's word. The
// duty is then taken anew, under a higher token. Intents under the record's own token
// are finished as those of any former holder.
func (k *Keeper) Clear(ctx context.Context, id ID) error {
	h := k.opts.Ledger.holderOf(id)
	if !h.damaged {
		return fmt.Errorf("%w: %s", ErrNotDamaged, id)
	}
	_, err := k.opts.Store.Txn(ctx, state.Urgent, wire.Txn{
		If:   []wire.Condition{{Key: holderKey(id), Version: h.token}},
		Then: []wire.Change{{Delete: holderKey(id)}},
	})
	if err != nil {
		return fmt.Errorf("clearing the record of %s: %w", id, err)
	}
	k.opts.Log.Info("duty's damaged record cleared", "duty", id, "version", h.token)
	return nil
}

// Guard returns the right to act for a duty. Without duties everybody has it.
func (k *Keeper) Guard(id ID) (Guard, error) {
	if !k.Active() {
		return Guard{unfenced: true}, nil
	}
	h := k.opts.Ledger.holderOf(id)
	if err := k.check(id, h.token); err != nil {
		return Guard{}, err
	}
	return Guard{keeper: k, id: id, token: h.token}, nil
}

// check tells whether this controller holds a duty under a token: the watch has shown
// its record, and so everything before it, and the lease has surely not lapsed.
func (k *Keeper) check(id ID, token uint64) error {
	m := k.opts.Membership()
	h := k.opts.Ledger.holderOf(id)
	k.mu.Lock()
	s := k.session
	k.mu.Unlock()
	switch {
	case h.damaged:
		return fmt.Errorf("%w: %s", ErrDamaged, id)
	case h.token != token && token != 0 && h.Node != k.opts.Node:
		return fmt.Errorf("%w: %s is held by %q", ErrReplaced, id, h.Node)
	case h.token != token || !k.mine(h, s, m) || k.opts.Ledger.sessionOf(k.opts.Node) != s.version:
		return fmt.Errorf("%w: %s", ErrNotHeld, id)
	case !s.valid(time.Now()):
		return fmt.Errorf("%w: %s", ErrLapsed, id)
	}
	return nil
}

// dueLocked returns how long a duty has been due, and counts anew from now.
func (k *Keeper) dueLocked(id ID, now time.Time) time.Duration {
	since, due := k.wanted[id]
	if !due {
		return 0
	}
	k.wanted[id] = now
	return now.Sub(since)
}

// noteHeld logs and records which duties this controller has come to hold, or holds
// no longer.
func (k *Keeper) noteHeld(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	ids := slices.AppendSeq(slices.Collect(maps.Keys(k.wanted)), maps.Keys(k.held))
	slices.SortFunc(ids, func(a, b ID) int { return slices.Compare([]string{a.String()}, []string{b.String()}) })
	for _, id := range slices.Compact(ids) {
		h := k.opts.Ledger.holderOf(id)
		was := k.held[id]
		holds := h.Node == k.opts.Node && h.Session == k.session.version && !h.damaged
		switch {
		case holds && was != h.token:
			k.held[id] = h.token
			took := k.dueLocked(id, now)
			k.opts.Log.Info("duty acquired", "duty", id, "token", h.token, "after", took)
			k.opts.History.add(Event{At: now, Kind: EventAcquired, Duty: id.String(), Node: k.opts.Node, Token: h.token, Took: took})
		case !holds && was != 0:
			delete(k.held, id)
			_ = k.dueLocked(id, now)
			k.opts.Log.Info("duty given up or lost", "duty", id, "token", was, "holder", h.Node)
			k.opts.History.add(Event{At: now, Kind: EventLost, Duty: id.String(), Node: k.opts.Node, Token: was})
		}
	}
}
