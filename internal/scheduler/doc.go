// Package scheduler schedules the jobs of one controller. In regular passes it
// places the tasks that wait on the machines it owns, preempts others for them,
// and places the rest on other controllers' machines; it hosts theirs in turn. It
// takes workers' heartbeats and sends commands, rents and returns machines, and
// rebuilds its state from the consensus-backed key-value store when it gains jobs
// or machines.
//
// What may be on each machine is in the store before a worker can see it, and a
// task is placed again only when it is proven gone.
//
// Scheduler owns the goroutines and the lock, and ties together packages that do one
// part each; that lock guards their state, too:
//
//   - queue: the jobs, the order in which they are served, the teams' use;
//   - packing and preemption: on which machine a task is placed, and what is
//     stopped for it;
//   - remote: attempts on other controllers' machines;
//   - detector: which workers have failed, and when their leases have expired;
//   - ownership and autoscale: machines that change owner, are rented or returned;
//   - checkpoint and completion: the records of what may be on machines and of
//     what is done; recovery reads them back.
//
// Methods whose names end in Locked are called with the lock held.
package scheduler
