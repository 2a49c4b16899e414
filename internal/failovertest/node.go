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

// epoch is the stored value of the epoch.
type epoch struct {
	Leader string `json:"leader"`
	// Nodes gives the version of the epoch since which each node is a member; 0: it is none.
	Nodes map[string]uint64 `json:"members"`
	// Quiet tells nodes to complete what was begun and to begin nothing.
	Quiet bool `json:"quiet"`
}

// Machines is the machine service: a Provider that also lists its machines.
type Machines interface {
	duty.Provider
	// List returns the machines that are rented.
	List(ctx context.Context) ([]wire.Machine, error)
}

// NodeOptions configure a Node.
type NodeOptions struct {
	Name           string
	Lease          time.Duration // 0: duties are off
	State          state.Transport
	Provider       Machines
	Seed           uint64        // of the node's choices, and its incarnation
	ActionInterval time.Duration // mean time between two actions
	Log            *slog.Logger
}

// Node is a small controller. While it leads it rents machines, places work on them and
// returns them.
type Node struct {
	opts    NodeOptions
	client  *state.Client
	ledger  *duty.RecordCache
	keeper  *duty.Manager
	actions *duty.Actions
	random  *rand.Rand
	rented  int // requests made, for their names

	mu       sync.Mutex
	epoch    epoch
	version  uint64 // of the epoch
	revision uint64 // everything in the store up to here has been seen
}

// Limits of the store, as in deployments but for the rate of requests.
const (
	maxChanges = 16      // of a transaction
	valueBytes = 2 << 10 // of a value
	unlimited  = 1000    // requests a second
)

// Pauses before a failed request is repeated.
const (
	watchRetryInterval  = 100 * time.Millisecond
	returnRetryInterval = 200 * time.Millisecond
)

// NewNode returns a Node that does nothing until Run is called.
func NewNode(opts NodeOptions) *Node {
	n := &Node{opts: opts, ledger: duty.NewRecordCache(opts.Log), random: rand.New(rand.NewPCG(opts.Seed, 1))}
	n.client = state.NewClient(opts.State, state.NewBudget(unlimited, unlimited, maxChanges))
	history := duty.NewHistory()
	n.keeper = duty.NewManager(duty.ManagerOptions{
		Node: opts.Name, Incarnation: opts.Seed, Lease: opts.Lease, Store: n.client, RecordCache: n.ledger,
		Ready: func() bool { return true }, Membership: n.membership, MaxChanges: maxChanges, History: history, Log: opts.Log,
	})
	n.actions = duty.NewActions(duty.ActionsOptions{
		Node: opts.Name, Provider: opts.Provider, Manager: n.keeper, RecordCache: n.ledger,
		Committer: state.NewCommitter(n.client, maxChanges), Membership: n.membership, MaxValueBytes: valueBytes, History: history, Log: opts.Log,
	})
	return n
}

// membership returns the epoch as the duties see it.
func (n *Node) membership() duty.Membership {
	n.mu.Lock()
	defer n.mu.Unlock()
	return duty.Membership{
		Epoch: wire.Condition{Key: epochKey, Version: n.version}, Since: n.epoch.Nodes[n.opts.Name],
		IsLeader: n.epoch.Leader == n.opts.Name, Members: n.epoch.Nodes, Fresh: n.revision >= n.version,
	}
}

// Run acts until ctx ends, and returns when all that it started has ended.
func (n *Node) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { n.watch(ctx) })
	group.Go(func() { _ = n.keeper.Run(ctx) })
	for wait.Sleep(ctx, n.nextPause()) {
		n.step(ctx)
	}
	group.Wait()
}

// nextPause draws the pause before the next action: the interval, give or take half.
func (n *Node) nextPause() time.Duration {
	return n.opts.ActionInterval/2 + time.Duration(n.random.Int64N(int64(n.opts.ActionInterval)))
}

// watch keeps the epoch and the ledger up to date until ctx ends.
func (n *Node) watch(ctx context.Context) {
	for revision := uint64(0); ctx.Err() == nil; {
		events, err := n.client.Watch(ctx, clusterPrefix, revision, state.WatchTimeout)
		if err != nil {
			wait.Sleep(ctx, watchRetryInterval)
			continue
		}
		revision = max(revision, events.Revision)
		n.ledger.Apply(events.Events, revision)
		n.apply(events.Events, revision)
		n.keeper.TriggerReconcile()
	}
}

