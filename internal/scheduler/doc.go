// Package scheduler schedules the jobs of one controller. In each scheduling pass it
// places pending tasks on the machines that it owns, preempts running tasks for them,
// and requests room on other controllers' machines for those that do not fit. In turn
// it hosts tasks of other controllers' jobs on its own machines. It also handles
// workers' heartbeats, sends workers commands, rents and returns machines, and rebuilds
// its state from the consensus-backed key-value store when it gains jobs or machines.
//
// Two rules keep a task from running twice: the store records which tasks may be on a
// machine before the machine's worker is sent them, and a task is placed again only
// after its last attempt is proven gone.
//
// Scheduler owns the goroutines and the lock, and connects packages that each do one
// part of the work. The lock also guards the state of these packages:
//
//   - queue: the jobs, the order in which they are served, and the resources that
//     each team uses;
//   - packing and preemption: which machine a task is placed on, and which tasks are
//     stopped to make room for it;
//   - remote: attempts on other controllers' machines;
//   - detector: which workers have failed, and when their leases have expired;
//   - ownership and autoscale: machines that change owner, are rented or are returned;
//   - checkpoint and completion: the stored records of which tasks may be on machines
//     and which are done; recovery reads them back.
//
// Methods whose names end in Locked must be called with the lock held.
package scheduler
