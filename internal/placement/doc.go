// Package placement holds the rules for which machines a task may run on, and the list
// of open machines for Move To Front, the bin-packing heuristic by which tasks are
// placed. It does no I/O and reads no clock.
package placement
