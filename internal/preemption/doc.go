// Package preemption chooses which tasks to stop so that a task that finds no
// room gets some: the rules of who may stop whom, what that costs, and on which
// machine it costs least. It is pure: no I/O and no clock.
package preemption
