package duty

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"heronwick/internal/standin"
	"heronwick/internal/state"
	"heronwick/wire"
)

// testLease is the duration of the duty lease in tests.
const testLease = 6 * time.Second

// Limits of the store in tests.
const (
	testMaxChanges    = 16      // changes per transaction
	testMaxValueBytes = 2 << 10 // size of a value
	unlimitedRate     = 1000    // requests per second, more than any test sends
)

// fakeCloud is a Provider that records requests and returns preset errors.
type fakeCloud struct {
	mu       sync.Mutex
	returned []string
	rented   []string // request IDs
	errors   []error  // errors of the next requests, in order; later ones succeed
}

func (c *fakeCloud) nextErrorLocked() (err error) {
	if len(c.errors) > 0 {
		err, c.errors = c.errors[0], c.errors[1:]
	}
	return err
}

// Rent implements Provider.
func (c *fakeCloud) Rent(_ context.Context, req wire.RentRequest) ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rented = append(c.rented, req.RequestID)
	return []string{"machine-of-" + req.RequestID}, c.nextErrorLocked()
}

// Return implements Provider.
func (c *fakeCloud) Return(_ context.Context, machines []string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.returned = append(c.returned, machines...)
	return c.nextErrorLocked()
}

// testController is a controller with a Manager and Actions, whose membership the test sets.
type testController struct {
	*Manager
	actions     *Actions
	cache       *RecordCache
	client      *state.Client
	log         bytes.Buffer
	stopManager context.CancelFunc // ends the Manager's Run

	mu           sync.Mutex
	membership   Membership
	watchBlocked bool // the watch delivers nothing
}

// updateMembership changes the membership that the controller sees.
func (c *testController) updateMembership(change func(*Membership)) {
	c.mu.Lock()
	change(&c.membership)
	c.mu.Unlock()
	c.TriggerReconcile()
}

// currentMembership returns the membership that the controller sees.
func (c *testController) currentMembership() Membership {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.membership
}

// blockWatch blocks the controller's watch or unblocks it.
func (c *testController) blockWatch(blocked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchBlocked = blocked
}

// fixture is the fake store and cloud of one test.
type fixture struct {
	t     *testing.T
	ctx   context.Context
	state *standin.State
	cloud *fakeCloud
	epoch wire.Condition
	// members are the members of the epoch. If it is nil, each controller sees itself as the
	// only member.
	members  map[string]uint64
	notReady bool // some controller cannot decode the records of this package
}

// withFixture runs a test under a fake clock.
func withFixture(t *testing.T, test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := &fixture{t: t, ctx: ctx, state: standin.NewState(), cloud: &fakeCloud{}}
		f.newEpoch()
		test(f)
		cancel()
		f.state.SetOutage(false)
		time.Sleep(10 * time.Second)
	})
}

// newEpoch writes a new epoch to the store.
func (f *fixture) newEpoch() {
	f.epoch = wire.Condition{Key: "epoch", Version: f.state.Put("epoch", "any")}
}

// start starts a controller that is a member and the leader, and waits long enough for it to
// acquire its duties.
func (f *fixture) start(node string, incarnation uint64) *testController {
	c := &testController{}
	log := slog.New(slog.NewTextHandler(&c.log, nil))
	members := f.members
	if members == nil {
		members = map[string]uint64{node: incarnation}
	}
	c.membership = Membership{Epoch: f.epoch, Since: incarnation, IsLeader: true, Members: members, Fresh: true}
	c.client = state.NewClient(f.state.Connect(node), state.NewBudget(unlimitedRate, unlimitedRate, testMaxChanges), state.NewTxnLimits(testMaxChanges, log))
	c.cache = NewRecordCache(log)
	history := NewHistory()
	c.Manager = NewManager(ManagerOptions{
		Node: node, Incarnation: incarnation, Lease: testLease, Store: c.client, RecordCache: c.cache,
		Ready: func() bool { return !f.notReady }, Membership: c.currentMembership, Limits: c.client.Limits(), History: history, Log: log,
	})
	c.actions = NewActions(ActionsOptions{
		Node: node, Provider: f.cloud, Manager: c.Manager, RecordCache: c.cache,
		Committer: state.NewCommitter(c.client), Membership: c.currentMembership, MaxValueBytes: testMaxValueBytes, History: history, Log: log,
	})
	go c.watch(f.ctx)
	ctx, stopManager := context.WithCancel(f.ctx)
	c.stopManager = stopManager
	go func() { _ = c.Run(ctx) }()
	time.Sleep(200 * time.Millisecond)
	return c
}

// watch applies watch events to the cache until ctx is done.
func (c *testController) watch(ctx context.Context) {
	for after := uint64(0); ctx.Err() == nil; {
		events, err := c.client.Watch(ctx, "cluster/", after, time.Second)
		c.mu.Lock()
		blocked := c.watchBlocked
		c.mu.Unlock()
		if err != nil || blocked {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c.cache.Apply(events.Events, events.Revision)
		after = max(after, events.Revision)
		c.TriggerReconcile()
	}
}

// fence returns a condition on the current epoch whose local check always holds.
func (f *fixture) fence() state.FencingCondition {
	return state.FencingCondition{Condition: f.epoch, IsCurrent: func() bool { return true }}
}

// The duties for the fleet.
var (
	reclaim = ID{Reclaim, Fleet}
	rent    = ID{Rent, Fleet}
	cleanup = ID{Cleanup, Fleet}
)

// expectGuard checks that Guard returns the given error for the reclaim duty; nil means that
// the duty is held.
func (c *testController) expectGuard(t *testing.T, want error) {
	t.Helper()
	if _, err := c.Guard(reclaim); !errors.Is(err, want) || want == nil && err != nil {
		t.Errorf("Guard: got error %v, want %v", err, want)
	}
}

// awaitAcquisition sets the current epoch, in which next is the only member, and waits long
// enough for next to acquire the reclaim duty.
func (f *fixture) awaitAcquisition(next *testController) {
	next.updateMembership(func(m *Membership) { m.Epoch = f.epoch })
	time.Sleep(200 * time.Millisecond)
	next.expectGuard(f.t, nil)
}

// tokenOf returns the token of a duty according to the controller's cache.
func (c *testController) tokenOf(id ID) uint64 {
	return c.cache.holderOf(id).token
}
