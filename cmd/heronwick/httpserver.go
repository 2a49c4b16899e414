package main

import (
	"time"

	"heronwick/internal/server"
	"heronwick/wire"
)

// newServer makes the HTTP interface of a controller whose other parts are there.
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

// handleWorkerHeartbeat returns the reply to a worker's heartbeat if this
// controller may reply, and else the node that may, empty if none is known.
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

// stateHealthWindow is how long the key-value store may be silent before a controller
// takes it for unreachable.
const stateHealthWindow = 3 * time.Second

// ready reports whether this controller can take requests. In an outage of the
// key-value store all controllers stay ready, since being removed costs more than
// the outage; one that alone cannot reach it does not. Nor does one that hears no
// other and is no member: it can confirm no cancellation, while others can.
func (c *controller) ready() bool {
	if !c.jobs.Ready() || c.machineTypes.Types() == nil {
		return false
	}
	if c.transport.Healthy(stateHealthWindow) {
		return !c.members.Isolated()
	}
	return c.members.LivePeerCount() > 0 && len(c.members.PeersReachingStore()) == 0
}
