// Package queue is a scheduler's admission queue: its jobs with their tasks
// that wait to be placed, the order in which they are served, and how much the
// teams use of their guarantees and limits. It knows of no machines: where a
// task fits is the scheduler's to find out.
//
// Nothing in it is safe for concurrent use: the scheduler's lock guards it,
// since a task leaves the queue and is booked on a machine in one step.
package queue
