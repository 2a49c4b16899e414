// Package scheduler schedules the jobs of one controller. It keeps the
// admission queue of the controller's jobs, places their tasks on the
// machines it owns by Move To Front, preempts, places tasks on other
// controllers' machines and hosts theirs, and rents and returns machines
// (autoscaling). It probes workers and acts on what the failure detector,
// package detector, says of them, and rebuilds its state from the
// consensus-backed key-value store when it gains jobs or machines.
//
// What may be on each machine is in the store before a worker can see it,
// and a task is placed again only when it is proven gone.
package scheduler
