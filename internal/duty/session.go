package duty

import (
	"fmt"
	"time"
)

// MinLease is the shortest lease for duties that can be kept: a renewal may take two
// requests of the state service, each up to its timeout, and must still come in time.
const MinLease = 4 * time.Second

// MaxLease is the longest that the state service grants.
const MaxLease = 600 * time.Second

// renewalPart is the part of the state service's requests that renewals may use.
const renewalPart = 0.05

// CheckLease tells why a lease for duties cannot be kept; 0 is off. controllers is how
// many share the state service's requests a second, rps.
func CheckLease(lease time.Duration, controllers int, rps float64) error {
	renewals := float64(controllers * renewalsPerLease)
	least := max(MinLease, time.Duration(renewals/(renewalPart*rps)*float64(time.Second)))
	switch {
	case lease == 0:
		return nil
	case lease < least:
		return fmt.Errorf("a lease of %v is too short to be renewed in time within the limits of the state service; at least %v", lease, least)
	case lease > MaxLease:
		return fmt.Errorf("a lease of %v is longer than the state service grants; at most %v", lease, MaxLease)
	}
	return nil
}

// renewalsPerLease is how often a lease is renewed within its time: a lost
// request or two must not end it.
const renewalsPerLease = 4

// session is this controller's lease for all its duties.
type session struct {
	lease   uint64 // of the state service; 0: there is none
	version uint64 // of the session key
	until   time.Time
}

// deadline is until when a lease that was asked for, or renewed, at sent surely has
// not lapsed elsewhere. It counts from before the request, since only the store
// knows when it was carried out, and leaves room for the drift of two clocks.
func deadline(sent time.Time, lease time.Duration) time.Time {
	return sent.Add(lease - lease/1000 - 50*time.Millisecond)
}

// valid tells whether the session can be relied on.
func (s session) valid(now time.Time) bool { return s.lease != 0 && now.Before(s.until) }
