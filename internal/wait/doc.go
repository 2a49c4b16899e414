// Package wait sleeps and ticks for as long as a context lasts.
package wait
