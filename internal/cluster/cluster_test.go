package cluster

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/job"
	"heronwick/internal/standin"
	"heronwick/internal/state"
	"heronwick/wire"
)

// scriptedPeer answers beats as it is told to.
type scriptedPeer struct {
	mu     sync.Mutex
	status *peerpb.Status
	told   []*peerpb.Cancelled
}

func (p *scriptedPeer) Heartbeat(context.Context, *peerpb.Status) (*peerpb.Status, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.status == nil {
		return nil, context.DeadlineExceeded
	}
	return p.status, nil
}

func (p *scriptedPeer) ReplicateCancellations(_ context.Context, req *peerpb.TellRequest) (*peerpb.TellReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.status == nil {
		return nil, context.DeadlineExceeded
	}
	p.told = append(p.told, req.Cancelled...)
	return &peerpb.TellReply{}, nil
}

func (p *scriptedPeer) say(token uint64, ready bool) {
	p.change(func(s *peerpb.Status) { s.Token, s.Ready = token, ready })
}

// change changes what the peer answers from now on.
func (p *scriptedPeer) change(f func(*peerpb.Status)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	status := &peerpb.Status{Incarnation: 7, JobsRead: true, JobsBase: 1, JobsRevision: 1}
	if p.status != nil {
		status.Token, status.Ready, status.JobsBase, status.JobsRevision = p.status.Token, p.status.Ready, p.status.JobsBase, p.status.JobsRevision
		status.JobsRead, status.Cancelled = p.status.JobsRead, p.status.Cancelled
	}
	f(status)
	p.status = status
}

// tells returns what the peer has been told.
func (p *scriptedPeer) tells() []*peerpb.Cancelled {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.told)
}

// silence ends the peer.
func (p *scriptedPeer) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.status = nil
}

// fakeCancellations is what the controller under test knows of cancellations.
type fakeCancellations struct {
	mu       sync.Mutex
	revision uint64
	learnt   []job.Cancellation
	client   *state.Client
	fails    bool
}

func (k *fakeCancellations) KnownCancellations(after uint64) job.CancellationState {
	k.mu.Lock()
	defer k.mu.Unlock()
	known := job.CancellationState{Loaded: true, Revision: k.revision}
	for _, n := range k.learnt {
		if n.Revision > after {
			known.Recent = append(known.Recent, n)
		}
	}
	return known
}

func (k *fakeCancellations) ApplyCancellations(cancelled []job.Cancellation) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.learnt = append(k.learnt, cancelled...)
}

// fail makes the jobs unreadable, or readable again.
func (k *fakeCancellations) fail(on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fails = on
}

func (k *fakeCancellations) SyncToRevision(ctx context.Context, revision uint64) error {
	k.mu.Lock()
	fails := k.fails
	k.mu.Unlock()
	if fails {
		return context.DeadlineExceeded
	}
	if _, err := k.client.Watch(ctx, "jobs/", 0, 0); err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revision = max(k.revision, revision)
	return nil
}

