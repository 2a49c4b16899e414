// Package packing finds the machines on which tasks are placed, by Move To
// Front: the open machine that was used most recently and takes the task, else
// an idle one. It also reserves room for the tasks of hosted jobs.
//
// A Packer remembers what it has found out during one pass over the queue. It does
// no I/O and books nothing: the scheduler adds the attempt to the machine, and notes
// that with Machine.RoomChanged.
//
// Nothing in it is safe for concurrent use: the lock of the scheduler that owns the
// Packer and its machines guards it.
package packing
