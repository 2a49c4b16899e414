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

// Point is a moment of a controller's action.
type Point int

// The points at which a controller can be frozen.
const (
	BeforeCheck Point = iota
	BeforeIntent
	IntentUnanswered
	BeforeRequest
	RequestUnanswered
	BeforeClosing
	Points
)

// String implements fmt.Stringer.
func (p Point) String() string {
	return [...]string{"before the check", "before the intent is sent", "before the intent's answer", "before the request is sent", "before the request's answer", "before the intent is closed"}[p]
}

// epoch is who leads, and since when each member is one.
type epoch struct {
	Leader  string            `json:"leader"`
	Members map[string]uint64 `json:"members"`
	// Quiet: what was begun is finished, and nothing new is.
	Quiet bool `json:"quiet"`
}

// MemberOptions are what a Member needs.
type MemberOptions struct {
	Node     string
	Lease    time.Duration // 0: duties are off
	State    state.Doer
	Provider duty.Provider
	Machines func() []string // that there are
	// At is called at each point of an action, and may take long.
	At   func(Point)
	Seed uint64
	Pace time.Duration // between two actions
	Log  *slog.Logger
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

	mu       sync.Mutex
	epoch    epoch
	version  uint64
	revision uint64
	rented   int
}

// commits lets a Committer's writes stop at the points of an action.
type commits struct {
	member    *Member
	committer *state.Committer
}

// Commit implements duty.Committer.
func (c commits) Commit(ctx context.Context, w state.Write) (uint64, error) {
	before, after := BeforeIntent, IntentUnanswered
	if w.Then[0].Delete != "" {
		before, after = BeforeClosing, BeforeClosing
	}
	c.member.opts.At(before)
	revision, err := c.committer.Commit(ctx, w)
	c.member.opts.At(after)
	return revision, err
}

// requests lets requests to the machine service stop at the points of an action.
type requests struct {
	duty.Provider
	at func(Point)
}

// Rent implements duty.Provider.
func (r requests) Rent(ctx context.Context, req wire.RentRequest) ([]string, error) {
	r.at(BeforeRequest)
	names, err := r.Provider.Rent(ctx, req)
	r.at(RequestUnanswered)
	return names, err
}

// Return implements duty.Provider.
func (r requests) Return(ctx context.Context, machines []string) error {
	r.at(BeforeRequest)
	err := r.Provider.Return(ctx, machines)
	r.at(RequestUnanswered)
	return err
}

// maxChanges of a transaction, and bytes of a value, as in the deployments.
const (
	maxChanges = 16
	maxValue   = 2 << 10
)

// NewMember makes a Member; Run starts it.
func NewMember(opts MemberOptions) *Member {
	m := &Member{opts: opts, ledger: duty.NewLedger(opts.Log), random: rand.New(rand.NewPCG(opts.Seed, 1))}
	m.client = state.NewClient(opts.State, state.NewBudget(1000, 1000, maxChanges))
	history := duty.NewHistory()
	m.keeper = duty.NewKeeper(duty.KeeperOptions{Node: opts.Node, Incarnation: opts.Seed, Lease: opts.Lease, Store: m.client, Ledger: m.ledger,
		Ready: func() bool { return true }, Membership: m.membership, MaxChanges: maxChanges, History: history, Log: opts.Log})
	m.actions = duty.NewActions(duty.ActionsOptions{Node: opts.Node, Provider: requests{opts.Provider, opts.At}, Keeper: m.keeper, Ledger: m.ledger,
		Committer: commits{m, state.NewCommitter(m.client, maxChanges)}, Membership: m.membership, ValueBytes: maxValue, History: history, Log: opts.Log})
	return m
}

// Report tells of the member's duties.
func (m *Member) Report() wire.Duties { return m.keeper.Report() }

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
	for ctx.Err() == nil {
		m.step(ctx)
		wait.For(ctx, m.opts.Pace/2+time.Duration(m.random.Int64N(int64(m.opts.Pace))))
	}
	group.Wait()
}