// withLeader runs f with a leader of three whose peers are scripted.
func withLeader(t *testing.T, f func(c *Cluster, s *standin.State, b, d *scriptedPeer)) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewState()
		route := state.NewFailoverTransport(s.Connect("a"), nil)
		client := state.NewClient(route, state.NewBudget(150, 60, 16))
		b, d := &scriptedPeer{}, &scriptedPeer{}
		c := New(Options{
			Node: "a", Client: client, Route: route, Peers: map[string]PeerClient{"b": b, "d": d}, LeaseFor: 20 * time.Second,
			CancelIn: 40 * time.Second, Cancellations: &fakeCancellations{revision: 1, client: client},
			RunMembership: func(ctx context.Context, _ *Membership) error { <-ctx.Done(); return nil },
			Status:        func(*peerpb.Status) {},
			Changed:       func() {}, Weights: func() map[string]float64 { return nil },
			Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = c.Run(ctx) }()
		time.Sleep(2 * time.Second)
		if _, leads, member := c.Current(); !leads || !member {
			t.Error("nobody else is there, and it does not lead")
		}
		f(c, s, b, d)
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// In an outage of the store a majority that knows of no newer epoch keeps the
// permission; a peer that has not read the epoch since it started does not
// count, since it may have forgotten a newer one.
func TestConfirmedByPeersDuringStoreOutage(t *testing.T) {
	for _, test := range []struct {
		name  string
		token uint64
		want  bool
	}{{"peer knows the epoch", 1, true}, {"peer has read nothing yet", 0, false}, {"peer knows a newer one", 9, false}} {
		t.Run(test.name, func(t *testing.T) {
			withLeader(t, func(c *Cluster, s *standin.State, b, _ *scriptedPeer) {
				s.SetOutage(true)
				b.say(test.token, false)
				time.Sleep(10 * time.Second)
				if got := c.CanAnswerHeartbeats(); got != test.want {
					t.Errorf("permitted: %v, want %v", got, test.want)
				}
			})
		})
	}
}

// The invariant behind "Cancelled means known": nothing renews the permission
// but what also brings every cancellation that was confirmed before.
func TestConfirmationRequiresKnownCancellations(t *testing.T) {
	cancelled := []*peerpb.Cancelled{{Job: "wk-000001", Revision: 50, Tasks: 3, Team: "red", Cpus: 2}}
	for _, test := range []struct {
		name   string
		say    func(*peerpb.Status)
		want   bool
		learns bool
	}{
		{"a peer that names all it knows", func(s *peerpb.Status) { s.Cancelled = cancelled }, true, true},
		{"a peer that has not read the jobs since it started", func(s *peerpb.Status) { s.JobsRead, s.JobsBase = false, 0 }, false, false},
		{"a peer that cannot name what came before it started", func(s *peerpb.Status) { s.JobsBase = 60 }, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			withLeader(t, func(c *Cluster, s *standin.State, b, _ *scriptedPeer) {
				k := c.opts.Cancellations.(*fakeCancellations)
				s.SetOutage(true)
				b.say(1, false)
				b.change(test.say)
				time.Sleep(10 * time.Second)
				if got := c.CanAnswerHeartbeats(); got != test.want {
					t.Errorf("permitted: %v, want %v", got, test.want)
				}
				if learnt := k.KnownCancellations(0).Recent; len(learnt) > 0 != test.learns {
					t.Errorf("learnt %v", learnt)
				}
				s.SetOutage(false)
				time.Sleep(5 * time.Second)
				if !c.CanAnswerHeartbeats() {
					t.Error("not permitted though the store shows all cancellations")
				}
			})
		})
	}
	t.Run("the store's word without its cancellations", func(t *testing.T) {
		withLeader(t, func(c *Cluster, s *standin.State, _, _ *scriptedPeer) {
			k := c.opts.Cancellations.(*fakeCancellations)
			k.fail(true)
			time.Sleep(10 * time.Second)
			if c.CanAnswerHeartbeats() {
				t.Error("permitted by a store whose cancellations could not be read")
			}
			k.fail(false)
			time.Sleep(2 * time.Second)
			if !c.CanAnswerHeartbeats() {
				t.Error("not permitted though the store shows all cancellations")
			}
		})
	})
}

// A cancellation is confirmed once so many know it that no majority can confirm
// without one of them, or by the only member there is.
func TestReplicate(t *testing.T) {
	cancellation := job.Cancellation{Job: "wk-000001", Revision: 50, Outcome: job.Outcome{State: wire.JobCancelled, Tasks: 3}}
	withLeader(t, func(c *Cluster, _ *standin.State, b, d *scriptedPeer) {
		replicated := func(what string, want bool) {
			t.Helper()
			began := time.Now()
			if err := c.Replicate(context.Background(), cancellation); (err == nil) != want || time.Since(began) > time.Second {
				t.Errorf("%s: %v after %v", what, err, time.Since(began))
			}
		}
		replicated("the only member", true)
		b.say(1, true)
		d.say(1, true)
		time.Sleep(3 * time.Second)
		replicated("all can be told", true)
		if toB, toD := b.tells(), d.tells(); len(toB) != 1 || len(toD) != 1 || toB[0].Job != cancellation.Job {
			t.Errorf("told %v and %v", toB, toD)
		}
		d.silence()
		replicated("one can be told", true)
		b.silence()
		replicated("nobody can be told", false)
		time.Sleep(5 * time.Second)
		replicated("the only member again", true)
		b.say(c.Token(), true)
		time.Sleep(3 * time.Second)
		b.silence()
		replicated("the other member cannot be told", false)
		b.change(func(s *peerpb.Status) { s.Token, s.Ready, s.JobsRevision = c.Token(), true, 50 })
		time.Sleep(1500 * time.Millisecond)
		b.silence()
		replicated("the other has said that it knows", true)
	})
}

