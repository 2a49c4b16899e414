package duty

import (
	"errors"
	"slices"
	"testing"
	"time"
)

// A holder that stays a member loses the duty when its lease expires, and not before. By then
// its guard refuses actions.
func TestFrozenHolderLosesDutyAtLeaseExpiry(t *testing.T) {
	withFixture(t, func(f *fixture) {
		f.members = map[string]uint64{"a": 1, "b": 2}
		previous := f.start("a", 1)
		next := f.start("b", 2)
		first := previous.tokenOf(reclaim)
		time.Sleep(3 * testLease)
		previous.expectGuard(t, nil)
		next.expectGuard(t, ErrNotHeld)
		if token := previous.tokenOf(reclaim); token != first {
			t.Errorf("duty was acquired again while its lease was renewed: had token %d, got %d", first, token)
		}
		guard, _ := previous.Guard(reclaim)
		f.state.RejectNode("a", true) // to the store, the node appears frozen
		began := time.Now()
		for next.check(reclaim, next.tokenOf(reclaim)) != nil {
			time.Sleep(20 * time.Millisecond)
			if stops := previous.check(reclaim, guard.token); stops == nil && f.state.Version(sessionKey("a")) == 0 {
				t.Fatal("check: got no error after the lease has expired, want one")
			}
			if time.Since(began) > 2*testLease {
				t.Fatal("got no new holder after two lease durations, want one")
			}
		}
		if took := time.Since(began); took > testLease+500*time.Millisecond {
			t.Errorf("got a new holder after %v, want one within a lease duration plus 500ms", took)
		}
		if err := guard.Check(); err == nil {
			t.Error("Check of the previous holder's guard: got no error, want one")
		}
	})
}

// A renewed lease is counted from when the renewal was sent. If it were counted from a late
// response, its holder would act after the store has let the lease expire.
func TestLeaseCountsFromSendingTheRenewal(t *testing.T) {
	withFixture(t, func(f *fixture) {
		controller := f.start("a", 1)
		f.state.DelayResponses(1400 * time.Millisecond)
		time.Sleep(2 * testLease)
		guard, err := controller.Guard(reclaim)
		if err != nil {
			t.Fatal(err)
		}
		controller.blockWatch(true)
		f.state.RejectNode("a", true)
		for guard.Check() == nil {
			if f.state.Version(sessionKey("a")) == 0 {
				t.Fatal("Check: got no error after the lease has expired, want one")
			}
			time.Sleep(5 * time.Millisecond)
		}
	})
}

// During an outage of the store, the holder stops acting before its lease expires and no other
// controller starts acting; recorded returns are still sent. After the outage, the holder has
// the duty under the same token.
func TestStoreOutageExpiresLeaseAndKeepsToken(t *testing.T) {
	withFixture(t, func(f *fixture) {
		controller := f.start("a", 1)
		intent, err := controller.actions.RecordReturn(f.ctx, reclaim, f.fence(), []string{"m1"}, "idle")
		if err != nil {
			t.Fatal(err)
		}
		token := controller.tokenOf(reclaim)
		f.state.SetOutage(true)
		other := f.start("b", 2)
		time.Sleep(2 * testLease)
		controller.expectGuard(t, ErrLeaseExpired)
		other.expectGuard(t, ErrNotHeld)
		if err := controller.actions.SendReturn(f.ctx, intent); err != nil || !slices.Equal(f.cloud.returned, []string{"m1"}) {
			t.Errorf("SendReturn of a recorded return: got error %v and returned machines %v, want no error and m1", err, f.cloud.returned)
		}
		if again, err := controller.actions.RecordReturn(f.ctx, reclaim, f.fence(), []string{"m1"}, "idle"); err != nil || len(again.machines) != 1 {
			t.Errorf("RecordReturn of a recorded return: got error %v, want none and an intent of 1 machine", err)
		}
		if _, err := controller.actions.RecordReturn(f.ctx, reclaim, f.fence(), []string{"m2"}, "idle"); !errors.Is(err, ErrLeaseExpired) {
			t.Errorf("RecordReturn of a new return during the outage: got error %v, want ErrLeaseExpired", err)
		}
		other.updateMembership(func(m *Membership) { m.Since = 0 })
		f.state.SetOutage(false)
		time.Sleep(testLease / 2)
		controller.expectGuard(t, nil)
		if now := controller.tokenOf(reclaim); now != token {
			t.Errorf("got token %d after the outage, want %d", now, token)
		}
	})
}

// A lease is accepted if it is 0 (duties are off), or if it can be renewed in time within the
// store's rate limit and is not longer than the store grants.
func TestCheckLease(t *testing.T) {
	for _, test := range []struct {
		lease time.Duration
		rps   float64
		ok    bool
	}{
		{0, 150, true},
		{3 * time.Second, 150, false},
		{4 * time.Second, 150, true},
		{4 * time.Second, 30, false},
		{8 * time.Second, 30, true},
		{time.Hour, 150, false},
	} {
		if err := CheckLease(test.lease, 3, test.rps); (err == nil) != test.ok || err != nil && !errors.Is(err, ErrLeaseOutOfRange) {
			t.Errorf("CheckLease of %v at %v requests per second: got error %v, want the lease accepted: %v", test.lease, test.rps, err, test.ok)
		}
	}
}
