package state

import (
	"errors"
	"fmt"
	"slices"
)

// Errors of the client. A request that failed with ErrUnavailable was not carried
// out; one that failed with ErrUnknown may have been carried out, or may still be.
// Users read these texts in responses with status 503, so they are part of the API.
var (
	ErrUnavailable = errors.New("state service unavailable")
	ErrUnknown     = errors.New("no response from the state service")
	ErrNotFound    = errors.New("no such key or lease")
	ErrCompacted   = errors.New("the watched revision is too old")
	// ErrRejected means that the store rejects the request permanently, for
	// example because it exceeds the store's size limits. Retrying it unchanged is
	// useless.
	ErrRejected = errors.New("rejected by the state service")
	// ErrNotSent means that a Transport did not send the request because it had no
	// connection.
	ErrNotSent = errors.New("not sent")
)

// Conflict is the error of a transaction whose conditions did not hold.
type Conflict struct {
	Failed []string // keys of the conditions that did not hold
}

// Error implements error.
func (c *Conflict) Error() string { return fmt.Sprintf("conflict on %v", c.Failed) }

// Includes reports whether the condition on key is among those that failed.
func (c *Conflict) Includes(key string) bool { return slices.Contains(c.Failed, key) }
