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

	"heronwick/internal/failovertest"
	"heronwick/internal/standin"
)

// inProcess is a controller in this process, under the fake clock: all that it does goes
// through its proxy.
type inProcess struct {
	*failovertest.Proxy
	stop context.CancelFunc
}

// Kill implements failovertest.Controller.
func (c inProcess) Kill() {
	c.stop()
	c.Resume()
}

// runHandovers forces handovers under the fake clock.
func runHandovers(t *testing.T, seed uint64, handovers int, lease time.Duration) (result failovertest.Result) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		state := standin.NewState()
		checker := failovertest.NewChecker(state, 30, lease > 0)
		var group sync.WaitGroup
		number := 1000 * seed
		start := func(name string) failovertest.Controller {
			ctx, stop := context.WithCancel(ctx)
			number++
			proxy := failovertest.NewProxy(checker, name, number, func() {})
			node := failovertest.NewNode(failovertest.NodeOptions{Name: name, Lease: lease, State: proxy, Provider: proxy,
				Seed: number, ActionInterval: 100 * time.Millisecond, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
			group.Go(func() { node.Run(ctx) })
			return inProcess{proxy, stop}
		}
		coordinator := failovertest.Coordinator{State: state, Checker: checker, Start: start, Seed: seed, Fenced: lease > 0, HandoverTimeout: 20 * time.Second,
			ActionInterval: 100 * time.Millisecond, SettleTime: 60 * time.Second}
		result = coordinator.Run(handovers)
		cancel()
		group.Wait()
		time.Sleep(failovertest.MaxDelay)
	})
	return result
}

// Whoever holds the duties is frozen in the middle of an action, or ends there, and
// another takes over; requests are carried out late, and twice. Nothing that a
// replaced holder has sent harms a machine that somebody uses, and nothing that it
// had begun is left undone.
func TestForcedHandovers(t *testing.T) {
	var all failovertest.CheckCounts
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := runHandovers(t, seed, 25, 4*time.Second)
			if r.Checks.Stale > 0 || r.OpenIntents > 0 || r.TimedOut > 0 {
				t.Errorf("stale: %v, undone: %d, missed: %d", r.Checks.Findings, r.OpenIntents, r.TimedOut)
			}
			all.Late, all.Returned, all.Rented = all.Late+r.Checks.Late, all.Returned+r.Checks.Returned, all.Rented+r.Checks.Rented
		})
	}
	if all.Late == 0 || all.Returned == 0 || all.Rented == 0 {
		t.Errorf("the runs show nothing: %+v", all)
	}
}

// Without duties the same handovers do harm: the checker finds what it is there for.
func TestForcedHandoversUnfenced(t *testing.T) {
	stale := 0
	for seed := range uint64(3) {
		stale += runHandovers(t, seed, 25, 0).Checks.Stale
	}
	if stale == 0 {
		t.Error("no stale action was accepted")
	}
}
