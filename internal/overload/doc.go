// Package overload measures the scheduling latency of this process: how long its
// goroutines wait for a processor. With it a controller detects that it is short of CPU
// time, so that it does not mistake its own delays for missing heartbeats of others.
package overload
