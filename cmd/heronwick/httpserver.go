package main

import (
	"time"

	"heronwick/internal/server"
	"heronwick/wire"
)

// newServer creates the HTTP server of a controller. Its jobs, machineTypes, duties,
// dagMonitor and members must be set.
func newServer(c *controller) *server.Server {
	return server.New(server.Options{
		Settings:          c.settings,
		Jobs:              c.jobs,
		MachineTypes:      c.machineTypes.Types,
		HandleHeartbeat:   c.handleWorkerHeartbeat,
		Ready:             c.ready,
		SchedulingLatency: func() time.Duration { return c.latency() },
		DependencyGraphs:  func() []wire.DAG { return c.jobs.DependencyGraphs(time.Now()) },
		DutyReport:        c.duties.manager.Report,
		HandOverDuty:      c.handOverDuty,
		ClearDuty:         c.clearDuty,
		Gauges:            c.gauges(),
		Log:               c.log,
	})
}

// handleWorkerHeartbeat returns the reply to a worker's heartbeat if this controller may
// reply. Otherwise it returns the node that the worker should send its heartbeats to, or
// an empty result if no other node is known.
func (c *controller) handleWorkerHeartbeat(heartbeat *wire.Heartbeat) server.HeartbeatResult {
	if s := c.scheduler.Load(); s != nil {
		if reply := s.HandleHeartbeat(heartbeat); reply != nil {
			return server.HeartbeatResult{Reply: reply}
		}
	}
	target, _ := c.members.HeartbeatTarget(heartbeat.Machine)
	if target == c.settings.Node {
		return server.HeartbeatResult{}
	}
	c.members.RecordWorkerHeartbeat(heartbeat.Machine)
	return server.HeartbeatResult{Redirect: target}
}

// stateHealthWindow is how long after its last response, other than 503, the key-value
// store counts as reachable.
const stateHealthWindow = 3 * time.Second

// ready reports whether this controller should receive requests. During an outage of
// the key-value store all controllers stay ready, since removing all of them from load
// balancing would do more harm than the outage. A controller is not ready if only it
// cannot reach the store, or if it is not a member and receives nothing from its peers:
// it cannot confirm cancellations, but the others can.
func (c *controller) ready() bool {
	if !c.jobs.Ready() || c.machineTypes.Types() == nil {
		return false
	}
	if c.transport.Healthy(stateHealthWindow) {
		return !c.members.Isolated()
	}
	return c.members.LivePeerCount() > 0 && len(c.members.PeersReachingStore()) == 0
}
