package main

import (
	"context"
	"math/rand/v2"

	"heronwick/internal/cluster"
	"heronwick/internal/duty"
	"heronwick/wire"
)

// duties holds what a controller needs for the single duties, each of which at most one
// controller performs at a time. With a lease of 0 duties are off: this controller
// acquires no duty and records no intent, but it still respects other controllers'
// intents to return machines.
type duties struct {
	recordCache *duty.RecordCache
	manager     *duty.Manager
	actions     *duty.Actions
	history     *duty.History
}

// newDuties creates the duties of a controller. Its client and committer must be set.
func newDuties(c *controller) duties {
	d := duties{recordCache: duty.NewRecordCache(c.log), history: duty.NewHistory()}
	d.manager = duty.NewManager(duty.ManagerOptions{
		Node:        c.settings.Node,
		Incarnation: rand.Uint64(),
		Lease:       c.settings.DutyLease,
		Store:       c.client,
		RecordCache: d.recordCache,
		Ready:       func() bool { return c.members.Supports(cluster.LevelDuties) },
		Membership:  c.dutyMembership,
		Limits:      c.client.Limits(),
		History:     d.history,
		Log:         c.log,
	})
	d.actions = duty.NewActions(duty.ActionsOptions{
		Node:          c.settings.Node,
		Provider:      c.external.cloud,
		Manager:       d.manager,
		RecordCache:   d.recordCache,
		Committer:     c.committer,
		Membership:    c.dutyMembership,
		MaxValueBytes: c.settings.MaxValueBytes,
		History:       d.history,
		Log:           c.log,
	})
	return d
}

// dutyMembership returns the current epoch and this controller's role in it in the form
// that package duty uses.
func (c *controller) dutyMembership() duty.Membership {
	view := c.members.View()
	membership := duty.Membership{
		Epoch:    view.Condition,
		IsLeader: view.Leader && view.Member,
		Members:  map[string]uint64{},
		Fresh:    c.members.Fresh(),
	}
	for node, record := range view.Epoch.Members {
		membership.Members[node] = record.Since
	}
	if view.Member {
		membership.Since = membership.Members[c.settings.Node]
	}
	return membership
}

// cleanupConditions returns the conditions that a transaction needs in order to remove
// records of the cluster, or an error if this controller does not hold the cleanup duty.
func (d duties) cleanupConditions() ([]wire.Condition, error) {
	guard, err := d.manager.Guard(duty.ID{Name: duty.Cleanup, Scope: duty.Fleet})
	if err != nil {
		return nil, err
	}
	return guard.Conditions(), nil
}

// handOverDuty gives up a duty, named NAME/SCOPE, at an operator's request. Duties whose
// scope is the whole fleet belong to the leader, so for these this controller also gives
// up its leadership.
func (c *controller) handOverDuty(ctx context.Context, name string) error {
	id, err := duty.ParseID(name)
	if err != nil {
		return err
	}
	if err := c.duties.manager.HandOver(ctx, id); err != nil {
		return err
	}
	if id.Scope == duty.Fleet {
		c.members.StepDown(ctx)
	}
	return nil
}

// clearDuty removes the corrupt record of a duty, named NAME/SCOPE, at an operator's
// request.
func (c *controller) clearDuty(ctx context.Context, name string) error {
	id, err := duty.ParseID(name)
	if err != nil {
		return err
	}
	return c.duties.manager.Clear(ctx, id)
}
