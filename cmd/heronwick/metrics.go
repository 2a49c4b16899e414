package main

import (
	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/duty"
	"heronwick/internal/server"
)

// gauges returns the metrics of a controller.
func (c *controller) gauges() []server.Gauge {
	gauges := c.duties.gauges()
	gauges = append(gauges, c.schedulerGauges()...)
	gauges = append(gauges, c.membershipGauges()...)
	return append(gauges, c.dagMonitor.gauges()...)
}

// schedulerGauges returns the metrics of the machines that this controller's scheduler
// owns, its share of the fleet.
func (c *controller) schedulerGauges() []server.Gauge {
	statusValue := func(value func(*peerpb.Status) float64) func() float64 {
		return func() float64 {
			var status peerpb.Status
			c.fillStatus(&status)
			return value(&status)
		}
	}
	return []server.Gauge{
		{Name: "heronwick_share_machines", Help: "Machines in this controller's share of the fleet.",
			Value: statusValue(func(s *peerpb.Status) float64 { return float64(s.Machines) })},
		{Name: "heronwick_share_idle_machines", Help: "Usable machines in this controller's share that run no tasks.",
			Value: statusValue(func(s *peerpb.Status) float64 { return float64(s.Idle) })},
		{Name: "heronwick_share_cpus", Help: "CPUs of the usable machines in this controller's share.",
			Value: statusValue(func(s *peerpb.Status) float64 { return s.Cpus })},
		{Name: "heronwick_share_free_cpus", Help: "Free CPUs of the usable machines in this controller's share.",
			Value: statusValue(func(s *peerpb.Status) float64 { return s.FreeCpus })},
	}
}

// membershipGauges returns the metrics of this controller's cluster membership.
func (c *controller) membershipGauges() []server.Gauge {
	return []server.Gauge{
		{Name: "heronwick_token", Help: "Fencing token of the last epoch that this controller knows.",
			Value: func() float64 { return float64(c.members.Token()) }},
		{Name: "heronwick_feature_level", Help: "Recorded feature level that all controllers support; from 1 on jobs may depend on other jobs.",
			Value: func() float64 { return float64(c.members.FeatureLevel()) }},
		{Name: "heronwick_permitted", Help: "1 while this controller may reply to worker heartbeats, otherwise 0.",
			Value: func() float64 {
				if c.members.CanAnswerHeartbeats() {
					return 1
				}
				return 0
			}},
	}
}

// gauges returns the metrics of the dependency graphs of jobs.
func (m *dagMonitor) gauges() []server.Gauge {
	return []server.Gauge{
		{Name: "heronwick_chains", Help: "Live chains, that is dependency graphs of jobs.",
			Value: func() float64 { return float64(m.live.Load()) }},
		{Name: "heronwick_chains_in_danger", Help: "Live chains whose last job is estimated to miss its deadline.",
			Value: func() float64 { return float64(m.inDanger.Load()) }},
		{Name: "heronwick_chains_endangered", Help: "Chains that came into danger of missing their deadline since this controller started, of those whose last job it owns.",
			Value: func() float64 { return float64(m.endangered.Load()) }},
	}
}

// gauges returns the metrics of the single duties.
func (d duties) gauges() []server.Gauge {
	gauges := []server.Gauge{
		{Name: "heronwick_duty_held", Help: "Single duties that this controller holds and may perform.",
			Value: func() float64 { return float64(d.manager.HeldCount()) }},
		{Name: "heronwick_duty_open_condemnations", Help: "Open intents to return machines, of all controllers.",
			Value: func() float64 { return float64(d.recordCache.OpenIntents().Returns) }},
		{Name: "heronwick_duty_open_rentals", Help: "Open intents to rent machines, of all controllers.",
			Value: func() float64 { return float64(d.recordCache.OpenIntents().Rentals) }},
	}
	for _, kind := range duty.EventKinds() {
		gauges = append(gauges, server.Gauge{
			Name:  "heronwick_duty_" + string(kind),
			Help:  "Duty events of this kind at this controller since it started; see the operators' page.",
			Value: func() float64 { return float64(d.history.Count(kind)) },
		})
	}
	return gauges
}
