// Package overload measures the scheduling latency of this process: how long its
// goroutines wait for a processor. A controller that knows it is short of processor
// time does not mistake its own slowness for the silence of others.
package overload
