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
	// Nodes maps each node to the version of the epoch since which it has been a member; 0 if
	// it is not a member.
	Nodes map[string]uint64 `json:"members"`
	// Quiet makes nodes complete open intents without starting new actions.
	Quiet bool `json:"quiet"`
}

// MachineService is the machine service: a Provider that also lists its machines.
type MachineService interface {
	duty.Provider
	// List returns the rented machines.
	List(ctx context.Context) ([]wire.Machine, error)
}

// NodeOptions configure a Node.
type NodeOptions struct {
	Name           string
	Lease          time.Duration // of the duties; 0 means that duties are off
	State          state.Transport
	Provider       MachineService
	Seed           uint64        // for the node's random choices; also its incarnation
	ActionInterval time.Duration // mean time between two actions
	Log            *slog.Logger
}

// Node is a small controller. While it is the leader it rents machines, places work on them
// and returns them.
type Node struct {
	opts         NodeOptions
	client       *state.Client
	cache        *duty.RecordCache
	manager      *duty.Manager
	actions      *duty.Actions
	random       *rand.Rand
	requestsMade int // number of rental requests, used in their IDs

	mu       sync.Mutex
	epoch    epoch
	version  uint64 // of the epoch
	revision uint64 // of the store; events up to here have been applied
}

// Limits of the store. All but the rate are those of deployments.
const (
	maxChanges  = 16      // per transaction
	valueBytes  = 2 << 10 // per value
	requestRate = 1000    // requests and writes per second, so many that they do not limit the node
)

// Delays before a failed request is retried.
const (
	watchRetryInterval  = 100 * time.Millisecond
	returnRetryInterval = 200 * time.Millisecond
)

// NewNode returns a Node that does nothing until Run is called.
func NewNode(opts NodeOptions) *Node {
	n := &Node{opts: opts, cache: duty.NewRecordCache(opts.Log), random: rand.New(rand.NewPCG(opts.Seed, 1))}
	n.client = state.NewClient(opts.State, state.NewBudget(requestRate, requestRate, maxChanges), state.NewTxnLimits(maxChanges, opts.Log))
	history := duty.NewHistory()
	n.manager = duty.NewManager(duty.ManagerOptions{
		Node: opts.Name, Incarnation: opts.Seed, Lease: opts.Lease, Store: n.client, RecordCache: n.cache,
		Ready: func() bool { return true }, Membership: n.membership, Limits: n.client.Limits(), History: history, Log: opts.Log,
	})
	n.actions = duty.NewActions(duty.ActionsOptions{
		Node: opts.Name, Provider: opts.Provider, Manager: n.manager, RecordCache: n.cache,
		Committer: state.NewCommitter(n.client), Membership: n.membership, MaxValueBytes: valueBytes, History: history, Log: opts.Log,
	})
	return n
}

// membership returns the epoch in the form that package duty uses.
func (n *Node) membership() duty.Membership {
	n.mu.Lock()
	defer n.mu.Unlock()
	return duty.Membership{
		Epoch: wire.Condition{Key: epochKey, Version: n.version}, Since: n.epoch.Nodes[n.opts.Name],
		IsLeader: n.epoch.Leader == n.opts.Name, Members: n.epoch.Nodes, Fresh: n.revision >= n.version,
	}
}

// Run runs the node until ctx ends, and returns when all of its goroutines have ended.
func (n *Node) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { n.watch(ctx) })
	group.Go(func() { _ = n.manager.Run(ctx) })
	for wait.Sleep(ctx, n.nextPause()) {
		n.step(ctx)
	}
	group.Wait()
}

// nextPause returns a random pause before the next action, between 0.5 and 1.5 times
// ActionInterval.
func (n *Node) nextPause() time.Duration {
	return n.opts.ActionInterval/2 + time.Duration(n.random.Int64N(int64(n.opts.ActionInterval)))
}

// watch keeps the epoch and the record cache up to date until ctx ends.
func (n *Node) watch(ctx context.Context) {
	for revision := uint64(0); ctx.Err() == nil; {
		events, err := n.client.Watch(ctx, clusterPrefix, revision, state.WatchTimeout)
		if err != nil {
			wait.Sleep(ctx, watchRetryInterval)
			continue
		}
		revision = max(revision, events.Revision)
		n.cache.Apply(events.Events, revision)
		n.apply(events.Events, revision)
		n.manager.TriggerReconcile()
	}
}

// apply updates the epoch from the events up to a revision.
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

// quiet reports whether the epoch forbids new actions.
func (n *Node) quiet() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.epoch.Quiet
}

// fence returns the condition that makes a write fail once the epoch has changed.
func (n *Node) fence() state.FencingCondition {
	condition := n.membership().Epoch
	return state.FencingCondition{Condition: condition, IsCurrent: func() bool { return n.membership().Epoch == condition }}
}

var (
	rentDuty    = duty.ID{Name: duty.Rent, Scope: duty.Fleet}
	reclaimDuty = duty.ID{Name: duty.Reclaim, Scope: duty.Fleet}
)

// The next action is drawn from actionRange values: rentAction rents machines, the values up to
// returnAction return a machine, and the others place work on a machine or remove it.
const (
	rentAction   = 0
	returnAction = 2
	actionRange  = 5
)

// step completes the actions that earlier holders left open, and then takes one random action.
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
	switch action := n.random.IntN(actionRange); {
	case quiet:
	case action == rentAction || len(machines) == 0:
		n.rentNew(ctx)
	default:
		n.useMachine(ctx, machines[n.random.IntN(len(machines))].ID, action <= returnAction)
	}
}

// useMachine returns a machine if returnIdle is set and the machine is idle. If returnIdle is
// not set, it places work on an idle machine or removes the work from a busy one.
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
	_, _ = n.client.Txn(ctx, state.Placement, wire.Txn{ // a later action reads the key again, so a failure needs no retry
		If:   append(guard.Conditions(), epochCondition, wire.Condition{Key: key, Version: item.Version}),
		Then: []wire.Change{change},
	})
}

// reclaim records an intent to return machines, and repeats the return request until it gets a
// response.
func (n *Node) reclaim(ctx context.Context, machines []string) {
	intent, err := n.actions.RecordReturn(ctx, reclaimDuty, n.fence(), machines, "idle")
	if err != nil {
		return
	}
	for n.actions.SendReturn(ctx, intent) != nil && wait.Sleep(ctx, returnRetryInterval) {
		continue
	}
}

// maxMachinesPerRequest is the maximum number of machines in a rental request.
const maxMachinesPerRequest = 3

// rentNew records and sends a new rental request.
func (n *Node) rentNew(ctx context.Context) {
	guard, err := n.actions.Guard(rentDuty)
	if err != nil {
		return
	}
	n.requestsMade++
	request := wire.RentRequest{RequestID: fmt.Sprintf("%s-%d", n.opts.Name, n.requestsMade), Type: "m", Zone: "z", Count: 1 + n.random.IntN(maxMachinesPerRequest)}
	if open, err := n.actions.RecordRentals(ctx, guard, n.fence(), []wire.RentRequest{request}); err == nil {
		n.rent(ctx, open)
	}
}

// rent sends the requests of an open intent, and closes the intent if all of them got a
// response.
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
