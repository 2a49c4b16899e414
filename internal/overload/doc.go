// Package overload measures how short of processor time this process is (its
// scheduling latency), so that the rest of the service does not take its own
// slowness for the silence of others.
package overload
