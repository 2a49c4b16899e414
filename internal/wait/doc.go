// Package wait provides functions that sleep, wait for a channel or call a function
// periodically, until a context ends.
package wait