// Where the settings leave too little time for a lease to lapse after a
// permission, the permission is shorter, and all must know at last.
func TestConfirmationTTLLeavesTimeForLeaseExpiry(t *testing.T) {
	for _, test := range []struct {
		lease, cancel, permission time.Duration
		inTime                    bool
	}{
		{16 * time.Second, 36 * time.Second, 4 * time.Second, true},
		{26500 * time.Millisecond, 46500 * time.Millisecond, 6625 * time.Millisecond, true},
		{20 * time.Second, 24 * time.Second, 3480 * time.Millisecond, true},
		{20 * time.Second, 22 * time.Second, minConfirmationTTL, false},
		{20 * time.Second, 10 * time.Second, minConfirmationTTL, false},
		{4 * time.Second, 20 * time.Second, time.Second, true},
	} {
		if permission, inTime := confirmationTTLFor(test.lease, test.cancel); permission != test.permission || inTime != test.inTime {
			t.Errorf("lease %v, cancel in %v: %v %v, want %v %v", test.lease, test.cancel, permission, inTime, test.permission, test.inTime)
		}
	}
}

// Nobody counts on the bound of others' permission without the word of a
// majority that knows the new epoch.
func TestFencedSinceMajorityAfterConfirmationTTL(t *testing.T) {
	withLeader(t, func(c *Cluster, _ *standin.State, b, _ *scriptedPeer) {
		time.Sleep(time.Minute)
		if _, ok := c.FencedSince(1); ok {
			t.Error("fenced without any acknowledgement")
		}
		b.say(0, false)
		time.Sleep(time.Minute)
		if _, ok := c.FencedSince(1); ok {
			t.Error("fenced by a peer that has not read the epoch")
		}
		b.say(1, false)
		time.Sleep(2 * time.Second)
		if _, ok := c.FencedSince(1); ok {
			t.Error("fenced before the permission of the third has ended")
		}
		time.Sleep(5 * time.Second)
		if _, ok := c.FencedSince(1); !ok {
			t.Error("not fenced by a majority and the bound")
		}
		if _, ok := c.FencedSince(2); ok {
			t.Error("fenced for an epoch that has not begun")
		}
	})
}

// Once all others know the epoch, no bound is waited for.
func TestFencedSinceAllPeersAcknowledge(t *testing.T) {
	withLeader(t, func(c *Cluster, _ *standin.State, b, d *scriptedPeer) {
		b.say(1, false)
		d.say(1, false)
		time.Sleep(1500 * time.Millisecond)
		if _, ok := c.FencedSince(1); !ok {
			t.Error("not fenced though all know the epoch")
		}
	})
}

// A controller that was heard, but does not know the epoch, may have ended
// since: it gets no share.
func TestOnlyPeersWithCurrentEpochJoin(t *testing.T) {
	withLeader(t, func(c *Cluster, _ *standin.State, b, _ *scriptedPeer) {
		b.say(0, true)
		time.Sleep(3 * time.Second)
		if epoch, _, _ := c.Current(); len(epoch.Members) != 1 {
			t.Errorf("a member that does not know the epoch: %v", epoch.Members)
		}
		b.say(1, true)
		time.Sleep(3 * time.Second)
		if epoch, _, _ := c.Current(); len(epoch.Members) != 2 {
			t.Errorf("it does not join: %v", epoch.Members)
		}
	})
}

