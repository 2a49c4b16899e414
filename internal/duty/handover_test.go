package duty

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"heronwick/internal/cloud"
	"heronwick/wire"
)

// Two controllers believe that they hold the same duty: the replaced one has not seen its
// successor's record, and its lease has not expired. The store refuses the intents of the
// replaced one, so it sends no request.
func TestReplacedHolderIsRefused(t *testing.T) {
	withFixture(t, func(f *fixture) {
		previous := f.start("a", 1)
		previous.expectGuard(t, nil)
		previous.blockWatch(true)
		next := f.start("b", 2)
		f.awaitAcquisition(next)
		guard, err := previous.Guard(reclaim)
		if err != nil {
			t.Fatalf("Guard of the previous holder: got error %v, want none as it has not seen its successor", err)
		}
		if _, err := previous.actions.RecordReturn(f.ctx, reclaim, f.fence(), []string{"m1"}, "idle"); !errors.Is(err, ErrReplaced) {
			t.Errorf("RecordReturn by the previous holder: got error %v, want ErrReplaced", err)
		}
		if _, err := previous.actions.RecordRentals(f.ctx, guard, f.fence(), []wire.RentRequest{{RequestID: "r1"}}); err == nil {
			t.Error("RecordRentals by the previous holder: got no error, want one")
		}
		if _, err := previous.actions.Rent(f.ctx, guard, wire.RentRequest{RequestID: "r1"}); !errors.Is(err, ErrNoIntent) {
			t.Errorf("Rent by the previous holder without an intent: got error %v, want ErrNoIntent", err)
		}
		if len(f.cloud.returned)+len(f.cloud.rented) > 0 || next.cache.HasReturnIntent("m1") {
			t.Errorf("got returns %v and rentals %v sent, or a return intent for m1; want none", f.cloud.returned, f.cloud.rented)
		}
		if previous.opts.History.Count(EventRefused) == 0 {
			t.Error("got no refusal counted, want at least one")
		}
	})
}

// The next holder of a duty for the fleet completes the returns of an earlier holder, even
// while the earlier holder is still a member. Returns of a shard's duty are left to the node
// of the shard.
func TestSuccessorCompletesIntentsOfEarlierHolder(t *testing.T) {
	withFixture(t, func(f *fixture) {
		controller := f.start("a", 1)
		shard := ID{Return, Shard("a")}
		for id, machine := range map[ID]string{reclaim: "m1", shard: "m2"} {
			if _, err := controller.actions.RecordReturn(f.ctx, id, f.fence(), []string{machine}, "idle"); err != nil {
				t.Fatal(err)
			}
		}
		if abandoned := controller.actions.AbandonedReturns(); len(abandoned) > 0 {
			t.Errorf("AbandonedReturns while the duty is held under the intents' tokens: got %v, want none", abandoned)
		}
		controller.updateMembership(func(m *Membership) { m.IsLeader = false })
		time.Sleep(time.Second)
		if abandoned := controller.actions.AbandonedReturns(); !slices.Equal(abandoned, []string{"m1"}) {
			t.Errorf("AbandonedReturns after the duty was resigned: got %v, want m1", abandoned)
		}
	})
}

// The first of three holders records a return and a rental, the second sends both without
// getting a response, and the third completes both. The rental is sent under the request ID of
// the first holder, so that nothing is rented twice.
func TestSuccessorsCompleteOpenIntents(t *testing.T) {
	withFixture(t, func(f *fixture) {
		first := f.start("a", 1)
		f.recordIntents(first)
		first.updateMembership(func(m *Membership) { m.Since = 0 })
		second := f.start("b", 2)
		second.expectGuard(t, nil)
		f.sendUnanswered(second)
		second.updateMembership(func(m *Membership) { m.Since = 0 })
		third := f.start("c", 3)
		third.expectGuard(t, nil)
		f.completeIntents(third)
		if open := third.cache.OpenIntents(); open.Returns+open.Rentals > 0 {
			t.Errorf("got %d open returns and %d open rentals, want none", open.Returns, open.Rentals)
		}
		if !slices.Equal(f.cloud.rented, []string{"r1", "r1"}) {
			t.Errorf("got rentals under the request IDs %v, want r1 twice", f.cloud.rented)
		}
		// If the store executes late copies of all writes, only intents that were recorded
		// before can come back.
		f.state.ReplayTransactions()
		time.Sleep(time.Second)
		if abandoned := third.actions.AbandonedReturns(); len(abandoned) > 0 && !slices.Equal(abandoned, []string{"m1", "m2"}) {
			t.Errorf("AbandonedReturns after the replay: got %v, want none, or m1 and m2", abandoned)
		}
		third.expectGuard(t, nil)
	})
}

