// Package preemption chooses which running tasks to preempt to make room for a task
// that does not fit on any machine. It holds the rules for which tasks may be
// preempted, computes the cost of doing so, and selects the machine with the lowest
// cost. It keeps no state, takes no locks, does no I/O and reads no clock; the
// scheduler stops the chosen tasks.
package preemption
