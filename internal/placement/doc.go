// Package placement holds the Move To Front list of open machines, the
// bin-packing heuristic that places tasks, and the rules of what fits where.
// It is pure: no I/O and no clock.
package placement
