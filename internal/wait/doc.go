// Package wait sleeps, waits for channels and calls functions at intervals, until a
// context ends.
package wait
