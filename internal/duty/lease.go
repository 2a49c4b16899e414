package duty

import (
	"errors"
	"fmt"
	"time"
)

// MinLease is the shortest lease that can be kept: a renewal may take two requests to the
// key-value store, each up to its timeout, and must still arrive in time.
const MinLease = 4 * time.Second

// MaxLease is the longest lease that the key-value store grants.
const MaxLease = 600 * time.Second

// ErrLeaseOutOfRange reports a lease that is too short to be kept or longer than the
// key-value store grants.
var ErrLeaseOutOfRange = errors.New("lease out of range")

// renewalsPerLease is how often a lease is renewed within its duration: one or two lost
// requests must not end it.
const renewalsPerLease = 4

// maxRenewalRateFraction is the fraction of the key-value store's requests that renewals may use.
const maxRenewalRateFraction = 0.05

// The margins by which a lease counts as expired before the store ends it.
const (
	clockDriftDivisor = 1000 // drift between two clocks: this part of the lease
	leaseSafetyMargin = 50 * time.Millisecond
)

// CheckLease returns ErrLeaseOutOfRange if a lease for duties cannot be kept; 0 turns
// duties off and is accepted. controllers is how many controllers share the
// key-value store's limit of rps requests a second.
func CheckLease(lease time.Duration, controllers int, rps float64) error {
	renewals := float64(controllers * renewalsPerLease)
	shortest := max(MinLease, time.Duration(renewals/(maxRenewalRateFraction*rps)*float64(time.Second)))
	switch {
	case lease == 0:
		return nil
	case lease < shortest:
		return fmt.Errorf("%w: %v is too short to be renewed in time within the limits of the key-value store; at least %v", ErrLeaseOutOfRange, lease, shortest)
	case lease > MaxLease:
		return fmt.Errorf("%w: %v is longer than the key-value store grants; at most %v", ErrLeaseOutOfRange, lease, MaxLease)
	}
	return nil
}

// leaseDeadline returns the time until which a lease that was requested or renewed at sent
// cannot have expired at the store. It counts from before the request, since only the
// store knows when it was carried out, and allows for the drift of two clocks.
func leaseDeadline(sent time.Time, lease time.Duration) time.Time {
	return sent.Add(lease - lease/clockDriftDivisor - leaseSafetyMargin)
}
