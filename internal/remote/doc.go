// Package remote holds what controllers know of attempts that one has placed
// on the machines of another.
//
// A task that finds no room on its controller's machines may go to those of
// another: the job's owner sends a placement request, the host places the task
// on its own machines. The owner decides on further attempts and records what
// is done; the host records what may be on its machines and commands their
// workers. The owner settles its remote attempts by asking their hosts what
// became of them.
//
// The types are not safe for concurrent use unless they say so: the lock of
// the scheduler that owns them guards them.
package remote
