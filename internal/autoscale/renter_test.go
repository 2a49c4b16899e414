package autoscale

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"

	"heronwick/internal/cloud"
	"heronwick/internal/duty"
	"heronwick/internal/state"
	"heronwick/wire"
)

// fakeActions implements Actions and returns the configured error for each request.
type fakeActions struct {
	open   []duty.OpenRental
	errors map[string]error // by request id
	sent   []string         // request ids, in the order of sending
	closed int              // number of closed intents
}

func (a *fakeActions) Guard(duty.ID) (duty.Guard, error) { return duty.Guard{}, nil }
func (a *fakeActions) OpenRentals() []duty.OpenRental    { return a.open }
func (a *fakeActions) RecordRentals(_ context.Context, _ duty.Guard, _ state.FencingCondition, requests []wire.RentRequest) (duty.OpenRental, error) {
	return duty.OpenRental{Requests: requests}, nil
}
func (a *fakeActions) Rent(_ context.Context, _ duty.Guard, req wire.RentRequest) ([]string, error) {
	a.sent = append(a.sent, req.RequestID)
	return nil, a.errors[req.RequestID]
}
func (a *fakeActions) CloseRental(context.Context, duty.Guard, duty.OpenRental) { a.closed++ }

// Open requests are sent before new ones are planned, and are retried if they are not
// answered. Their intent is closed only once all of its requests are answered.
func TestOpenRentalsAreSentFirst(t *testing.T) {
	unanswered := errors.New("no answer")
	for _, test := range []struct {
		name   string
		open   []duty.OpenRental
		err    error
		sent   []string
		closed int
	}{
		{"none open", nil, nil, []string{"new"}, 1},
		{"open, filled", []duty.OpenRental{{Requests: []wire.RentRequest{{RequestID: "old"}}}}, nil, []string{"old"}, 1},
		{"open, refused", []duty.OpenRental{{Requests: []wire.RentRequest{{RequestID: "old"}}}}, cloud.ErrNoCapacity, []string{"old"}, 1},
		{"open, unanswered", []duty.OpenRental{{Requests: []wire.RentRequest{{RequestID: "old"}}}, {}}, unanswered, []string{"old", "old", "old"}, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			actions := &fakeActions{open: test.open, errors: map[string]error{"old": test.err}}
			renter := &Renter{Actions: actions, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
				Plan:     func() []wire.RentRequest { return []wire.RentRequest{{RequestID: "new"}} },
				Fence:    func() state.FencingCondition { return state.FencingCondition{} },
				OnResult: func(wire.RentRequest, []string, error) {}}
			renter.RunRound(t.Context())
			if !slices.Equal(actions.sent, test.sent) || actions.closed != test.closed {
				t.Errorf("%s: got requests %v sent and %d intents closed, want %v and %d", test.name, actions.sent, actions.closed, test.sent, test.closed)
			}
		})
	}
}
