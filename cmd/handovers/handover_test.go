package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"heronwick/internal/handover"
	"heronwick/internal/standin"
)

// gate stands for the processor of one controller: nothing passes while it is frozen.
type gate struct {
	mu     sync.Mutex
	armed  handover.Point
	arm    bool
	closed chan struct{} // nil: open
	stop   context.CancelFunc
}

// pass waits while the controller is frozen.
func (g *gate) pass() {
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if closed != nil {
		<-closed
	}
}

// at freezes the controller if it is to be frozen at this point.
func (g *gate) at(p handover.Point) {
	g.mu.Lock()
	if g.arm && g.armed == p {
		g.arm, g.closed = false, make(chan struct{})
	}
	g.mu.Unlock()
	g.pass()
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.arm = false; g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
}

// gatedState is a controller's way to the store, through its gate.
type gatedState struct {
	*standin.Path
	gate *gate
}

// Do implements state.Doer.
func (s gatedState) Do(ctx context.Context, method, target string, body []byte) (int, []byte, error) {
	s.gate.pass()
	status, reply, err := s.Path.Do(ctx, method, target, body)
	s.gate.pass()
	return status, reply, err
}

// gatedProcesses are controllers in this process, under the fake clock.
type gatedProcesses struct {
	ctx   context.Context
	state *standin.State
	judge *handover.Judge
	seed  uint64
	lease time.Duration
	gates map[string]*gate
	group sync.WaitGroup
}

func (p *gatedProcesses) Start(name string) {
	ctx, stop := context.WithCancel(p.ctx)
	g := &gate{stop: stop}
	p.gates[name] = g
	p.seed++
	m := handover.NewMember(handover.MemberOptions{Node: name, Lease: p.lease, State: gatedState{p.state.Node(name), g}, Provider: handover.NewNetwork(p.judge, name, p.seed),
		Machines: p.judge.Machines, At: g.at, Seed: p.seed, Pace: 100 * time.Millisecond, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	p.group.Go(func() { m.Run(ctx) })
}

func (p *gatedProcesses) Arm(name string, at handover.Point) {
	g := p.gates[name]
	g.mu.Lock()
	defer g.mu.Unlock()
	g.armed, g.arm = at, true
}

func (p *gatedProcesses) Frozen(name string) bool {
	g := p.gates[name]
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed != nil
}

func (p *gatedProcesses) Resume(name string) { p.gates[name].resume() }

func (p *gatedProcesses) Kill(name string) {
	p.gates[name].stop()
	p.gates[name].resume()
}

// rehearse forces handovers under the fake clock.
func rehearse(t *testing.T, seed uint64, handovers int, lease time.Duration) (result handover.Result) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		state := standin.NewState()
		judge := handover.NewJudge(state, 30, lease > 0)
		p := &gatedProcesses{ctx: ctx, state: state, judge: judge, seed: 1000 * seed, lease: lease, gates: map[string]*gate{}}
		d := handover.Director{State: state, Judge: judge, Controllers: p, Seed: seed, Fenced: lease > 0, Patience: 20 * time.Second, Pace: 100 * time.Millisecond, Settle: 60 * time.Second}
		result = d.Run(handovers)
		cancel()
		p.group.Wait()
		time.Sleep(handover.MaxLate)
	})
	return result
}

// Whoever holds the duties is frozen in the middle of an action, or ends there, and
// another takes over; requests are carried out late, and twice. Nothing that a
// replaced holder has sent harms a machine that somebody uses, and nothing that it
// had begun is left undone.
func TestForcedHandovers(t *testing.T) {
	var all handover.Verdict
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rehearse(t, seed, 25, 4*time.Second)
			if r.Verdict.Stale > 0 || r.Undone > 0 || r.Missed > 0 {
				t.Errorf("stale: %v, undone: %d, missed: %d", r.Verdict.Findings, r.Undone, r.Missed)
			}
			all.Late, all.Returned, all.Rented = all.Late+r.Verdict.Late, all.Returned+r.Verdict.Returned, all.Rented+r.Verdict.Rented
		})
	}
	if all.Late == 0 || all.Returned == 0 || all.Rented == 0 {
		t.Errorf("the runs show nothing: %+v", all)
	}
}

// Without duties the same handovers do harm: the judge finds what it is there for.
func TestForcedHandoversWithoutDuties(t *testing.T) {
	stale := 0
	for seed := range uint64(3) {
		stale += rehearse(t, seed, 25, 0).Verdict.Stale
	}
	if stale == 0 {
		t.Error("no stale action was accepted")
	}
}
