// Package detector is the failure detector for a scheduler's workers. From the
// heartbeats received, the answers to probes, and the time, it determines
//
//   - which workers are suspected of having failed, and when to probe them;
//   - which of those are dead, so that their machines should be returned, and which
//     are more likely behind a network partition, either of their zone or of this
//     controller;
//   - which workers are reachable in one direction only: those whose heartbeats
//     arrive although they do not answer direct requests, and those that answer
//     although their heartbeats do not arrive;
//   - when a worker's lease has certainly expired, so that its tasks are no longer
//     running.
//
// A controller that is itself short of processor time does not treat a missing answer
// as a failure of the worker.
//
// The package sends no probes and takes no action on its findings; the scheduler does
// both. Nothing in this package is safe for concurrent use: the scheduler's lock guards
// it.
package detector
