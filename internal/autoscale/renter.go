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
	// maxRentTries bounds how often one request is sent in one round.
	maxRentTries = 3
	// rentRetryDelay is how long the Renter waits before it repeats an unanswered request.
	rentRetryDelay = 300 * time.Millisecond
)

// Actions records rent requests as intents before they are sent, and sends them. It is
// implemented by *duty.Actions.
type Actions interface {
	Guard(id duty.ID) (duty.Guard, error)
	OpenRentals() []duty.OpenRental
	RecordRentals(ctx context.Context, g duty.Guard, fence state.FencingCondition, requests []wire.RentRequest) (duty.OpenRental, error)
	Rent(ctx context.Context, g duty.Guard, req wire.RentRequest) (machines []string, err error)
	CloseRental(ctx context.Context, g duty.Guard, open duty.OpenRental)
}

// Renter rents machines for the whole fleet, in rounds. It calls its functions
// sequentially and without holding a lock.
type Renter struct {
	Actions Actions
	// Plan returns the requests for machines to rent. Each has a unique RequestID that is
	// never reused.
	Plan func() []wire.RentRequest
	// Fence returns the condition under which requests are recorded.
	Fence func() state.FencingCondition
	// OnResult is called once for each request with the names of the rented machines, or
	// with the error.
	OnResult func(req wire.RentRequest, machines []string, err error)
	Log      *slog.Logger
}

// rentDuty returns the duty of renting machines for the fleet.
func rentDuty() duty.ID { return duty.ID{Name: duty.Rent, Scope: duty.Fleet} }

// RunRound rents the machines that Plan returns. Before that, it sends the open requests:
// those that earlier rounds, or previous holders of the duty, have recorded but that were
// not answered. It does not call Plan while requests are open, because the cloud may
// already have rented their machines.
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

// recordAndSend records new requests as an intent and sends them.
func (r *Renter) recordAndSend(ctx context.Context, guard duty.Guard, requests []wire.RentRequest) {
	recorded, err := r.Actions.RecordRentals(ctx, guard, r.Fence(), requests)
	if err != nil {
		r.Log.Info("failed to record rent requests; no machines are rented", "err", err)
		return
	}
	r.sendRecorded(ctx, guard, recorded)
}

// sendRecorded sends recorded requests sequentially and closes their intent if all are
// answered. It reports whether all are answered.
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

// send sends one request, up to maxRentTries times until it is answered, and passes the
// result to OnResult. It reports whether the request was answered.
func (r *Renter) send(ctx context.Context, guard duty.Guard, req wire.RentRequest) bool {
	var machines []string
	var err error
	for range maxRentTries {
		// A rental is idempotent by its RequestID, so a repeated request rents no
		// additional machines.
		machines, err = r.Actions.Rent(ctx, guard, req)
		if err == nil || errors.Is(err, cloud.ErrNoCapacity) || !wait.Sleep(ctx, rentRetryDelay) {
			break
		}
	}
	r.OnResult(req, machines, err)
	return err == nil || errors.Is(err, cloud.ErrNoCapacity)
}
