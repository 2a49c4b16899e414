package failovertest

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

// epoch is who leads, and since which version of the epoch each node belongs to it.
type epoch struct {
	Leader string            `json:"leader"`
	Nodes  map[string]uint64 `json:"members"`
	// Quiet: what was begun is finished, and nothing new is.
	Quiet bool `json:"quiet"`
}

// Machines are those that a service rents.
type Machines interface {
	duty.Provider
	List(ctx context.Context) ([]wire.Machine, error)
}

// NodeOptions configure a Node.
type NodeOptions struct {
	Name           string
	Lease          time.Duration // 0: duties are off
	State          state.Transport
	Provider       Machines
	Seed           uint64
	ActionInterval time.Duration // between two actions
	Log            *slog.Logger
}

// Node is a small controller: while it leads it rents machines, places on them and
// returns them.
type Node struct {
	opts    NodeOptions
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

// NewNode makes a Node; Run starts it.
func NewNode(opts NodeOptions) *Node {
	n := &Node{opts: opts, ledger: duty.NewLedger(opts.Log), random: rand.New(rand.NewPCG(opts.Seed, 1))}
	n.client = state.NewClient(opts.State, state.NewBudget(unlimited, unlimited, maxChanges))
	history := duty.NewHistory()
	n.keeper = duty.NewKeeper(duty.KeeperOptions{Node: opts.Name, Incarnation: opts.Seed, Lease: opts.Lease, Store: n.client, Ledger: n.ledger,
		Ready: func() bool { return true }, Membership: n.membership, MaxChanges: maxChanges, History: history, Log: opts.Log})
	n.actions = duty.NewActions(duty.ActionsOptions{Node: opts.Name, Provider: opts.Provider, Keeper: n.keeper, Ledger: n.ledger,
		Committer: state.NewCommitter(n.client, maxChanges), Membership: n.membership, ValueBytes: maxValue, History: history, Log: opts.Log})
	return n
}

func (n *Node) membership() duty.Membership {
	n.mu.Lock()
	defer n.mu.Unlock()
	return duty.Membership{Epoch: wire.Condition{Key: epochKey, Version: n.version}, Since: n.epoch.Nodes[n.opts.Name],
		Leads: n.epoch.Leader == n.opts.Name, Members: n.epoch.Nodes, Fresh: n.revision >= n.version}
}

// Run runs the node until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { n.watch(ctx) })
	group.Go(func() { _ = n.keeper.Run(ctx) })
	for wait.Sleep(ctx, n.opts.ActionInterval/2+time.Duration(n.random.Int64N(int64(n.opts.ActionInterval)))) {
		n.step(ctx)
	}
	group.Wait()
}

// watchTimeout is how long a watch waits for a change.
const watchTimeout = 4 * time.Second

// watch follows the epoch and the duties.
func (n *Node) watch(ctx context.Context) {
	for revision := uint64(0); ctx.Err() == nil; {
		events, err := n.client.Watch(ctx, clusterPrefix, revision, watchTimeout)
		if err != nil {
			wait.Sleep(ctx, 100*time.Millisecond)
			continue
		}
		revision = max(revision, events.Revision)
		n.ledger.Apply(events.Events, revision)
		n.mu.Lock()
		n.revision = revision
		for _, e := range events.Events {
			if e.Put == epochKey {
				n.epoch, n.version = epoch{}, e.Version
				_ = json.Unmarshal(e.Value, &n.epoch)
			}
		}
		n.mu.Unlock()
		n.keeper.Poke()
	}
}

// fence ties what is written to the epoch.
func (n *Node) fence() state.FencingCondition {
	condition := n.membership().Epoch
	return state.FencingCondition{Condition: condition, Current: func() bool { return n.membership().Epoch == condition }}
}

var (
	rentDuty    = duty.ID{Name: duty.Rent, Scope: duty.Fleet}
	reclaimDuty = duty.ID{Name: duty.Reclaim, Scope: duty.Fleet}
)

// step finishes what former holders have begun, or acts anew.
func (n *Node) step(ctx context.Context) {
	n.actions.CloseReturns(ctx, duty.ID{Name: duty.Cleanup, Scope: duty.Share(n.opts.Name)}, func(string) bool { return true })
	if !n.membership().Leads {
		return
	}
	if abandoned := n.actions.Abandoned(); len(abandoned) > 0 {
		n.reclaim(ctx, abandoned)
	}
	for _, open := range n.actions.OpenRentals() {
		n.rent(ctx, open)
	}
	n.mu.Lock()
	quiet := n.epoch.Quiet
	n.mu.Unlock()
	machines, _ := n.opts.Provider.List(ctx)
	switch action := n.random.IntN(5); {
	case quiet:
	case action == 0 || len(machines) == 0:
		n.rentNew(ctx)
	default:
		n.useMachine(ctx, machines[n.random.IntN(len(machines))].ID, action < 3)
	}
}

// useMachine returns a machine if it is idle, or places on it, or ends what is placed there.
func (n *Node) useMachine(ctx context.Context, machine string, giveBack bool) {
	key, epoch := workPrefix+machine, n.fence().Condition
	item, err := n.client.Get(ctx, state.Placement, key)
	idle := errors.Is(err, state.ErrNotFound)
	if giveBack && idle {
		n.reclaim(ctx, []string{machine})
	}
	guard, refused := n.actions.Guard(reclaimDuty)
	if giveBack || refused != nil || err != nil && !idle || n.actions.Condemned(machine) {
		return
	}
	change := wire.Change{Delete: key}
	if idle {
		change = wire.Change{Put: key, Value: json.RawMessage(`{}`)}
	}
	_, _ = n.client.Txn(ctx, state.Placement, wire.Txn{
		If:   append(guard.Conditions(), epoch, wire.Condition{Key: key, Version: item.Version}),
		Then: []wire.Change{change},
	})
}

func (n *Node) reclaim(ctx context.Context, machines []string) {
	condemnation, err := n.actions.Condemn(ctx, reclaimDuty, n.fence(), machines, "idle")
	for err == nil && n.actions.GiveBack(ctx, condemnation) != nil && wait.Sleep(ctx, 200*time.Millisecond) {
		continue
	}
}

func (n *Node) rentNew(ctx context.Context) {
	guard, err := n.actions.Guard(rentDuty)
	if err != nil {
		return
	}
	n.rented++
	request := wire.RentRequest{Request: fmt.Sprintf("%s-%d", n.opts.Name, n.rented), Type: "m", Zone: "z", Count: 1 + n.random.IntN(3)}
	if open, err := n.actions.RecordRentals(ctx, guard, n.fence(), []wire.RentRequest{request}); err == nil {
		n.rent(ctx, open)
	}
}

func (n *Node) rent(ctx context.Context, open duty.OpenRental) {
	guard, err := n.actions.Guard(rentDuty)
	for _, request := range open.Requests {
		if err == nil {
			_, err = n.actions.Rent(ctx, guard, request)
		}
	}
	if err == nil || errors.Is(err, cloud.ErrNoCapacity) {
		n.actions.CloseRental(ctx, guard, open)
	}
}
