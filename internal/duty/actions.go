package duty

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"strconv"
	"sync"
	"time"

	"heronwick/internal/state"
	"heronwick/wire"
)

// Provider rents and returns machines. Only Actions calls it.
type Provider interface {
	// Rent rents machines and returns their names. Repeating a request with the same ID
	// rents no further machines.
	Rent(ctx context.Context, req wire.RentRequest) ([]string, error)
	// Return returns machines to the cloud. It ignores machines that no longer exist.
	Return(ctx context.Context, machines []string) error
}

// FencingProvider is a Provider that checks fencing tokens: it refuses requests whose token
// is lower than the highest that it has seen, and therefore late requests of earlier
// holders. The published cloud protocol does not support fencing tokens.
type FencingProvider interface {
	Provider
	RentFenced(ctx context.Context, token uint64, req wire.RentRequest) ([]string, error)
	ReturnFenced(ctx context.Context, token uint64, machines []string) error
}

// Committer groups writes to the store into transactions.
type Committer interface {
	// Commit executes a write and returns the store's revision after it.
	Commit(ctx context.Context, w state.Write) (uint64, error)
}

// ActionsOptions configure Actions.
type ActionsOptions struct {
	Node          string
	Provider      Provider
	Manager       *Manager
	RecordCache   *RecordCache
	Committer     Committer
	Membership    func() Membership
	MaxValueBytes int // the store's limit on the size of a value
	History       *History
	Log           *slog.Logger
}

// Actions sends all requests that rent or return machines to the Provider. While duties are
// on, it requires a recorded intent for every action, except for SendUnrecordedReturn. It is
// safe for concurrent use.
type Actions struct {
	opts ActionsOptions

	mu              sync.Mutex
	intentSeq       uint64               // number of intent keys generated so far
	returned        map[string]time.Time // when machines were returned whose intents may still be open
	refusalLoggedAt map[ID]time.Time     // when a refusal was last logged, by duty
	closing         bool                 // a call of CloseReturns is running
}

// NewActions returns Actions with the given options.
func NewActions(opts ActionsOptions) *Actions {
	return &Actions{opts: opts, returned: map[string]time.Time{}, refusalLoggedAt: map[ID]time.Time{}}
}

// NewUnfencedActions returns Actions with duties off: every action is permitted, and no
// intent is recorded.
func NewUnfencedActions(provider Provider, log *slog.Logger) *Actions {
	cache, history := NewRecordCache(log), NewHistory()
	manager := NewManager(ManagerOptions{RecordCache: cache, History: history, Log: log})
	return NewActions(ActionsOptions{
		Provider: provider, Manager: manager, RecordCache: cache, History: history, Log: log,
		Membership: func() Membership { return Membership{} }, MaxValueBytes: math.MaxInt,
	})
}

// Active reports whether actions require a recorded intent; see Manager.Active.
func (a *Actions) Active() bool { return a.opts.Manager.Active() }

// Guard returns the result of Manager.Guard and records a refusal.
func (a *Actions) Guard(id ID) (Guard, error) {
	guard, err := a.opts.Manager.Guard(id)
	if err != nil {
		a.recordRefusal(id, 0, err)
	}
	return guard, err
}

// recordEvent adds an event of a duty, at the current time, to the history. details contains
// its token, count and duration.
func (a *Actions) recordEvent(kind EventKind, id ID, details wire.DutyEvent) {
	details.At, details.Kind, details.Duty, details.Node = time.Now(), string(kind), id.String(), a.opts.Node
	a.opts.History.add(details)
}

// refusalInterval is the minimum interval between log messages about refusals of the same
// duty: during an outage the same action is retried continually.
const refusalInterval = 5 * time.Second

// recordRefusal records in the log and the history that an action was refused because a duty
// is not held. A repeated refusal within refusalInterval is only counted.
func (a *Actions) recordRefusal(id ID, token uint64, err error) {
	now := time.Now()
	a.mu.Lock()
	repeated := now.Sub(a.refusalLoggedAt[id]) < refusalInterval
	if !repeated {
		a.refusalLoggedAt[id] = now
	}
	a.mu.Unlock()
	if repeated {
		a.opts.History.countRepeated(EventRefused)
		return
	}
	a.opts.Log.Info("duty refused", "duty", id, "token", token, "err", err)
	a.recordEvent(EventRefused, id, wire.DutyEvent{Token: token})
}

// checkGuard returns the error of Guard.Check and records a refusal.
func (a *Actions) checkGuard(guard Guard) error {
	err := guard.Check()
	if err != nil {
		a.recordRefusal(guard.id, guard.token, err)
	}
	return err
}

// newIntentKey returns a key under prefix that is never used for another intent.
func (a *Actions) newIntentKey(prefix string) string {
	a.mu.Lock()
	a.intentSeq++
	number := a.intentSeq
	a.mu.Unlock()
	return state.MemberKey(prefix, a.opts.Node, a.opts.Membership().Since, strconv.FormatUint(number, 10))
}

// recordIntent writes an intent to a new key, with the guard's conditions and the caller's
// fence as conditions of the write. It returns an error of Guard.Check, ErrIntentTooLarge or
// the error of the write.
func (a *Actions) recordIntent(ctx context.Context, guard Guard, fence state.FencingCondition, priority state.Priority, key string, record any) error {
	if err := a.checkGuard(guard); err != nil {
		return err
	}
	value := encode(record)
	if len(value) > a.opts.MaxValueBytes {
		return fmt.Errorf("%w: %d bytes, at most %d", ErrIntentTooLarge, len(value), a.opts.MaxValueBytes)
	}
	version, err := a.opts.Committer.Commit(ctx, fence.Bind(guard.Bind(state.Write{
		Priority: priority, RetryUntilAnswered: true,
		If:   []wire.Condition{{Key: key}},
		Then: []wire.Change{{Put: key, Value: value}},
	})))
	var conflict *state.Conflict
	if errors.As(err, &conflict) && conflict.Includes(holderKey(guard.id)) {
		err = fmt.Errorf("%w: %s", ErrReplaced, guard.id)
		a.recordRefusal(guard.id, guard.token, err)
	}
	if err != nil {
		return err
	}
	a.opts.RecordCache.applyWrite(key, value, version)
	return nil
}

// closeIntent removes an intent of count machines or requests, on the conditions that its
// version is unchanged and the guard still holds, and reports whether it succeeded. A late
// copy of the write that recorded the intent may bring the intent back. That is harmless:
// its machines no longer exist, and the cloud answers its requests as before.
func (a *Actions) closeIntent(ctx context.Context, guard Guard, key string, version uint64, count int) bool {
	_, err := a.opts.Committer.Commit(ctx, guard.Bind(state.Write{
		Priority: state.Background,
		If:       []wire.Condition{{Key: key, Version: version}},
		Then:     []wire.Change{{Delete: key}},
	}))
	if err != nil {
		a.opts.Log.Debug("failed to close an intent", "key", key, "err", err)
		return false
	}
	a.opts.RecordCache.applyRemoval(key, version)
	a.recordEvent(EventClosed, guard.id, wire.DutyEvent{Token: guard.token, Count: count})
	return true
}
