package cluster

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/standin"
	"heronwick/internal/state"
)

// scriptedPeer answers beats as it is told to.
type scriptedPeer struct {
	mu     sync.Mutex
	status *peerpb.Status
}

func (p *scriptedPeer) Beat(context.Context, *peerpb.Status) (*peerpb.Status, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.status == nil {
		return nil, context.DeadlineExceeded
	}
	return p.status, nil
}

func (p *scriptedPeer) say(token uint64, ready bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.status = &peerpb.Status{Incarnation: 7, Token: token, Ready: ready}
}

// withLeader runs f with a leader of three whose peers are scripted.
func withLeader(t *testing.T, f func(c *Cluster, s *standin.State, b, d *scriptedPeer)) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewState()
		route := state.NewRoute(s.Node("a"), nil)
		client := state.NewClient(route, state.NewBudget(150, 60, 16))
		b, d := &scriptedPeer{}, &scriptedPeer{}
		c := New(Options{
			Node: "a", Client: client, Route: route, Peers: map[string]Beater{"b": b, "d": d}, LeaseFor: 20 * time.Second,
			Share:   func(ctx context.Context) error { <-ctx.Done(); return nil },
			Status:  func(*peerpb.Status) {},
			Changed: func() {}, Weights: func() map[string]float64 { return nil },
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
func TestPermissionInAnOutage(t *testing.T) {
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
				if got := c.Permitted(); got != test.want {
					t.Errorf("permitted: %v, want %v", got, test.want)
				}
			})
		})
	}
}

// Nobody counts on the bound of others' permission without the word of a
// majority that knows the new epoch.
func TestFence(t *testing.T) {
	withLeader(t, func(c *Cluster, _ *standin.State, b, _ *scriptedPeer) {
		time.Sleep(time.Minute)
		if _, ok := c.Fenced(1); ok {
			t.Error("fenced without any acknowledgement")
		}
		b.say(0, false)
		time.Sleep(time.Minute)
		if _, ok := c.Fenced(1); ok {
			t.Error("fenced by a peer that has not read the epoch")
		}
		b.say(1, false)
		time.Sleep(2 * time.Second)
		if _, ok := c.Fenced(1); ok {
			t.Error("fenced before the permission of the third has ended")
		}
		time.Sleep(5 * time.Second)
		if _, ok := c.Fenced(1); !ok {
			t.Error("not fenced by a majority and the bound")
		}
		if _, ok := c.Fenced(2); ok {
			t.Error("fenced for an epoch that has not begun")
		}
	})
}

// Once all others know the epoch, no bound is waited for.
func TestFenceByAll(t *testing.T) {
	withLeader(t, func(c *Cluster, _ *standin.State, b, d *scriptedPeer) {
		b.say(1, false)
		d.say(1, false)
		time.Sleep(1500 * time.Millisecond)
		if _, ok := c.Fenced(1); !ok {
			t.Error("not fenced though all know the epoch")
		}
	})
}

// A controller that was heard, but does not know the epoch, may have ended
// since: it gets no share.
func TestOnlyWhoKnowsTheEpochJoins(t *testing.T) {
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

func TestDivide(t *testing.T) {
	e := Epoch{Members: map[string]Member{"a": {Since: 1}, "b": {Since: 1}}, Teams: map[string]string{}}
	weights := map[string]float64{"red": 5, "blue": 4, "green": 1}
	e.divide(weights)
	if e.Teams["red"] == e.Teams["blue"] || e.Teams["blue"] != e.Teams["green"] {
		t.Errorf("uneven: %v", e.Teams)
	}
	before := e.next()
	weights["green"] = 3 // a little uneven: not worth a move
	e.divide(weights)
	for team, node := range before.Teams {
		if e.Teams[team] != node {
			t.Errorf("%s moved for little", team)
		}
	}
	e.Leader = "b"
	e.Members["d"] = Member{Since: 9}
	e.divide(weights)
	if e.Teams["red"] == "d" || e.Teams["green"] != "d" && e.Teams["blue"] != "d" {
		t.Errorf("the newcomer should get little that runs elsewhere: %v", e.Teams)
	}
	delete(e.Members, "b")
	delete(e.Members, "d")
	e.divide(weights)
	for team, node := range e.Teams {
		if node != "a" {
			t.Errorf("%s belongs to %s, which is gone", team, node)
		}
	}
}
