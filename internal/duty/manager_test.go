package duty

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"heronwick/internal/state"
	"heronwick/wire"
)

// A controller with an outdated epoch or without a session acquires no duty.
func TestAcquisitionRequiresCurrentEpochAndSession(t *testing.T) {
	for _, test := range []struct {
		name   string
		before func(f *fixture, controller *testController)
	}{
		{"outdated epoch", func(f *fixture, _ *testController) { f.newEpoch() }},
		{"no session", func(f *fixture, controller *testController) {
			controller.blockWatch(true)
			time.Sleep(2 * time.Second)
			if _, err := controller.client.Txn(f.ctx, state.Urgent, wire.Txn{Then: []wire.Change{{Delete: sessionKey("a")}}}); err != nil {
				t.Fatal(err)
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			withFixture(t, func(f *fixture) {
				controller := f.start("a", 1)
				controller.updateMembership(func(m *Membership) { m.IsLeader = false })
				time.Sleep(testLease)
				resigned := controller.tokenOf(reclaim)
				test.before(f, controller)
				controller.updateMembership(func(m *Membership) { m.IsLeader = true })
				time.Sleep(testLease)
				if version := f.state.Version(holderKey(reclaim)); version != resigned {
					t.Errorf("got version %d of the holder record, want it unchanged at %d", version, resigned)
				}
				controller.blockWatch(false)
				controller.updateMembership(func(m *Membership) { m.Epoch = f.epoch })
				time.Sleep(testLease)
				controller.expectGuard(t, nil) // acquired once epoch and session are current
			})
		})
	}
}

// As soon as a later incarnation of a node has created a session, the earlier incarnation no
// longer holds its duties.
func TestSessionOfLaterIncarnationEndsGuard(t *testing.T) {
	withFixture(t, func(f *fixture) {
		controller := f.start("a", 1)
		controller.stopManager()
		controller.cache.applyWrite(sessionKey("a"), encode(sessionRecord{Incarnation: 2}), 1<<40)
		controller.expectGuard(t, ErrNotHeld)
	})
}

// The token increases with each acquisition, even after the record was removed.
func TestTokensAlwaysIncrease(t *testing.T) {
	withFixture(t, func(f *fixture) {
		controller := f.start("a", 1)
		last := controller.tokenOf(reclaim)
		expectHigher := func(after string) {
			t.Helper()
			time.Sleep(3 * testLease)
			controller.expectGuard(t, nil)
			if token := controller.tokenOf(reclaim); token <= last {
				t.Errorf("%s: got token %d, want more than %d", after, token, last)
			}
			last = controller.tokenOf(reclaim)
		}
		if err := controller.HandOver(f.ctx, reclaim); err != nil {
			t.Fatal(err)
		}
		expectHigher("handed over")
		if _, err := controller.client.Txn(f.ctx, state.Urgent, wire.Txn{Then: []wire.Change{{Delete: holderKey(reclaim)}}}); err != nil {
			t.Fatal(err)
		}
		expectHigher("removed")
		controller.updateMembership(func(m *Membership) { m.Since = 9; m.Members = map[string]uint64{"a": 9} })
		expectHigher("another membership")
	})
}

// A controller that restarts at once does not wait until the lease of its earlier
// incarnation expires. From then on the earlier incarnation holds no duty, even if it still
// runs.
func TestRestartedNodeAcquiresAtOnce(t *testing.T) {
	withFixture(t, func(f *fixture) {
		previous := f.start("a", 1)
		guard, _ := previous.Guard(reclaim)
		previous.stopManager()
		next := f.start("a", 2)
		next.expectGuard(t, nil)
		if guard.Check() == nil {
			t.Error("Check in the earlier incarnation: got no error, want one")
		}
		if _, err := previous.actions.RecordReturn(f.ctx, reclaim, f.fence(), []string{"m1"}, "idle"); err == nil {
			t.Error("RecordReturn in the earlier incarnation: got no error, want one")
		}
	})
}

// A record that cannot be decoded is logged and reported, and never treated as free.
func TestCorruptRecord(t *testing.T) {
	withFixture(t, func(f *fixture) {
		f.state.Put(holderKey(reclaim), 7)
		f.state.Put(returnPrefix+"x/1/1", map[string]any{"machines": []string{"m9"}, "token": "seven"})
		controller := f.start("a", 1)
		time.Sleep(testLease)
		controller.expectGuard(t, ErrCorrupt)
		if !strings.Contains(controller.log.String(), "cannot be decoded") {
			t.Error("got no log message about the corrupt record, want one")
		}
		if !controller.cache.HasReturnIntent("m9") {
			t.Error("HasReturnIntent: got false for a machine of a corrupt intent, want true")
		}
		if err := controller.Clear(f.ctx, rent); !errors.Is(err, ErrNotCorrupt) {
			t.Errorf("Clear of a record that is not corrupt: got error %v, want ErrNotCorrupt", err)
		}
		report := controller.Report()
		if i := slices.IndexFunc(report.Duties, func(d wire.Duty) bool { return d.Corrupt }); i < 0 {
			t.Errorf("got duties %+v in the report, want a corrupt one among them", report.Duties)
		}
		corrupt := controller.tokenOf(reclaim)
		if err := controller.Clear(f.ctx, reclaim); err != nil {
			t.Fatal(err)
		}
		time.Sleep(testLease)
		controller.expectGuard(t, nil)
		if token := controller.tokenOf(reclaim); token <= corrupt {
			t.Errorf("got token %d, want more than %d", token, corrupt)
		}
	})
}
