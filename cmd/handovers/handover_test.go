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

// inProcess is a controller in this process, under the fake clock: all that it does goes
// through its door.
type inProcess struct {
	*handover.Door
	stop context.CancelFunc
}

// Kill implements handover.Controller.
func (c inProcess) Kill() {
	c.stop()
	c.Resume()
}

// rehearse forces handovers under the fake clock.
func rehearse(t *testing.T, seed uint64, handovers int, lease time.Duration) (result handover.Result) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		state := standin.NewState()
		judge := handover.NewJudge(state, 30, lease > 0)
		var group sync.WaitGroup
		number := 1000 * seed
		start := func(name string) handover.Controller {
			ctx, stop := context.WithCancel(ctx)
			number++
			door := handover.NewDoor(judge, name, number, func() {})
			m := handover.NewMember(handover.MemberOptions{Node: name, Lease: lease, State: door, Provider: door,
				Seed: number, Pace: 100 * time.Millisecond, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
			group.Go(func() { m.Run(ctx) })
			return inProcess{door, stop}
		}
		d := handover.Director{State: state, Judge: judge, Start: start, Seed: seed, Fenced: lease > 0, Patience: 20 * time.Second,
			Pace: 100 * time.Millisecond, Settle: 60 * time.Second}
		result = d.Run(handovers)
		cancel()
		group.Wait()
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