// watch follows the epoch and the duties.
func (m *Member) watch(ctx context.Context) {
	for fresh := false; ctx.Err() == nil; {
		if !fresh {
			items, revision, err := m.client.List(ctx, state.Urgent, prefix)
			if err != nil {
				wait.For(ctx, 100*time.Millisecond)
				continue
			}
			for _, item := range items {
				m.takeEpoch(item.Key, item.Value, item.Version)
			}
			m.ledger.Replace(items, revision)
			m.seen(revision)
			fresh = true
		}
		m.mu.Lock()
		after := m.revision
		m.mu.Unlock()
		events, err := m.client.Watch(ctx, prefix, after, 4*time.Second)
		if err != nil {
			fresh = false
			continue
		}
		for _, e := range events.Events {
			m.takeEpoch(e.Put, e.Value, e.Version)
		}
		m.ledger.Apply(events.Events, events.Revision)
		m.seen(events.Revision)
	}
}

func (m *Member) takeEpoch(key string, value json.RawMessage, version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if key == epochKey && version > m.version {
		m.epoch, m.version = epoch{}, version
		_ = json.Unmarshal(value, &m.epoch)
	}
}

func (m *Member) quiet() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.epoch.Quiet
}

func (m *Member) seen(revision uint64) {
	m.mu.Lock()
	m.revision = max(m.revision, revision)
	m.mu.Unlock()
	m.keeper.Poke()
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
	m.close(ctx)
	if !m.membership().Leads {
		return
	}
	if abandoned := m.actions.Abandoned(); len(abandoned) > 0 {
		m.giveBack(ctx, abandoned)
	}
	for _, open := range m.actions.OpenRentals() {
		m.rent(ctx, open)
	}
	if m.quiet() {
		return
	}
	machines := m.opts.Machines()
	if len(machines) == 0 {
		m.rentAnew(ctx)
		return
	}
	switch machine := machines[m.random.IntN(len(machines))]; m.random.IntN(5) {
	case 0:
		m.rentAnew(ctx)
	case 1, 2:
		m.returnIdle(ctx, machine)
	default:
		m.place(ctx, machine)
	}
}

// place puts work on a machine, or takes it off again.
func (m *Member) place(ctx context.Context, machine string) {
	guard, err := m.actions.Guard(reclaimDuty)
	if err != nil || m.actions.Condemned(machine) {
		return
	}
	key, epoch := workPrefix+machine, m.fence().Condition
	item, err := m.client.Get(ctx, state.Placement, key)
	change := wire.Change{Put: key, Value: json.RawMessage(`{}`)}
	switch {
	case err == nil:
		change = wire.Change{Delete: key}
	case !errors.Is(err, state.ErrNotFound):
		return
	}
	_, _ = m.client.Txn(ctx, state.Placement, wire.Txn{
		If:   append(guard.Conditions(), epoch, wire.Condition{Key: key, Version: item.Version}),
		Then: []wire.Change{change},
	})
}

// returnIdle returns a machine that nothing is placed on.
func (m *Member) returnIdle(ctx context.Context, machine string) {
	if _, err := m.client.Get(ctx, state.Placement, workPrefix+machine); errors.Is(err, state.ErrNotFound) {
		m.giveBack(ctx, []string{machine})
	}
}

func (m *Member) giveBack(ctx context.Context, machines []string) {
	m.opts.At(BeforeCheck)
	condemnation, err := m.actions.Condemn(ctx, reclaimDuty, m.fence(), machines, "idle")
	for err == nil && ctx.Err() == nil {
		if m.actions.GiveBack(ctx, condemnation) == nil {
			return
		}
		wait.For(ctx, 200*time.Millisecond)
	}
}

// close removes the intents whose machines are gone.
func (m *Member) close(ctx context.Context) {
	m.actions.CloseReturns(ctx, duty.ID{Name: duty.Cleanup, Scope: duty.Share(m.opts.Node)}, func(string) bool { return true })
}

func (m *Member) rentAnew(ctx context.Context) {
	m.opts.At(BeforeCheck)
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
	if err != nil {
		return
	}
	for _, request := range open.Requests {
		if _, err := m.actions.Rent(ctx, guard, request); err != nil && !errors.Is(err, cloud.ErrNoCapacity) {
			return
		}
	}
	m.actions.CloseRental(ctx, guard, open)
}
