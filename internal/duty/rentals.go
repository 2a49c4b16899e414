package duty

import (
	"context"
	"errors"
	"fmt"
	"time"

	"heronwick/internal/cloud"
	"heronwick/internal/state"
	"heronwick/wire"
)

// rentalOverheadBytes is an upper bound on the bytes that a rentalRecord takes in addition to
// its requests, and that a request takes in addition to its ID, machine type and zone.
const rentalOverheadBytes = 128

// fittingRequests returns the longest prefix of the requests that fits in an intent of
// maxBytes, but at least the first request.
func fittingRequests(requests []wire.RentRequest, maxBytes int) []wire.RentRequest {
	size := rentalOverheadBytes
	for i, r := range requests {
		size += rentalOverheadBytes + len(r.RequestID) + len(r.Type) + len(r.Zone)
		if i > 0 && size > maxBytes {
			return requests[:i]
		}
	}
	return requests
}

// OpenRentals returns the open intents to rent of this controller and of earlier holders,
// oldest first. The cloud may not have responded to their requests.
func (a *Actions) OpenRentals() []OpenRental { return a.opts.RecordCache.openRentals() }

// RecordRentals records an intent to send as many of the requests as fit in one intent. If
// duties are off, it records nothing and returns an intent with all requests. It returns an
// error of Guard.Check, ErrIntentTooLarge or the error of the write.
func (a *Actions) RecordRentals(ctx context.Context, guard Guard, fence state.FencingCondition, requests []wire.RentRequest) (OpenRental, error) {
	if guard.unfenced || len(requests) == 0 {
		return OpenRental{Requests: requests}, nil
	}
	requests = fittingRequests(requests, a.opts.MaxValueBytes)
	began := time.Now()
	key := a.newIntentKey(rentalPrefix)
	if err := a.recordIntent(ctx, guard, fence, state.Placement, key, rentalRecord{Token: guard.token, Requests: requests}); err != nil {
		return OpenRental{}, fmt.Errorf("recording %d rentals: %w", len(requests), err)
	}
	a.recordEvent(EventRentalRecorded, guard.id, wire.DutyEvent{Token: guard.token, Count: len(requests), TookS: time.Since(began).Seconds()})
	open, ok := a.opts.RecordCache.openRental(key)
	if !ok {
		return OpenRental{}, fmt.Errorf("%w: renting under %s", ErrNoIntent, key)
	}
	return open, nil
}

// Rent sends a recorded request and returns the names of the rented machines. Repeating the
// request rents no further machines. Rent returns ErrNoIntent if the request is not
// recorded, an error of Guard.Check, or an error of the Provider such as cloud.ErrNoCapacity.
func (a *Actions) Rent(ctx context.Context, guard Guard, req wire.RentRequest) ([]string, error) {
	if err := a.checkGuard(guard); err != nil {
		return nil, err
	}
	if !guard.unfenced && !a.opts.RecordCache.hasRentalIntent(req.RequestID) {
		return nil, fmt.Errorf("%w: renting %s", ErrNoIntent, req.RequestID)
	}
	began := time.Now()
	names, err := a.rentMachines(ctx, guard, req)
	if !guard.unfenced && (err == nil || errors.Is(err, cloud.ErrNoCapacity)) {
		a.recordEvent(EventRented, guard.id, wire.DutyEvent{Token: guard.token, Count: len(names), TookS: time.Since(began).Seconds()})
	}
	return names, err
}

// rentMachines sends a request, with the fencing token if the Provider checks tokens.
func (a *Actions) rentMachines(ctx context.Context, guard Guard, req wire.RentRequest) ([]string, error) {
	if p, ok := a.opts.Provider.(FencingProvider); ok && !guard.unfenced {
		return p.RentFenced(ctx, guard.token, req)
	}
	return a.opts.Provider.Rent(ctx, req)
}

// CloseRental removes an intent to rent after the cloud has responded to all its requests.
func (a *Actions) CloseRental(ctx context.Context, guard Guard, open OpenRental) {
	if guard.unfenced || open.key == "" {
		return
	}
	a.closeIntent(ctx, guard, open.key, open.version, len(open.Requests))
}
