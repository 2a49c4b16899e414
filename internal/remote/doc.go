// Package remote holds the state that controllers keep for remote attempts, which
// are attempts of one controller's jobs on the machines of another controller.
//
// A task that does not fit on its controller's machines may run on those of another
// controller: the job's owner sends a placement request, and the host places the
// task on its own machines. The owner decides on further attempts and records which
// tasks are done; the host records which attempts may be on its machines and sends
// commands to their workers. The owner settles its remote attempts by asking their
// hosts for the attempts' states.
//
// The types are not safe for concurrent use unless documented otherwise: the lock of
// the scheduler that owns them guards them.
package remote
