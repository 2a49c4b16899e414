package main

import (
	"context"
	"math/rand/v2"

	"heronwick/internal/cluster"
	"heronwick/internal/duty"
	"heronwick/wire"
)

// duties is a controller's part in the single duties. With a lease of 0 nothing is
// acquired or recorded, but other controllers' intents to return machines are
// respected.
type duties struct {
	recordCache *duty.RecordCache
	manager     *duty.Manager
	actions     *duty.Actions
	history     *duty.History
}

// newDuties makes the duties of a controller whose client and committer are there.
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
		MaxChanges:  c.settings.MaxTxnOps,
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

// dutyMembership returns the epoch and this controller's part in it, as the duties
// need them.
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

// cleanupConditions returns the conditions under which this controller may remove
// the cluster's records, or an error if it does not hold the duty to.
func (d duties) cleanupConditions() ([]wire.Condition, error) {
	guard, err := d.manager.Guard(duty.ID{Name: duty.Cleanup, Scope: duty.Fleet})
	if err != nil {
		return nil, err
	}
	return guard.Conditions(), nil
}

// handOverDuty gives up a duty, NAME/SCOPE, for an operator. Those for the whole
// fleet are the leader's, so it gives up leading too.
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

// clearDuty removes the record of a duty, NAME/SCOPE, that cannot be read, for an
// operator.
func (c *controller) clearDuty(ctx context.Context, name string) error {
	id, err := duty.ParseID(name)
	if err != nil {
		return err
	}
	return c.duties.manager.Clear(ctx, id)
}
