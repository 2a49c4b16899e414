// Package ownership keeps what a scheduler knows of machines that change
// owner: those that it is handing over to another controller, and released
// ones that the other controllers are still to be told of. It does no I/O.
//
// Nothing in it is safe for concurrent use: the lock of the scheduler that owns
// the machines guards it.
package ownership
