// Package wire holds every message that heronwick exchanges with users,
// workers, the cloud and the state service. It has no behaviour beyond
// encoding and checking, so that clients can use it too.
//
// The Go names are the field's standard terms (job, task, machine, attempt,
// token); the protocol's own words appear in the struct tags and constants
// of this package only.
package wire
