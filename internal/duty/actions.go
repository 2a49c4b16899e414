package duty

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"heronwick/internal/cloud"
	"heronwick/internal/state"
	"heronwick/wire"
)

// Provider changes which machines there are. Only Actions calls it.
type Provider interface {
	Rent(ctx context.Context, req wire.RentRequest) ([]string, error)
	Return(ctx context.Context, machines []string) error
}

// FencingProvider is a Provider that takes a fencing token and refuses requests
// whose token is lower than the highest that it has seen. The cloud of PROTOCOL
// cannot; one that can makes late requests of former holders fail by itself.
type FencingProvider interface {
	Provider
	RentFenced(ctx context.Context, token uint64, req wire.RentRequest) ([]string, error)
	ReturnFenced(ctx context.Context, token uint64, machines []string) error
}

// Committer writes in groups.
type Committer interface {
	Commit(ctx context.Context, w state.Write) (uint64, error)
}

// ActionsOptions are what Actions needs.
type ActionsOptions struct {
	Node       string
	Provider   Provider
	Keeper     *Keeper
	Ledger     *Ledger
	Committer  Committer
	Membership func() Membership
	ValueBytes int // that a value of the store may have
	History    *History
	Log        *slog.Logger
}

// Actions is the only way to the Provider. With duties on, every action is recorded
// before it is sent.
type Actions struct {
	opts ActionsOptions

	mu       sync.Mutex
	written  uint64
	returned map[string]time.Time // machines that are gone, of intents that are not closed
	refusals map[ID]time.Time
	closing  bool
}

// NewActions makes Actions.
func NewActions(opts ActionsOptions) *Actions {
	return &Actions{opts: opts, returned: map[string]time.Time{}, refusals: map[ID]time.Time{}}
}

// Guard returns the right to act for a duty; a refusal is recorded.
func (a *Actions) Guard(id ID) (Guard, error) {
	guard, err := a.opts.Keeper.Guard(id)
	if err != nil {
		a.refused(id, 0, err)
	}
	return guard, err
}

// Active tells whether actions are recorded before they are sent.
func (a *Actions) Active() bool { return a.opts.Keeper.Active() }

// Condemned tells whether a machine is to be returned, by whomever: nobody may place
// on it any more. It holds also while duties are off.
func (a *Actions) Condemned(machine string) bool { return a.opts.Ledger.Condemned(machine) }

// Abandoned returns the condemned machines that nobody but the leader returns: those
// who condemned them are no members any more.
func (a *Actions) Abandoned() []string {
	return a.opts.Ledger.Abandoned(a.opts.Membership().current)
}

// refusalsEvery is how often the refusals of one duty are told of: in an outage the same
// is tried again and again.
const refusalsEvery = 5 * time.Second

// refused records that something was not done since a duty is not held.
func (a *Actions) refused(id ID, token uint64, err error) {
	event := Event{At: time.Now(), Kind: EventRefused, Duty: id.String(), Node: a.opts.Node, Token: token}
	a.mu.Lock()
	again := event.At.Sub(a.refusals[id]) < refusalsEvery
	if !again {
		a.refusals[id] = event.At
	}
	a.mu.Unlock()
	if again {
		a.opts.History.count(event.Kind)
		return
	}
	a.opts.Log.Info("duty refused", "duty", id, "token", token, "err", err)
	a.opts.History.add(event)
}

// nextKey is a key that no other write ever has.
func (a *Actions) nextKey(prefix string) string {
	a.mu.Lock()
	a.written++
	written := a.written
	a.mu.Unlock()
	return state.MemberKey(prefix, a.opts.Node, a.opts.Membership().Since, strconv.FormatUint(written, 10))
}

// record writes an intent, on the condition of the duty and of the caller's fence.
func (a *Actions) record(ctx context.Context, g Guard, fence state.FencingCondition, priority state.Priority, key string, record any) error {
	if err := g.Check(); err != nil {
		a.refused(g.id, g.token, err)
		return err
	}
	value := encode(record)
	if len(value) > a.opts.ValueBytes {
		return fmt.Errorf("an intent of %d bytes does not fit a value of the store", len(value))
	}
	version, err := a.opts.Committer.Commit(ctx, fence.Bind(g.Bind(state.Write{
		Priority: priority, Persist: true,
		If:   []wire.Condition{{Key: key}},
		Then: []wire.Change{{Put: key, Value: value}},
	})))
	var conflict *state.Conflict
	if errors.As(err, &conflict) && conflict.Includes(holderKey(g.id)) {
		err = fmt.Errorf("%w: %s", ErrReplaced, g.id)
		a.refused(g.id, g.token, err)
	}
	if err != nil {
		return err
	}
	a.opts.Ledger.note(key, value, version)
	return nil
}

// condemnedOverhead is more than an intent to return takes beside its machines' names.
const condemnedOverhead = 256

// nameSyntax is what a machine's name takes of a record beside itself.
const nameSyntax = len(`"",`)

