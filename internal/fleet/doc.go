// Package fleet tracks the machines of the fleet: their workers'
// incarnations and heartbeats, the commands they are sent, which task
// attempts may be on each, and the records of machines kept in the
// key-value store.
//
// A Machine has no lock: the lock of the scheduler that owns it guards it.
package fleet
