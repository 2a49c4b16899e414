// Package ownership keeps what a scheduler knows of machines that change
// owner: those that it is handing over to another controller, and released
// ones that are still to be announced to the other controllers. It does no I/O: the
// scheduler writes the transfers.
//
// Nothing in it is safe for concurrent use: the lock of the scheduler that owns
// the machines guards it.
package ownership
