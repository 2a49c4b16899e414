// Package world is the surroundings of the controllers in a case of the second review: a
// state service, a cloud and workers over loopback, built from the project's own
// stand-ins, and the controllers as separate processes with links that can be silenced.
package world
