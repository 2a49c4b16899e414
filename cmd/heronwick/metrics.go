package main

import (
	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/duty"
	"heronwick/internal/quota"
	"heronwick/internal/server"
)

// gauges returns the metrics of a controller.
func (c *controller) gauges() []server.Gauge {
	gauges := c.duties.gauges()
	gauges = append(gauges, c.schedulerGauges()...)
	gauges = append(gauges, c.membershipGauges()...)
	gauges = append(gauges, c.teamGauges()...)
	gauges = append(gauges, c.storeGauges()...)
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
		{Name: "heronwick_share_machines", Help: "Machines of this controller's share.",
			Value: statusValue(func(s *peerpb.Status) float64 { return float64(s.Machines) })},
		{Name: "heronwick_share_idle_machines", Help: "Usable machines of the share without tasks.",
			Value: statusValue(func(s *peerpb.Status) float64 { return float64(s.Idle) })},
		{Name: "heronwick_share_cpus", Help: "CPUs of the share's usable machines.",
			Value: statusValue(func(s *peerpb.Status) float64 { return s.Cpus })},
		{Name: "heronwick_invariant_violations", Help: "Violated invariants that this controller has noticed since it started, each with an error in the log.",
			Value: func() float64 { return float64(c.violations.Count()) }},
		{Name: "heronwick_share_free_cpus", Help: "Free CPUs of the share's usable machines.",
			Value: statusValue(func(s *peerpb.Status) float64 { return s.FreeCpus })},
	}
}

// membershipGauges returns the metrics of this controller's cluster membership.
func (c *controller) membershipGauges() []server.Gauge {
	return []server.Gauge{
		{Name: "heronwick_token", Help: "Token of the epoch that this controller knows.",
			Value: func() float64 { return float64(c.members.Token()) }},
		{Name: "heronwick_feature_level", Help: "What all controllers support, as recorded; 1: jobs may need others.",
			Value: func() float64 { return float64(c.members.FeatureLevel()) }},
		{Name: "heronwick_permitted", Help: "1 while this controller may answer workers.",
			Value: func() float64 {
				if c.members.CanAnswerHeartbeats() {
					return 1
				}
				return 0
			}},
	}
}

// teamGauges returns the metrics of what teams use and may use. Only the controller that owns a
// team knows what it uses, so the usage is 0 at the others.
func (c *controller) teamGauges() []server.Gauge {
	var gauges []server.Gauge
	for _, team := range c.settings.Teams {
		used := func() quota.Amounts {
			if s := c.scheduler.Load(); s != nil {
				return s.UsedBy(team.Name)
			}
			return quota.Amounts{}
		}
		for _, gauge := range []server.Gauge{
			{Name: "heronwick_team_used_cpus", Help: "CPUs that tasks of the team may use, at the controller that owns the team; 0 at the others.",
				Value: func() float64 { return used().CPUs.Amount() }},
			{Name: "heronwick_team_used_gpus", Help: "GPUs that tasks of the team may use, at the controller that owns the team; 0 at the others.",
				Value: func() float64 { return used().GPUs.Amount() }},
			{Name: "heronwick_team_limit_cpus", Help: "The team's limit on CPUs; 0 if it has none.", Value: func() float64 { return team.CPUsMax }},
			{Name: "heronwick_team_limit_gpus", Help: "The team's limit on GPUs; 0 if it has none.", Value: func() float64 { return team.GPUsMax }},
		} {
			gauge.Labels = map[string]string{"team": team.Name}
			gauges = append(gauges, gauge)
		}
	}
	return gauges
}

// storeGauges returns the metrics of this controller's use of the key-value store.
func (c *controller) storeGauges() []server.Gauge {
	return []server.Gauge{
		{Name: "heronwick_store_rejected_transactions", Help: "Transactions that the key-value store has rejected for their size since this controller started.",
			Value: func() float64 { return float64(c.client.Limits().Rejections()) }},
		{Name: "heronwick_store_max_changes", Help: "Changes that a transaction may have: the settings' limit, or a lower one after rejections.",
			Value: func() float64 { return float64(c.client.Limits().Changes()) }},
	}
}

// gauges returns the metrics of the dependency graphs of jobs.
func (m *dagMonitor) gauges() []server.Gauge {
	return []server.Gauge{
		{Name: "heronwick_chains", Help: "Chains of jobs that are live.",
			Value: func() float64 { return float64(m.live.Load()) }},
		{Name: "heronwick_chains_in_danger", Help: "Live chains whose last job misses its deadline by estimates.",
			Value: func() float64 { return float64(m.inDanger.Load()) }},
		{Name: "heronwick_chains_endangered", Help: "Chains that have come into danger since this controller started, of those whose last job is its own.",
			Value: func() float64 { return float64(m.endangered.Load()) }},
	}
}

// gauges returns the metrics of the single duties.
func (d duties) gauges() []server.Gauge {
	gauges := []server.Gauge{
		{Name: "heronwick_duty_held", Help: "Single duties that this controller may act for.",
			Value: func() float64 { return float64(d.manager.HeldCount()) }},
		{Name: "heronwick_duty_open_condemnations", Help: "Intents to return machines that are not closed, of all controllers.",
			Value: func() float64 { return float64(d.recordCache.OpenIntents().Returns) }},
		{Name: "heronwick_duty_open_rentals", Help: "Intents to rent that are not closed, of all controllers.",
			Value: func() float64 { return float64(d.recordCache.OpenIntents().Rentals) }},
	}
	for _, kind := range duty.EventKinds() {
		gauges = append(gauges, server.Gauge{
			Name:  "heronwick_duty_" + string(kind),
			Help:  "Events of this kind at this controller since it started; see the operators' page.",
			Value: func() float64 { return float64(d.history.Count(kind)) },
		})
	}
	return gauges
}
