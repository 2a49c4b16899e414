// Package queue is a scheduler's admission queue: the jobs with their pending
// tasks, the order in which jobs are served, and which jobs are within the
// guarantees and limits of their teams, as package quota counts them. It has no
// knowledge of machines: the scheduler decides where a task fits.
//
// Nothing in this package is safe for concurrent use: the scheduler's lock
// guards it, because removing a task from the queue and booking it on a machine
// must be one atomic step.
package queue
