package autoscale

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"heronwick/internal/cloud"
	"heronwick/internal/duty"
	"heronwick/internal/state"
	"heronwick/internal/wait"
	"heronwick/wire"
)

const (
	// rentTries is how often one request is sent in one round.
	rentTries = 3
	// rentRetryAfter is how long after a try without an answer the next one goes out.
	rentRetryAfter = 300 * time.Millisecond
)

// Actions records requests before they are sent, and sends them; *duty.Actions
// does.
type Actions interface {
	Guard(id duty.ID) (duty.Guard, error)
	OpenRentals() []duty.OpenRental
	RecordRentals(ctx context.Context, g duty.Guard, fence state.FencingCondition, requests []wire.RentRequest) (duty.OpenRental, error)
	Rent(ctx context.Context, g duty.Guard, req wire.RentRequest) (machines []string, err error)
	CloseRental(ctx context.Context, g duty.Guard, open duty.OpenRental)
}

// Renter rents machines for the whole fleet, in rounds. Its functions are
// called one after the other, without any lock held.
type Renter struct {
	Actions Actions
	// Plan returns what to rent, each request under a name that is never used again.
	Plan func() []wire.RentRequest
	// Fence returns the condition under which requests are recorded.
	Fence func() state.FencingCondition
	// OnResult is called with the names of the rented machines, or the error, of each request.
	OnResult func(req wire.RentRequest, machines []string, err error)
	Log      *slog.Logger
}

// rentDuty is the duty of renting machines for the fleet.
func rentDuty() duty.ID { return duty.ID{Name: duty.Rent, Scope: duty.Fleet} }

// RunRound rents what is planned. Requests that former holders of the duty, or
// earlier rounds, have recorded and not seen answered come first, and nothing
// is planned before they are answered: their machines may be there.
func (r *Renter) RunRound(ctx context.Context) {
	open := r.Actions.OpenRentals()
	var requests []wire.RentRequest
	if len(open) == 0 {
		requests = r.Plan()
	}
	if len(open)+len(requests) == 0 {
		return
	}
	guard, err := r.Actions.Guard(rentDuty())
	if err != nil {
		return // Guard has recorded the refusal
	}
	for _, rental := range open {
		if !r.sendRecorded(ctx, guard, rental) {
			return
		}
	}
	if len(requests) > 0 {
		r.recordAndSend(ctx, guard, requests)
	}
}

// recordAndSend records new requests and sends them.
func (r *Renter) recordAndSend(ctx context.Context, guard duty.Guard, requests []wire.RentRequest) {
	recorded, err := r.Actions.RecordRentals(ctx, guard, r.Fence(), requests)
	if err != nil {
		r.Log.Info("nothing is rented for now", "err", err)
		return
	}
	r.sendRecorded(ctx, guard, recorded)
}

// sendRecorded sends recorded requests, one after the other, and closes their
// intent once all are answered. It returns false while one is not.
func (r *Renter) sendRecorded(ctx context.Context, guard duty.Guard, open duty.OpenRental) bool {
	answered := true
	for _, req := range open.Requests {
		if ctx.Err() != nil {
			return false
		}
		answered = r.send(ctx, guard, req) && answered
	}
	if answered {
		r.Actions.CloseRental(ctx, guard, open)
	}
	return answered
}

// send sends one request, a few times if it must, and passes on what it
// brings. It returns false if there was no answer.
func (r *Renter) send(ctx context.Context, guard duty.Guard, req wire.RentRequest) bool {
	var machines []string
	var err error
	for range rentTries {
		// Repeating an unanswered request rents nothing twice.
		machines, err = r.Actions.Rent(ctx, guard, req)
		if err == nil || errors.Is(err, cloud.ErrNoCapacity) || !wait.Sleep(ctx, rentRetryAfter) {
			break
		}
	}
	r.OnResult(req, machines, err)
	return err == nil || errors.Is(err, cloud.ErrNoCapacity)
}
