package duty

import "errors"

// Errors of this package. They are wrapped with the duty or value concerned and matched
// with errors.Is.
var (
	// ErrUnknownDuty reports a text that is not the ID of a duty.
	ErrUnknownDuty = errors.New("unknown duty")
	// ErrNotHeld reports that this controller does not hold the duty.
	ErrNotHeld = errors.New("duty not held")
	// ErrLeaseExpired reports that the lease may have expired: this controller must not act
	// for the duty, although the store still records it as the holder.
	ErrLeaseExpired = errors.New("the lease of the duty may have expired")
	// ErrReplaced reports that another controller has acquired the duty.
	ErrReplaced = errors.New("replaced as holder of the duty")
	// ErrCorrupt reports that the stored record of a duty cannot be decoded.
	ErrCorrupt = errors.New("the record of the duty is corrupt")
	// ErrNotCorrupt reports that a record was not cleared because it can be decoded.
	ErrNotCorrupt = errors.New("the record of the duty is not corrupt")
	// ErrNoIntent reports an action whose intent was not recorded first.
	ErrNoIntent = errors.New("no intent is recorded")
	// ErrIntentTooLarge reports an intent that exceeds the store's limit on the size of a
	// value.
	ErrIntentTooLarge = errors.New("the intent is larger than a value of the store may be")
)
