// Package recovery reads the records of schedulers from the consensus-backed key-value
// store: which attempts may be on which machine, as written by package checkpoint, and
// which tasks are done, as written by package completion. A scheduler rebuilds its state
// from these records when it gains jobs or machines.
//
// The package keeps no state and holds no locks, so that reading a large store does not
// block other goroutines.
package recovery
