package duty

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"heronwick/internal/cloud"
	"heronwick/wire"
)

// An intent that was decided under one epoch is not recorded under a newer one, even while
// its duty is held, because the machines may have another owner.
func TestIntentUnderOutdatedEpochIsRefused(t *testing.T) {
	withFixture(t, func(f *fixture) {
		controller := f.start("a", 1)
		fence := f.fence()
		f.newEpoch()
		if _, err := controller.actions.RecordReturn(f.ctx, reclaim, fence, []string{"m1"}, "idle"); err == nil || controller.cache.HasReturnIntent("m1") {
			t.Errorf("RecordReturn under an outdated epoch: got error %v, want one and no recorded intent", err)
		}
		controller.expectGuard(t, nil)
	})
}

// An intent to return stays open until all its machines were returned and all controllers
// know that they no longer exist.
func TestReturnIntentStaysOpenUntilMachinesAreGone(t *testing.T) {
	withFixture(t, func(f *fixture) {
		controller := f.start("a", 1)
		intent, err := controller.actions.RecordReturn(f.ctx, reclaim, f.fence(), []string{"m1", "m2"}, "idle")
		if err != nil {
			t.Fatal(err)
		}
		open := func() int { return controller.cache.OpenIntents().Returns }
		controller.actions.CloseReturns(f.ctx, cleanup, func(string) bool { return true })
		if open() != 1 {
			t.Error("got the intent closed before its machines were returned, want it open")
		}
		if err := controller.actions.SendReturn(f.ctx, intent); err != nil {
			t.Fatal(err)
		}
		controller.actions.CloseReturns(f.ctx, cleanup, func(m string) bool { return m == "m1" })
		if open() != 1 || !controller.cache.HasReturnIntent("m2") {
			t.Error("got the intent closed while the removal of m2 is not known everywhere, want it open")
		}
		controller.actions.CloseReturns(f.ctx, cleanup, func(string) bool { return true })
		if open() != 0 || f.state.Get(returnPrefix+"a/1/1") != nil {
			t.Error("got the intent open after all machines were returned and known to be removed, want it closed")
		}
	})
}

// An intent contains no more machines or requests than fit in a value of the store.
func TestIntentsFitTheValueLimit(t *testing.T) {
	withFixture(t, func(f *fixture) {
		controller := f.start("a", 1)
		var machines []string
		var requests []wire.RentRequest
		for i := range 300 {
			machines = append(machines, fmt.Sprintf("host-%06d", i))
			requests = append(requests, wire.RentRequest{RequestID: fmt.Sprintf("heronwick-a-%d", i), Type: "type", Zone: "zone", Count: 50})
		}
		fitting := controller.actions.MaxReturnMachines(machines)
		if fitting < 50 || fitting == len(machines) {
			t.Fatalf("MaxReturnMachines: got %d of %d machines, want at least 50 but not all", fitting, len(machines))
		}
		if _, err := controller.actions.RecordReturn(f.ctx, reclaim, f.fence(), machines[:fitting], "idle"); err != nil {
			t.Error(err)
		}
		guard, _ := controller.Guard(rent)
		open, err := controller.actions.RecordRentals(f.ctx, guard, f.fence(), requests)
		if err != nil || len(open.Requests) < 5 || len(open.Requests) == len(requests) {
			t.Errorf("RecordRentals: got %d of %d requests and error %v, want at least 5 but not all, and no error", len(open.Requests), len(requests), err)
		}
		if key, size := f.state.LargestValue(); size > testMaxValueBytes {
			t.Errorf("value of %s: got %d bytes, want no more than the limit", key, size)
		}
	})
}

// An intent to rent can be closed after the cloud has refused its request for lack of
// capacity. Neither the same holder nor its successor sends the request again.
func TestRentalRefusedForCapacityIsClosed(t *testing.T) {
	withFixture(t, func(f *fixture) {
		controller := f.start("a", 1)
		guard, _ := controller.Guard(rent)
		open, err := controller.actions.RecordRentals(f.ctx, guard, f.fence(), []wire.RentRequest{{RequestID: "r1", Count: 1}})
		if err != nil {
			t.Fatal(err)
		}
		f.cloud.errors = []error{cloud.ErrNoCapacity}
		if _, err := controller.actions.Rent(f.ctx, guard, open.Requests[0]); !errors.Is(err, cloud.ErrNoCapacity) {
			t.Errorf("Rent: got error %v, want cloud.ErrNoCapacity", err)
		}
		controller.actions.CloseRental(f.ctx, guard, open)
		next := f.start("b", 2)
		if rentals := next.actions.OpenRentals(); len(rentals) > 0 {
			t.Errorf("got open rentals %v at the successor, want none", rentals)
		}
		if _, err := controller.actions.Rent(f.ctx, guard, open.Requests[0]); err == nil {
			t.Error("Rent after the intent was closed: got no error, want one")
		}
	})
}

// If the store executes the write of an intent only after the machine was returned without
// an intent, the late intent is closed as well.
func TestLateIntentOfUnrecordedReturnIsClosed(t *testing.T) {
	withFixture(t, func(f *fixture) {
		controller := f.start("a", 1)
		f.state.HoldTransactions(100)
		ctx, cancel := context.WithTimeout(f.ctx, time.Second)
		defer cancel()
		if _, err := controller.actions.RecordReturn(ctx, reclaim, f.fence(), []string{"m1"}, "overdue"); err == nil {
			t.Error("RecordReturn without a response to its write: got no error, want one")
		}
		if err := controller.actions.SendUnrecordedReturn(f.ctx, reclaim, []string{"m1"}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		f.state.HoldTransactions(0)
		f.state.ReleaseTransactions()
		time.Sleep(2 * time.Second)
		if !controller.actions.HasReturnIntent("m1") {
			t.Fatal("HasReturnIntent: got false, want true: without the delayed write this test checks nothing")
		}
		controller.actions.CloseReturns(f.ctx, cleanup, func(string) bool { return true })
		if open := controller.cache.OpenIntents().Returns; open > 0 {
			t.Errorf("got %d open return intents, want none", open)
		}
	})
}