// MaxCondemned returns how many of the machines fit one intent.
func (a *Actions) MaxCondemned(machines []string) int {
	return state.NamesThatFit(machines, condemnedOverhead, nameSyntax, a.opts.ValueBytes)
}

// Condemnation is the right to return machines: an intent to do so is recorded, or
// duties are off. The zero Condemnation permits nothing.
type Condemnation struct {
	id       ID
	token    uint64
	machines []string
	unfenced bool
}

// Condemn records that machines are to be returned. From then on nobody places on
// them, so that returning them is harmless whenever it is carried out. fence ties
// it to what the caller knows of who owns them.
func (a *Actions) Condemn(ctx context.Context, id ID, fence state.FencingCondition, machines []string, why string) (Condemnation, error) {
	fresh := slices.DeleteFunc(slices.Clone(machines), a.Condemned)
	if len(fresh) == 0 {
		return Condemnation{id: id, machines: machines}, nil // also while nobody can hold the duty
	}
	g, err := a.Guard(id)
	if err != nil {
		return Condemnation{}, err
	}
	if g.unfenced {
		return Condemnation{id: id, machines: machines, unfenced: true}, nil
	}
	began := time.Now()
	record := condemnedRecord{Duty: id.String(), Token: g.token, Why: why, Machines: fresh}
	if err := a.record(ctx, g, fence, state.Urgent, a.nextKey(condemnedPrefix), record); err != nil {
		return Condemnation{}, fmt.Errorf("condemning machines: %w", err)
	}
	a.opts.History.add(Event{At: time.Now(), Kind: EventCondemned, Duty: id.String(), Node: a.opts.Node, Token: g.token, Count: len(fresh), Took: time.Since(began)})
	return Condemnation{id: id, token: g.token, machines: machines}, nil
}

// GiveBack returns condemned machines. It may be sent by anybody at any time, also
// after the duty was lost, and after another has returned them and closed the intent.
func (a *Actions) GiveBack(ctx context.Context, c Condemnation) error {
	if len(c.machines) == 0 {
		return fmt.Errorf("%w: returning machines", ErrNoIntent)
	}
	began := time.Now()
	if err := a.sendReturn(ctx, c); err != nil {
		return err
	}
	if !c.unfenced {
		a.opts.History.add(Event{At: time.Now(), Kind: EventReturned, Duty: c.id.String(), Node: a.opts.Node, Token: c.token, Count: len(c.machines), Took: time.Since(began)})
	}
	a.noteReturned(c.machines)
	return nil
}

// GiveBackUnrecorded returns machines without an intent. It is for cancelled tasks
// that must be gone by a time while the store cannot be reached: nobody else can
// come to own such a machine meanwhile, and the request may harm it only if it is
// carried out after that.
func (a *Actions) GiveBackUnrecorded(ctx context.Context, id ID, machines []string) error {
	a.opts.Log.Warn("machines are returned though that is not recorded: a cancelled task must be gone", "duty", id, "machines", machines)
	a.opts.History.add(Event{At: time.Now(), Kind: EventUnrecorded, Duty: id.String(), Node: a.opts.Node, Count: len(machines)})
	if err := a.opts.Provider.Return(ctx, machines); err != nil {
		return err
	}
	a.noteReturned(machines)
	return nil
}

func (a *Actions) sendReturn(ctx context.Context, c Condemnation) error {
	if p, ok := a.opts.Provider.(FencingProvider); ok && c.token != 0 {
		return p.ReturnFenced(ctx, c.token, c.machines)
	}
	return a.opts.Provider.Return(ctx, c.machines)
}

func (a *Actions) noteReturned(machines []string) {
	if !a.Active() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, machine := range machines {
		a.returned[machine] = time.Now()
	}
}

// maxClosed bounds how many intents are removed at once.
const maxClosed = 4

// CloseReturns removes the intents whose machines are all gone. settled tells whether
// nobody takes a machine for one that is there; until then its intent stays. id is the
// duty of cleaning up.
func (a *Actions) CloseReturns(ctx context.Context, id ID, settled func(machine string) bool) {
	if !a.beginClosing() {
		return
	}
	defer a.endClosing()
	guard, err := a.Guard(id)
	if err != nil {
		return
	}
	a.dropClosedElsewhere()
	closed := 0
	for _, open := range a.opts.Ledger.condemnations() {
		gone := func(machine string) bool { return a.isReturned(machine) && settled(machine) }
		if closed == maxClosed || slices.ContainsFunc(open.Machines, func(m string) bool { return !gone(m) }) {
			continue
		}
		closed++
		if a.closeIntent(ctx, guard, open.key, open.version, len(open.Machines)) {
			a.forgetReturned(open.Machines)
		}
	}
}

// intentLate is how much later than its machines' return an intent may come to be: one
// whose write had no answer, of a machine that was returned without waiting for it.
const intentLate = 10 * time.Minute

// dropClosedElsewhere forgets returned machines whose intents another has removed, or
// that never had one.
func (a *Actions) dropClosedElsewhere() {
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.returned, func(machine string, at time.Time) bool {
		return !a.opts.Ledger.Condemned(machine) && time.Since(at) > intentLate
	})
}

