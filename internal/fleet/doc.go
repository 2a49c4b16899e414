// Package fleet tracks the machines of the fleet: the incarnations and heartbeats
// of their workers, the commands to send to them, the task attempts that may be on
// each machine, and the machine records in the key-value store.
//
// A Machine has no lock of its own: the lock of the scheduler that owns the machine
// guards it.
package fleet
