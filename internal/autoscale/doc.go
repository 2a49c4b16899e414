// Package autoscale decides which machines to rent and which idle ones to
// return, and sends the requests.
//
// A Planner packs the demand that finds no room onto the machines that are
// booting and onto new ones, and keeps a reserve. An Inventory knows the
// machines that are booting or released and what the cloud has lately refused.
// A Renter and a Returner record requests, send them and repeat those without
// an answer.
//
// A Planner and its Inventory do no I/O and are not safe for concurrent use: the lock
// of the scheduler that owns them guards them. A Renter and a Returner do their I/O
// without that lock; their callbacks take it.
package autoscale