// recordIntents makes a holder record the return of m1 and m2 and the rental r1.
func (f *fixture) recordIntents(holder *testController) {
	f.t.Helper()
	if _, err := holder.actions.RecordReturn(f.ctx, reclaim, f.fence(), []string{"m1", "m2"}, "idle"); err != nil {
		f.t.Fatal(err)
	}
	guard, _ := holder.Guard(rent)
	if _, err := holder.actions.RecordRentals(f.ctx, guard, f.fence(), []wire.RentRequest{{RequestID: "r1", Count: 1}}); err != nil {
		f.t.Fatal(err)
	}
}

// sendUnanswered makes a holder send the open intents of an earlier one while the cloud does
// not respond.
func (f *fixture) sendUnanswered(holder *testController) {
	f.t.Helper()
	if abandoned := holder.actions.AbandonedReturns(); !slices.Equal(abandoned, []string{"m1", "m2"}) {
		f.t.Errorf("AbandonedReturns: got %v, want m1 and m2", abandoned)
	}
	intent, err := holder.actions.RecordReturn(f.ctx, reclaim, f.fence(), holder.actions.AbandonedReturns(), "abandoned")
	if err != nil {
		f.t.Fatal(err)
	}
	f.cloud.errors = []error{cloud.ErrUnavailable, cloud.ErrUnavailable}
	if err := holder.actions.SendReturn(f.ctx, intent); err == nil {
		f.t.Error("SendReturn without a response: got no error, want one")
	}
	guard, _ := holder.Guard(rent)
	if _, err := holder.actions.Rent(f.ctx, guard, holder.actions.OpenRentals()[0].Requests[0]); err == nil {
		f.t.Error("Rent without a response: got no error, want one")
	}
}

// completeIntents makes a holder send and close the open intents of earlier ones.
func (f *fixture) completeIntents(holder *testController) {
	f.t.Helper()
	intent, _ := holder.actions.RecordReturn(f.ctx, reclaim, f.fence(), holder.actions.AbandonedReturns(), "abandoned")
	if err := holder.actions.SendReturn(f.ctx, intent); err != nil {
		f.t.Fatal(err)
	}
	guard, _ := holder.Guard(rent)
	open := holder.actions.OpenRentals()[0]
	if _, err := holder.actions.Rent(f.ctx, guard, open.Requests[0]); err != nil {
		f.t.Fatal(err)
	}
	holder.actions.CloseRental(f.ctx, guard, open)
	holder.actions.CloseReturns(f.ctx, cleanup, func(string) bool { return true })
}

// The write of an intent is delayed and gets no response. If the store executes it before the
// handover, the successor completes the intent; if the store executes it later, the write
// fails.
func TestDelayedIntentWrite(t *testing.T) {
	for _, before := range []bool{true, false} {
		t.Run(fmt.Sprintf("before the handover: %v", before), func(t *testing.T) {
			withFixture(t, func(f *fixture) {
				previous := f.start("a", 1)
				f.state.HoldTransactions(100) // the write is retried
				ctx, cancel := context.WithTimeout(f.ctx, 100*time.Millisecond)
				defer cancel()
				if _, err := previous.actions.RecordReturn(ctx, reclaim, f.fence(), []string{"m1"}, "idle"); err == nil {
					t.Error("RecordReturn without a response to its write: got no error, want one")
				}
				previous.stopManager()
				time.Sleep(5 * time.Second)
				f.state.HoldTransactions(0)
				if before {
					f.state.ReleaseTransactions()
				}
				next := f.start("b", 2)
				next.expectGuard(t, nil)
				if !before {
					f.state.ReleaseTransactions()
				}
				time.Sleep(2 * time.Second)
				if recorded := next.actions.HasReturnIntent("m1"); recorded != before {
					t.Errorf("HasReturnIntent of m1 at the successor: got %v, want it only if written before the handover", recorded)
				}
				if abandoned := next.actions.AbandonedReturns(); before != slices.Equal(abandoned, []string{"m1"}) {
					t.Errorf("AbandonedReturns at the successor: got %v, want m1 only if written before the handover", abandoned)
				}
			})
		})
	}
}
