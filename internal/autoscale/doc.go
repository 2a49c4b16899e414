// Package autoscale decides which machines to rent and which idle machines to
// return, and sends the requests to the cloud.
//
// A Planner packs the tasks that fit on no machine in use onto booting machines
// and onto machines to rent, and keeps a reserve of free CPUs. An Inventory keeps
// track of the booting and the released machines, and of the rent requests that the
// cloud has recently refused. A Renter and a Returner record intents, send the
// requests and retry those that were not answered.
//
// A Planner and its Inventory do no I/O and are not safe for concurrent use: they are
// protected by the lock of the scheduler that owns them. A Renter and a Returner do
// their I/O without that lock; their callbacks acquire it.
package autoscale