func (a *Actions) beginClosing() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closing || len(a.returned) == 0 {
		return false
	}
	a.closing = true
	return true
}

func (a *Actions) endClosing() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closing = false
}

func (a *Actions) isReturned(machine string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.returned[machine].IsZero()
}

func (a *Actions) forgetReturned(machines []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, machine := range machines {
		delete(a.returned, machine)
	}
}

// closeIntent removes an intent, on the condition of its version and of the duty. A
// late copy of the write that made it would bring it back, which harms nothing: its
// machines are gone, and its rentals are answered as they were.
func (a *Actions) closeIntent(ctx context.Context, guard Guard, key string, version uint64, count int) bool {
	_, err := a.opts.Committer.Commit(ctx, guard.Bind(state.Write{
		Priority: state.Background,
		If:       []wire.Condition{{Key: key, Version: version}},
		Then:     []wire.Change{{Delete: key}},
	}))
	if err != nil {
		a.opts.Log.Debug("closing an intent failed", "key", key, "err", err)
		return false
	}
	a.opts.Ledger.forget(key, version)
	a.opts.History.add(Event{At: time.Now(), Kind: EventClosed, Duty: guard.id.String(), Node: a.opts.Node, Token: guard.token, Count: count})
	return true
}

// OpenRentals returns the requests that are recorded and not known to be answered, of
// this and of former holders, the oldest first.
func (a *Actions) OpenRentals() []OpenRental { return a.opts.Ledger.rentals() }

// maxRentalRequest is more than a request takes of a record beside its names.
const maxRentalRequest = 128

// RecordRentals records requests before they are sent, as many of them as fit one
// intent. With duties off it records nothing and returns one that is open all the same.
func (a *Actions) RecordRentals(ctx context.Context, g Guard, fence state.FencingCondition, requests []wire.RentRequest) (OpenRental, error) {
	if g.unfenced || len(requests) == 0 {
		return OpenRental{Requests: requests}, nil
	}
	size := maxRentalRequest
	for i, r := range requests {
		if size += maxRentalRequest + len(r.Request) + len(r.Type) + len(r.Zone); i > 0 && size > a.opts.ValueBytes {
			requests = requests[:i]
			break
		}
	}
	began := time.Now()
	key := a.nextKey(rentalPrefix)
	if err := a.record(ctx, g, fence, state.Placement, key, rentalRecord{Token: g.token, Requests: requests}); err != nil {
		return OpenRental{}, fmt.Errorf("recording rentals: %w", err)
	}
	a.opts.History.add(Event{At: time.Now(), Kind: EventRenting, Duty: g.id.String(), Node: a.opts.Node, Token: g.token, Count: len(requests), Took: time.Since(began)})
	for _, open := range a.opts.Ledger.rentals() {
		if open.key == key {
			return open, nil
		}
	}
	return OpenRental{}, fmt.Errorf("%w: renting", ErrNoIntent)
}

// Rent sends one recorded request. Repeating it rents nothing twice.
func (a *Actions) Rent(ctx context.Context, g Guard, req wire.RentRequest) ([]string, error) {
	if err := g.Check(); err != nil {
		a.refused(g.id, g.token, err)
		return nil, err
	}
	if !g.unfenced && !a.opts.Ledger.recorded(req.Request) {
		return nil, fmt.Errorf("%w: renting %s", ErrNoIntent, req.Request)
	}
	began := time.Now()
	names, err := a.sendRent(ctx, g, req)
	if !g.unfenced && (err == nil || errors.Is(err, cloud.ErrNoCapacity)) {
		a.opts.History.add(Event{At: time.Now(), Kind: EventRented, Duty: g.id.String(), Node: a.opts.Node, Token: g.token, Count: len(names), Took: time.Since(began)})
	}
	return names, err
}

func (a *Actions) sendRent(ctx context.Context, g Guard, req wire.RentRequest) ([]string, error) {
	if p, ok := a.opts.Provider.(FencingProvider); ok && !g.unfenced {
		return p.RentFenced(ctx, g.token, req)
	}
	return a.opts.Provider.Rent(ctx, req)
}

// CloseRental removes an intent to rent whose requests were all answered.
func (a *Actions) CloseRental(ctx context.Context, g Guard, open OpenRental) {
	if g.unfenced || open.key == "" {
		return
	}
	a.closeIntent(ctx, g, open.key, open.version, len(open.Requests))
}

// Unguarded makes Actions for which duties are off: whoever asks may act, and nothing
// is recorded.
func Unguarded(provider Provider, log *slog.Logger) *Actions {
	ledger, history := NewLedger(log), NewHistory()
	keeper := NewKeeper(KeeperOptions{Ledger: ledger, History: history, Log: log})
	return NewActions(ActionsOptions{Provider: provider, Keeper: keeper, Ledger: ledger, History: history, Log: log,
		Membership: func() Membership { return Membership{} }, ValueBytes: math.MaxInt})
}
