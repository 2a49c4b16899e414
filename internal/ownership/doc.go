// Package ownership tracks a scheduler's machines whose ownership is changing: those
// that are being handed over to another controller, and released ones that must still
// be announced to the other controllers. It does no I/O: the scheduler writes the
// transfers to the key-value store.
//
// Nothing in this package is safe for concurrent use: the lock of the scheduler that
// owns the machines guards it.
package ownership