// apply takes the epoch from the events up to a revision.
func (n *Node) apply(events []wire.Event, revision uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.revision = revision
	for _, event := range events {
		if event.Put == epochKey {
			n.epoch, n.version = epoch{}, event.Version
			_ = json.Unmarshal(event.Value, &n.epoch)
		}
	}
}

// quiet reports whether the epoch wants nothing new begun.
func (n *Node) quiet() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.epoch.Quiet
}

// fence returns the condition that makes a write fail under a newer epoch.
func (n *Node) fence() state.FencingCondition {
	condition := n.membership().Epoch
	return state.FencingCondition{Condition: condition, IsCurrent: func() bool { return n.membership().Epoch == condition }}
}

var (
	rentDuty    = duty.ID{Name: duty.Rent, Scope: duty.Fleet}
	reclaimDuty = duty.ID{Name: duty.Reclaim, Scope: duty.Fleet}
)

// An action is drawn from so many values: one rents, the next ones up to returnAction return
// a machine, and the others place work on one.
const (
	rentAction   = 0
	returnAction = 2
	actionDraws  = 5
)

// step completes what earlier holders have begun, and then takes one action at random.
func (n *Node) step(ctx context.Context) {
	n.actions.CloseReturns(ctx, duty.ID{Name: duty.Cleanup, Scope: duty.Shard(n.opts.Name)}, func(string) bool { return true })
	if !n.membership().IsLeader {
		return
	}
	if abandoned := n.actions.AbandonedReturns(); len(abandoned) > 0 {
		n.reclaim(ctx, abandoned)
	}
	for _, open := range n.actions.OpenRentals() {
		n.rent(ctx, open)
	}
	quiet := n.quiet()
	machines, _ := n.opts.Provider.List(ctx)
	switch action := n.random.IntN(actionDraws); {
	case quiet:
	case action == rentAction || len(machines) == 0:
		n.rentNew(ctx)
	default:
		n.useMachine(ctx, machines[n.random.IntN(len(machines))].ID, action <= returnAction)
	}
}

// useMachine returns a machine if that is wanted and it is idle. Otherwise it places work
// on the machine, or removes the work placed there.
func (n *Node) useMachine(ctx context.Context, machine string, returnIdle bool) {
	key, epochCondition := workPrefix+machine, n.fence().Condition
	item, err := n.client.Get(ctx, state.Placement, key)
	idle := errors.Is(err, state.ErrNotFound)
	if returnIdle && idle {
		n.reclaim(ctx, []string{machine})
	}
	guard, refused := n.actions.Guard(reclaimDuty)
	if returnIdle || refused != nil || err != nil && !idle || n.actions.HasReturnIntent(machine) {
		return
	}
	change := wire.Change{Delete: key}
	if idle {
		change = wire.Change{Put: key, Value: json.RawMessage(`{}`)}
	}
	_, _ = n.client.Txn(ctx, state.Placement, wire.Txn{ // if it fails, the next action finds out
		If:   append(guard.Conditions(), epochCondition, wire.Condition{Key: key, Version: item.Version}),
		Then: []wire.Change{change},
	})
}

// reclaim records the return of machines and repeats it until it is answered.
func (n *Node) reclaim(ctx context.Context, machines []string) {
	intent, err := n.actions.RecordReturn(ctx, reclaimDuty, n.fence(), machines, "idle")
	if err != nil {
		return
	}
	for n.actions.SendReturn(ctx, intent) != nil && wait.Sleep(ctx, returnRetryInterval) {
		continue
	}
}

// maxRented is how many machines one request asks for at most.
const maxRented = 3

// rentNew records and sends a new request of machines.
func (n *Node) rentNew(ctx context.Context) {
	guard, err := n.actions.Guard(rentDuty)
	if err != nil {
		return
	}
	n.rented++
	request := wire.RentRequest{RequestID: fmt.Sprintf("%s-%d", n.opts.Name, n.rented), Type: "m", Zone: "z", Count: 1 + n.random.IntN(maxRented)}
	if open, err := n.actions.RecordRentals(ctx, guard, n.fence(), []wire.RentRequest{request}); err == nil {
		n.rent(ctx, open)
	}
}

// rent sends the requests of an open intent and closes it if all were answered.
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
