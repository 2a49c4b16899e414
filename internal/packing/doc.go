// Package packing chooses the machines on which tasks are placed, by the Move To
// Front heuristic: the most recently used open machine that fits the task, or an
// idle machine if no open one fits. A machine is open while it has tasks. The
// package also reserves room for the tasks of hosted jobs, which are owned by other
// schedulers.
//
// A Packer caches its findings during one pass over the queue. It does no I/O and
// books nothing: the scheduler adds the attempt to the machine and then calls
// Machine.RoomChanged.
//
// Nothing in this package is safe for concurrent use: the lock of the scheduler that
// owns the Packer and its machines guards it.
package packing
