// Package wire holds every message that heronwick exchanges with users,
// workers, the cloud and the consensus-backed key-value store, with the HTTP
// paths that carry them. It has no behaviour beyond encoding and checking, so
// that clients can use it too.
//
// The Go names are the field's standard terms (job, task, machine, attempt,
// heartbeat, incarnation, fencing token); the protocol's own words appear in
// the struct tags and constant values of this package only, and those stay
// as they are on the wire.
package wire
