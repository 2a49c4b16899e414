// Package placement holds the rules of which task may run on which machine, and the
// Move To Front list of open machines, the bin-packing heuristic that places tasks.
// It does no I/O and reads no clock.
package placement
