package main

import (
	"context"
	"math/rand/v2"
	"time"

	"heronwick/internal/cluster"
	"heronwick/internal/duty"
	"heronwick/internal/server"
	"heronwick/wire"
)

// duties is a controller's part in the single duties. With a lease of 0 nothing is
// acquired or recorded, but what other controllers have condemned is respected.
type duties struct {
	ledger  *duty.Ledger
	keeper  *duty.Keeper
	actions *duty.Actions
	history *duty.History
}

// newDuties makes the duties of a controller whose client and settings are there.
func newDuties(c *controller) duties {
	d := duties{ledger: duty.NewLedger(c.log), history: duty.NewHistory()}
	d.keeper = duty.NewKeeper(duty.KeeperOptions{
		Node: c.settings.Node, Incarnation: rand.Uint64(), Lease: c.settings.DutyLease, Store: c.client, Ledger: d.ledger,
		Ready: func() bool { return c.members.Supports(cluster.LevelDuties) }, Membership: c.dutyMembership,
		MaxChanges: c.settings.TxnOps, History: d.history, Log: c.log,
	})
	d.actions = duty.NewActions(duty.ActionsOptions{
		Node: c.settings.Node, Provider: c.out.cloud, Keeper: d.keeper, Ledger: d.ledger, Committer: c.committer,
		Membership: c.dutyMembership, ValueBytes: c.settings.ValueBytes, History: d.history, Log: c.log,
	})
	return d
}

// dutyMembership is the epoch as the duties go by it.
func (c *controller) dutyMembership() duty.Membership {
	epoch, condition, leads, member := c.members.View()
	m := duty.Membership{Epoch: condition, Leads: leads && member, Members: map[string]uint64{}, Fresh: c.members.Fresh()}
	for node, of := range epoch.Members {
		m.Members[node] = of.Since
	}
	if member {
		m.Since = m.Members[c.settings.Node]
	}
	return m
}

// cleanupConditions is what the removal of the cluster's records is conditional on.
func (d duties) cleanupConditions() ([]wire.Condition, error) {
	guard, err := d.keeper.Guard(duty.ID{Name: duty.Cleanup, Scope: duty.Fleet})
	if err != nil {
		return nil, err
	}
	return guard.Conditions(), nil
}

// dutyReport tells an operator of the duties.
func (c *controller) dutyReport() wire.Duties { return c.duties.keeper.Report() }

// handOver gives up a duty for an operator. Those for the whole fleet are the leader's,
// so it gives up leading too.
func (c *controller) handOver(ctx context.Context, text string) error {
	id, err := duty.ParseID(text)
	if err != nil {
		return err
	}
	if err := c.duties.keeper.HandOver(ctx, id); err != nil {
		return err
	}
	if id.Scope == duty.Fleet {
		c.members.StepDown(ctx)
	}
	return nil
}

// clearDuty removes a duty's record that cannot be read, for an operator.
func (c *controller) clearDuty(ctx context.Context, text string) error {
	id, err := duty.ParseID(text)
	if err != nil {
		return err
	}
	return c.duties.keeper.Clear(ctx, id)
}

// leaveTimeout bounds what a controller does before it ends.
const leaveTimeout = 2 * time.Second

// leave gives up leading before this controller ends. Whoever claims the epoch ends its
// membership, and so takes the duties of the fleet without waiting for a lease.
func (c *controller) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	c.log.Info("leaving")
	c.members.StepDown(ctx)
}

// gauges are what the metrics tell of the duties.
func (d duties) gauges() []server.Gauge {
	gauges := []server.Gauge{
		{Name: "heronwick_duty_held", Help: "Single duties that this controller may act for.",
			Value: func() float64 { return float64(d.keeper.Held()) }},
		{Name: "heronwick_duty_open_condemnations", Help: "Intents to return machines that are not closed, of all controllers.",
			Value: func() float64 { condemnations, _ := d.ledger.OpenIntents(); return float64(condemnations) }},
		{Name: "heronwick_duty_open_rentals", Help: "Intents to rent that are not closed, of all controllers.",
			Value: func() float64 { _, rentals := d.ledger.OpenIntents(); return float64(rentals) }},
	}
	for _, kind := range duty.Kinds() {
		gauges = append(gauges, server.Gauge{Name: "heronwick_duty_" + string(kind), Help: "Events of this kind at this controller since it started; see the operators' page.",
			Value: func() float64 { return float64(d.history.Count(kind)) }})
	}
	return gauges
}
