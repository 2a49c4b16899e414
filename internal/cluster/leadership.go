package cluster

import (
	"context"
	"errors"
	"time"

	"heronwick/internal/state"
	"heronwick/wire"
)

// renewLeadership confirms that the epoch is current and renews the leader's lease.
func (c *Cluster) renewLeadership(ctx context.Context) {
	if !c.confirmWithStore(ctx) {
		return
	}
	c.mu.Lock()
	lease := c.lease
	steppedDown := time.Since(c.steppedDownAt) < 2*c.timeouts.leaderTTL
	keyLost := c.leaderVersion == 0 && !steppedDown
	c.mu.Unlock()
	err := c.opts.Client.Renew(ctx, lease)
	if (errors.Is(err, state.ErrNotFound) || keyLost) && !steppedDown {
		c.opts.Log.Info("leader lease expired, acquiring it again")
		c.reacquireLeaderLease(ctx)
	}
}

// confirmWithStore asks the store whether the epoch is current and reports
// whether it is.
func (c *Cluster) confirmWithStore(ctx context.Context) bool {
	condition := c.View().Condition
	sent := time.Now()
	revision, err := c.opts.Client.Txn(ctx, state.Urgent, wire.Txn{If: []wire.Condition{condition}})
	var conflict *state.Conflict
	switch {
	case err == nil:
		c.confirmAtRevision(ctx, sent, revision)
		return true
	case errors.As(err, &conflict):
		c.refreshAndLog(ctx)
	default:
		c.opts.Log.Debug("confirming the epoch failed", "err", err)
	}
	return false
}

// confirmAtRevision takes the store's answer, to a request sent at a time, that
// the epoch is current. It confirms the epoch only together with the
// cancellations up to that revision, which the watch may not have brought; where
// the peers have confirmed it lately, that is not needed.
func (c *Cluster) confirmAtRevision(ctx context.Context, sent time.Time, revision uint64) {
	c.mu.Lock()
	confirmedLately := sent.Sub(c.confirmedAt) < c.confirmationTTL/3
	c.mu.Unlock()
	if confirmedLately {
		return
	}
	if err := c.opts.Cancellations.SyncToRevision(ctx, revision); err != nil {
		c.opts.Log.Debug("the epoch is current, but not the known cancellations", "err", err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isLeaderLocked() {
		c.confirmLocked(sent)
	}
}

// reacquireLeaderLease takes the leader key again within the same epoch, if no
// other controller has claimed the epoch since.
func (c *Cluster) reacquireLeaderLease(ctx context.Context) {
	lease, err := c.opts.Client.Grant(ctx, c.timeouts.leaderTTL)
	if err != nil {
		return
	}
	putLeader, err := c.putLeaderKey(lease)
	if err != nil {
		return
	}
	c.mu.Lock()
	conditions := []wire.Condition{c.epochConditionLocked(), c.leaderConditionLocked()}
	c.mu.Unlock()
	revision, err := c.opts.Client.Txn(ctx, state.Urgent, wire.Txn{If: conditions, Then: []wire.Change{putLeader}})
	if err != nil {
		_ = c.refresh(ctx) // the next round decides on what it shows
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease, c.leader, c.leaderVersion = lease, c.ownRecord(), revision
}

// StepDown gives up the leader key, so that another controller takes over soon:
// this one cannot reach the workers while another can. It does nothing if this
// controller does not lead.
func (c *Cluster) StepDown(ctx context.Context) {
	condition, leads := c.markSteppedDown()
	if !leads {
		return
	}
	c.opts.Log.Info("stepping down")
	_, err := c.opts.Client.Txn(ctx, state.Urgent, wire.Txn{
		If:   []wire.Condition{condition},
		Then: []wire.Change{{Delete: leaderKey}},
	})
	if err != nil {
		c.opts.Log.Info("stepping down failed", "err", err)
	}
}

// markSteppedDown keeps a leader from taking the leader key again soon, and
// returns the condition under which it may delete that.
func (c *Cluster) markSteppedDown() (condition wire.Condition, leads bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	leads = c.isLeaderLocked()
	if leads {
		c.steppedDownAt = time.Now()
	}
	return c.leaderConditionLocked(), leads
}
