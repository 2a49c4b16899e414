package handover

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"heronwick/internal/cloud"
	"heronwick/internal/duty"
	"heronwick/internal/state"
	"heronwick/internal/wait"
	"heronwick/wire"
)

// epoch is who leads, and since when each member is one.
type epoch struct {
	Leader  string            `json:"leader"`
	Members map[string]uint64 `json:"members"`
	// Quiet: what was begun is finished, and nothing new is.
	Quiet bool `json:"quiet"`
}

// Machines are those that a service rents.
type Machines interface {
	duty.Provider
	List(ctx context.Context) ([]wire.Machine, error)
}

// MemberOptions are what a Member needs.
type MemberOptions struct {
	Node     string
	Lease    time.Duration // 0: duties are off
	State    state.Doer
	Provider Machines
	Seed     uint64
	Pace     time.Duration // between two actions
	Log      *slog.Logger
}

// Member is a small controller: while it leads it rents machines, places on them and
// returns them.
type Member struct {
	opts    MemberOptions
	client  *state.Client
	ledger  *duty.Ledger
	keeper  *duty.Keeper
	actions *duty.Actions
	random  *rand.Rand
	rented  int

	mu       sync.Mutex
	epoch    epoch
	version  uint64
	revision uint64
}

// Limits of the store, as in the deployments.
const (
	maxChanges = 16
	maxValue   = 2 << 10
	unlimited  = 1000 // requests a second
)

// NewMember makes a Member; Run starts it.
func NewMember(opts MemberOptions) *Member {
	m := &Member{opts: opts, ledger: duty.NewLedger(opts.Log), random: rand.New(rand.NewPCG(opts.Seed, 1))}
	m.client = state.NewClient(opts.State, state.NewBudget(unlimited, unlimited, maxChanges))
	history := duty.NewHistory()
	m.keeper = duty.NewKeeper(duty.KeeperOptions{Node: opts.Node, Incarnation: opts.Seed, Lease: opts.Lease, Store: m.client, Ledger: m.ledger,
		Ready: func() bool { return true }, Membership: m.membership, MaxChanges: maxChanges, History: history, Log: opts.Log})
	m.actions = duty.NewActions(duty.ActionsOptions{Node: opts.Node, Provider: opts.Provider, Keeper: m.keeper, Ledger: m.ledger,
		Committer: state.NewCommitter(m.client, maxChanges), Membership: m.membership, ValueBytes: maxValue, History: history, Log: opts.Log})
	return m
}

func (m *Member) membership() duty.Membership {
	m.mu.Lock()
	defer m.mu.Unlock()
	return duty.Membership{Epoch: wire.Condition{Key: epochKey, Version: m.version}, Since: m.epoch.Members[m.opts.Node],
		Leads: m.epoch.Leader == m.opts.Node, Members: m.epoch.Members, Fresh: m.revision >= m.version}
}

// Run runs the member until ctx ends.
func (m *Member) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { m.watch(ctx) })
	group.Go(func() { _ = m.keeper.Run(ctx) })
	for wait.For(ctx, m.opts.Pace/2+time.Duration(m.random.Int64N(int64(m.opts.Pace)))) {
		m.step(ctx)
	}
	group.Wait()
}

// watchFor is how long a watch waits for a change.
const watchFor = 4 * time.Second

// watch follows the epoch and the duties.
func (m *Member) watch(ctx context.Context) {
	for revision := uint64(0); ctx.Err() == nil; {
		events, err := m.client.Watch(ctx, prefix, revision, watchFor)
		if err != nil {
			wait.For(ctx, 100*time.Millisecond)
			continue
		}
		revision = max(revision, events.Revision)
		m.ledger.Apply(events.Events, revision)
		m.mu.Lock()
		m.revision = revision
		for _, e := range events.Events {
			if e.Put == epochKey {
				m.epoch, m.version = epoch{}, e.Version
				_ = json.Unmarshal(e.Value, &m.epoch)
			}
		}
		m.mu.Unlock()
		m.keeper.Poke()
	}
}

// fence ties what is written to the epoch.
func (m *Member) fence() state.Fence {
	condition := m.membership().Epoch
	return state.Fence{Condition: condition, Current: func() bool { return m.membership().Epoch == condition }}
}

var (
	rentDuty    = duty.ID{Name: duty.Rent, Scope: duty.Fleet}
	reclaimDuty = duty.ID{Name: duty.Reclaim, Scope: duty.Fleet}
)

// step finishes what former holders have begun, or acts anew.
func (m *Member) step(ctx context.Context) {
	m.actions.CloseReturns(ctx, duty.ID{Name: duty.Cleanup, Scope: duty.Share(m.opts.Node)}, func(string) bool { return true })
	if !m.membership().Leads {
		return
	}
	if abandoned := m.actions.Abandoned(); len(abandoned) > 0 {
		m.giveBack(ctx, abandoned)
	}
	for _, open := range m.actions.OpenRentals() {
		m.rent(ctx, open)
	}
	m.mu.Lock()
	quiet := m.epoch.Quiet
	m.mu.Unlock()
	machines, _ := m.opts.Provider.List(ctx)
	switch action := m.random.IntN(5); {
	case quiet:
	case action == 0 || len(machines) == 0:
		m.rentAnew(ctx)
	default:
		m.use(ctx, machines[m.random.IntN(len(machines))].ID, action < 3)
	}
}

// use returns a machine if it is idle, or places on it, or ends what is placed there.
func (m *Member) use(ctx context.Context, machine string, giveBack bool) {
	key, epoch := workPrefix+machine, m.fence().Condition
	item, err := m.client.Get(ctx, state.Placement, key)
	idle := errors.Is(err, state.ErrNotFound)
	if giveBack && idle {
		m.giveBack(ctx, []string{machine})
	}
	guard, refused := m.actions.Guard(reclaimDuty)
	if giveBack || refused != nil || err != nil && !idle || m.actions.Condemned(machine) {
		return
	}
	change := wire.Change{Delete: key}
	if idle {
		change = wire.Change{Put: key, Value: json.RawMessage(`{}`)}
	}
	_, _ = m.client.Txn(ctx, state.Placement, wire.Txn{
		If:   append(guard.Conditions(), epoch, wire.Condition{Key: key, Version: item.Version}),
		Then: []wire.Change{change},
	})
}

func (m *Member) giveBack(ctx context.Context, machines []string) {
	condemnation, err := m.actions.Condemn(ctx, reclaimDuty, m.fence(), machines, "idle")
	for err == nil && m.actions.GiveBack(ctx, condemnation) != nil && wait.For(ctx, 200*time.Millisecond) {
		continue
	}
}

func (m *Member) rentAnew(ctx context.Context) {
	guard, err := m.actions.Guard(rentDuty)
	if err != nil {
		return
	}
	m.rented++
	request := wire.RentRequest{Request: fmt.Sprintf("%s-%d", m.opts.Node, m.rented), Type: "m", Zone: "z", Count: 1 + m.random.IntN(3)}
	if open, err := m.actions.RecordRentals(ctx, guard, m.fence(), []wire.RentRequest{request}); err == nil {
		m.rent(ctx, open)
	}
}

func (m *Member) rent(ctx context.Context, open duty.OpenRental) {
	guard, err := m.actions.Guard(rentDuty)
	for _, request := range open.Requests {
		if err == nil {
			_, err = m.actions.Rent(ctx, guard, request)
		}
	}
	if err == nil || errors.Is(err, cloud.ErrNoCapacity) {
		m.actions.CloseRental(ctx, guard, open)
	}
}
