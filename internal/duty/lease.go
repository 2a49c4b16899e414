package duty

import (
	"errors"
	"fmt"
	"time"
)

// MinLease is the shortest lease that can be renewed in time: a renewal may take two
// requests to the key-value store, each of which may last until its timeout.
const MinLease = 4 * time.Second

// MaxLease is the longest lease that the key-value store grants.
const MaxLease = 600 * time.Second

// ErrLeaseOutOfRange reports a lease that is too short to be renewed in time or longer than
// the key-value store grants.
var ErrLeaseOutOfRange = errors.New("lease out of range")

// renewalsPerLease is how many times a lease is renewed within its duration, so that one or
// two lost requests do not let it expire.
const renewalsPerLease = 4

// maxRenewalRateFraction is the fraction of the key-value store's request rate that renewals
// may use.
const maxRenewalRateFraction = 0.05

// A lease counts as expired at its holder earlier than at the store, by the sum of two
// margins.
const (
	clockDriftDivisor = 1000 // allows for clocks that drift apart by 1/1000 of the lease
	leaseSafetyMargin = 50 * time.Millisecond
)

// CheckLease returns ErrLeaseOutOfRange if a lease of duties cannot be granted or renewed in
// time; 0 turns duties off and is accepted. controllers is the number of controllers that
// share the key-value store's limit of rps requests per second.
func CheckLease(lease time.Duration, controllers int, rps float64) error {
	renewals := float64(controllers * renewalsPerLease)
	shortest := max(MinLease, time.Duration(renewals/(maxRenewalRateFraction*rps)*float64(time.Second)))
	switch {
	case lease == 0:
		return nil
	case lease < shortest:
		return fmt.Errorf("%w: got %v, want at least %v to be renewed in time within the request rate limit of the key-value store", ErrLeaseOutOfRange, lease, shortest)
	case lease > MaxLease:
		return fmt.Errorf("%w: got %v, want at most %v, the longest lease that the key-value store grants", ErrLeaseOutOfRange, lease, MaxLease)
	}
	return nil
}

// leaseDeadline returns the time until which a lease cannot have expired at the store. sent
// is when the request that granted or renewed it was sent: the lease is counted from then
// because only the store knows when it executed the request. The deadline allows for clock
// drift between this controller and the store.
func leaseDeadline(sent time.Time, lease time.Duration) time.Time {
	return sent.Add(lease - lease/clockDriftDivisor - leaseSafetyMargin)
}
