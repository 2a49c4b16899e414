// Package fleet tracks the machines of the fleet: the incarnations and heartbeats
// of their workers, the commands that these are sent, the task attempts that may
// be on each machine, and the records of machines in the key-value store.
//
// A Machine has no lock: the lock of the scheduler that owns it guards it.
package fleet
