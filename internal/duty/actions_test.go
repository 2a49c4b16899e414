package duty

import (
	"context"
	"errors"
	"testing"

	"heronwick/wire"
)

// The zero Guard and the zero ReturnIntent permit no action.
func TestZeroValuesPermitNothing(t *testing.T) {
	withFixture(t, func(f *fixture) {
		controller := f.start("a", 1)
		if (Guard{}).Check() == nil {
			t.Error("Check of the zero Guard: got no error, want one")
		}
		if err := controller.actions.SendReturn(f.ctx, ReturnIntent{}); !errors.Is(err, ErrNoIntent) {
			t.Errorf("SendReturn with the zero ReturnIntent: got error %v, want ErrNoIntent", err)
		}
		if _, err := controller.actions.Rent(f.ctx, Guard{}, wire.RentRequest{}); err == nil {
			t.Error("Rent with the zero Guard: got no error, want one")
		}
		if len(f.cloud.returned)+len(f.cloud.rented) > 0 {
			t.Errorf("got returns %v and rentals %v sent to the cloud, want none", f.cloud.returned, f.cloud.rented)
		}
	})
}

// fencingCloud is a FencingProvider based on fakeCloud.
type fencingCloud struct {
	fakeCloud
	highestToken uint64 // highest token seen so far
}

var errLowerToken = errors.New("fencing token too low")

func (c *fencingCloud) fence(token uint64) error {
	if token < c.highestToken {
		return errLowerToken
	}
	c.highestToken = token
	return nil
}

// RentFenced implements FencingProvider.
func (c *fencingCloud) RentFenced(ctx context.Context, token uint64, req wire.RentRequest) ([]string, error) {
	if err := c.fence(token); err != nil {
		return nil, err
	}
	return c.Rent(ctx, req)
}

// ReturnFenced implements FencingProvider.
func (c *fencingCloud) ReturnFenced(ctx context.Context, token uint64, machines []string) error {
	if err := c.fence(token); err != nil {
		return err
	}
	return c.Return(ctx, machines)
}

// Actions send their tokens to a FencingProvider, which can therefore refuse a return that a
// replaced holder sends late.
func TestFencingProviderRefusesLowerTokens(t *testing.T) {
	withFixture(t, func(f *fixture) {
		provider := &fencingCloud{}
		previous := f.start("a", 1)
		previous.actions.opts.Provider = provider
		late, err := previous.actions.RecordReturn(f.ctx, reclaim, f.fence(), []string{"m1"}, "idle")
		if err != nil {
			t.Fatal(err)
		}
		previous.updateMembership(func(m *Membership) { m.Since = 0 })
		next := f.start("b", 2)
		next.actions.opts.Provider = provider
		intent, err := next.actions.RecordReturn(f.ctx, reclaim, f.fence(), []string{"m2"}, "idle")
		if err != nil {
			t.Fatal(err)
		}
		if err := next.actions.SendReturn(f.ctx, intent); err != nil {
			t.Fatal(err)
		}
		if err := previous.actions.SendReturn(f.ctx, late); !errors.Is(err, errLowerToken) {
			t.Errorf("SendReturn with a lower token: got error %v, want errLowerToken", err)
		}
	})
}

// As long as some controller cannot decode the records of duties, no record is written and
// actions are sent as if duties were off.
func TestNothingIsStoredBeforeAllAreReady(t *testing.T) {
	withFixture(t, func(f *fixture) {
		f.notReady = true
		controller := f.start("a", 1)
		before := f.state.Count()
		if err := controller.HandOver(f.ctx, reclaim); !errors.Is(err, ErrNotHeld) {
			t.Errorf("HandOver before all controllers are ready: got error %v, want ErrNotHeld", err)
		}
		intent, err := controller.actions.RecordReturn(f.ctx, reclaim, f.fence(), []string{"m1"}, "idle")
		if err != nil {
			t.Fatal(err)
		}
		if err := controller.actions.SendReturn(f.ctx, intent); err != nil || f.state.Count() != before || len(f.cloud.returned) != 1 {
			t.Errorf("SendReturn: got error %v, %d keys in the store, want %d, and returned machines %v, want one", err, f.state.Count(), before, f.cloud.returned)
		}
	})
}
