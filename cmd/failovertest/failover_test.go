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

// inProcess is a controller in this process, under the fake clock. All of its requests pass
// through its proxy, so freezing the proxy freezes the controller.
type inProcess struct {
	*failovertest.Proxy
	stop context.CancelFunc
}

// Kill implements failovertest.Controller.
func (c inProcess) Kill() {
	c.stop()
	c.Resume()
}

// testActionInterval is the mean time between two actions of a controller.
const testActionInterval = 100 * time.Millisecond

// runHandovers forces handovers under the fake clock; a lease of 0 turns duties off.
func runHandovers(t *testing.T, seed uint64, handovers int, lease time.Duration) (result failovertest.Result) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		state := standin.NewState()
		checker := failovertest.NewChecker(state, machinesPerGroup, lease > 0)
		var nodes sync.WaitGroup
		nodeSeed := seedsPerGroup * seed
		start := func(name string) (failovertest.Controller, error) {
			ctx, stop := context.WithCancel(ctx)
			nodeSeed++
			proxy := failovertest.NewProxy(checker, name, nodeSeed, func() {})
			node := failovertest.NewNode(failovertest.NodeOptions{
				Name: name, Lease: lease, State: proxy, Provider: proxy,
				Seed: nodeSeed, ActionInterval: testActionInterval, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			})
			nodes.Go(func() { node.Run(ctx) })
			return inProcess{proxy, stop}, nil
		}
		coordinator := failovertest.Coordinator{
			State: state, Checker: checker, Start: start, Seed: seed, Fenced: lease > 0,
			HandoverTimeout: 20 * time.Second, ActionInterval: testActionInterval, SettleTime: 60 * time.Second,
		}
		var err error
		if result, err = coordinator.Run(handovers); err != nil {
			t.Error(err)
		}
		cancel()
		nodes.Wait()
		time.Sleep(failovertest.MaxDelay)
	})
	return result
}

// With duties on, no action of a replaced holder is stale, every intent is completed and every
// handover ends in time. This holds even though holders are frozen or killed in the middle of
// an action, and requests are delayed or duplicated.
func TestForcedHandovers(t *testing.T) {
	var total failovertest.Result
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			result := runHandovers(t, seed, 25, 4*time.Second)
			if result.Checks.Stale > 0 || result.OpenIntents > 0 || result.TimedOut > 0 {
				t.Errorf("got stale actions %v, %d open intents and %d handovers that timed out, want none", result.Checks.Findings, result.OpenIntents, result.TimedOut)
			}
			total.Add(result)
		})
	}
	if checks := total.Checks; checks.Late == 0 || checks.Returned == 0 || checks.Rented == 0 {
		t.Errorf("got %+v, want late actions, returns and rentals", checks)
	}
}

// With duties off, the same handovers lead to stale actions, which the checker detects.
func TestForcedHandoversUnfenced(t *testing.T) {
	stale := 0
	for seed := range uint64(3) {
		stale += runHandovers(t, seed, 25, 0).Checks.Stale
	}
	if stale == 0 {
		t.Error("got no stale actions, want some with duties off")
	}
}
