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

// rentalOverheadBytes is more bytes than a record takes besides its requests, and than a
// request takes besides its names.
const rentalOverheadBytes = 128

// fittingRequests returns as many of the requests, in order, as fit an intent of maxBytes;
// always the first one.
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

// OpenRentals returns the requests that are recorded and not known to be answered, of this
// controller and of earlier holders, the oldest intent first.
func (a *Actions) OpenRentals() []OpenRental { return a.opts.RecordCache.openRentals() }

// RecordRentals records requests before they are sent, as many of them as fit one intent.
// With duties off it records nothing and returns an intent of all requests. It returns an
// error of Guard.Check, ErrIntentTooLarge or that of the write.
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

// Rent sends one recorded request and returns the names of the machines rented. Repeating
// it rents nothing twice. It returns ErrNoIntent if the request is not recorded, an error
// of Guard.Check, or one of the Provider such as cloud.ErrNoCapacity.
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

// rentMachines sends a rental, with its token if the Provider checks tokens.
func (a *Actions) rentMachines(ctx context.Context, guard Guard, req wire.RentRequest) ([]string, error) {
	if p, ok := a.opts.Provider.(FencingProvider); ok && !guard.unfenced {
		return p.RentFenced(ctx, guard.token, req)
	}
	return a.opts.Provider.Rent(ctx, req)
}

// CloseRental removes an intent to rent whose requests were all answered.
func (a *Actions) CloseRental(ctx context.Context, guard Guard, open OpenRental) {
	if guard.unfenced || open.key == "" {
		return
	}
	a.closeIntent(ctx, guard, open.key, open.version, len(open.Requests))
}
