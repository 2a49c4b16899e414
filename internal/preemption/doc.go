// Package preemption chooses which tasks to stop so that a task that finds no
// room gets some: the rules of who may stop whom, what that costs, and on which
// machine it costs least. It has no state, no lock,
// no I/O and no clock; stopping what is chosen is the scheduler's part.
package preemption
