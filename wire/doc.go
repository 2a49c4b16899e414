// Package wire declares the messages that heronwick exchanges with users,
// workers, the cloud and the consensus-backed key-value store, and the HTTP
// paths for them. It only encodes, decodes and validates, so that clients can
// use it too.
//
// The Go names are standard terms of cluster scheduling (job, task, machine,
// attempt, heartbeat, incarnation, fencing token). The protocol's own names
// appear only in the struct tags and constant values of this package, which
// must not change.
package wire
