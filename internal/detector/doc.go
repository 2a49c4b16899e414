// Package detector is the failure detector of a scheduler's workers. From the
// heartbeats that come, the answers to probes and the readings of the clock it
// judges
//
//   - which workers are suspected of having failed, and when to probe them;
//   - which of those are dead, so that their machines are to be returned, and
//     which are rather on the other side of a network partition: one of their
//     zone, or one of this controller;
//   - which workers are reachable in one direction only: those whose heartbeats
//     arrive though nothing that is sent to them is answered, and those that
//     answer but whose heartbeats do not arrive;
//   - when a worker's lease has surely expired, so that its tasks are gone.
//
// A controller that is itself short of processor time does not take a missing
// answer for a worker's failure.
//
// The package only judges: sending the probes, and acting on what holds, is the
// scheduler's part. Nothing here is safe for concurrent use: the lock of the
// scheduler guards it.
package detector