func TestAssignTeams(t *testing.T) {
	e := Epoch{Members: map[string]Member{"a": {Since: 1}, "b": {Since: 1}}, Teams: map[string]string{}}
	weights := map[string]float64{"red": 5, "blue": 4, "green": 1}
	e.assignTeams(weights)
	if e.Teams["red"] == e.Teams["blue"] || e.Teams["blue"] != e.Teams["green"] {
		t.Errorf("uneven: %v", e.Teams)
	}
	before := e.next()
	weights["green"] = 3 // a little uneven: not worth a move
	e.assignTeams(weights)
	for team, node := range before.Teams {
		if e.Teams[team] != node {
			t.Errorf("%s moved for little", team)
		}
	}
	e.Leader = "b"
	e.Members["d"] = Member{Since: 9}
	e.assignTeams(weights)
	if e.Teams["red"] == "d" || e.Teams["green"] != "d" && e.Teams["blue"] != "d" {
		t.Errorf("the newcomer should get little that runs elsewhere: %v", e.Teams)
	}
	delete(e.Members, "b")
	delete(e.Members, "d")
	e.assignTeams(weights)
	for team, node := range e.Teams {
		if node != "a" {
			t.Errorf("%s belongs to %s, which is gone", team, node)
		}
	}
}

// delayedListTransport holds back the answer to a listing until it is let go.
type delayedListTransport struct {
	state.Transport
	hold chan struct{}
}

func (d *delayedListTransport) Do(ctx context.Context, method, target string, body []byte) (int, []byte, error) {
	status, reply, err := d.Transport.Do(ctx, method, target, body)
	if d.hold != nil && method == "GET" && strings.HasPrefix(target, wire.PathKeys+"?") {
		<-d.hold
	}
	return status, reply, err
}

// A listing that was on its way while a machine was given does not undo that:
// its owner before would take it for nobody's and answer its worker (ran_twice).
func TestDelayedListKeepsNewerTransfers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		path := &delayedListTransport{Transport: standin.NewState().Connect("a")}
		client := state.NewClient(path, state.NewBudget(150, 60, 16))
		c := New(Options{Node: "a", Client: client, LeaseFor: 20 * time.Second, CancelIn: 40 * time.Second,
			Cancellations: &fakeCancellations{client: client}, Changed: func() {}, Weights: func() map[string]float64 { return nil },
			Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
		c.campaign(ctx)
		path.hold = make(chan struct{})
		done := make(chan error)
		go func() { done <- c.refresh(ctx) }()
		time.Sleep(100 * time.Millisecond)
		condition, change, _ := c.TransferWrite("a", map[string]json.RawMessage{"m1": json.RawMessage("{}")})
		version, err := client.Txn(ctx, state.Urgent, wire.Txn{If: []wire.Condition{condition}, Then: []wire.Change{change}})
		if err != nil {
			t.Fatal(err)
		}
		c.NoteOwner(change, version)
		close(path.hold)
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		if o, named := c.OwnerOf("m1"); !named || o.Node != "a" {
			t.Errorf("after a listing from before its transfer, the machine's owner is %+v", o)
		}
	})
}

// An epoch that a controller reads before its watch brings it is told of at once:
// the share went on by the one before until it happened to look.
func TestReadEpochCallsChanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		client := state.NewClient(standin.NewState().Connect("a"), state.NewBudget(150, 60, 16))
		told := 0
		c := New(Options{Node: "a", Client: client, LeaseFor: 20 * time.Second, CancelIn: 40 * time.Second,
			Cancellations: &fakeCancellations{client: client}, Changed: func() { told++ }, Weights: func() map[string]float64 { return nil },
			Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
		c.campaign(ctx)
		epoch, condition := c.CurrentEpoch()
		value, err := json.Marshal(epoch.next())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := client.Txn(ctx, state.Urgent, wire.Txn{If: []wire.Condition{condition}, Then: []wire.Change{{Put: epochKey, Value: value}}}); err != nil {
			t.Fatal(err)
		}
		told = 0
		if err := c.AdvanceEpoch(ctx); err == nil {
			t.Fatal("an outdated epoch was raised")
		}
		if now, _ := c.CurrentEpoch(); now.Token != epoch.Token+1 || told == 0 {
			t.Errorf("the epoch is %d, was %d, told %d times", now.Token, epoch.Token, told)
		}
	})
}
