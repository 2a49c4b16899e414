// Package recovery reads back from the consensus-backed key-value store what
// schedulers have recorded there: what may be on which machine, as package checkpoint
// writes it, and which tasks are done, as package completion does. A scheduler
// rebuilds its state from that when it gains jobs or machines.
//
// Nothing here has state or holds a lock, so that the reads of a large store keep
// nobody waiting.
package recovery
