package cluster

import (
	"context"
	"errors"
	"time"

	"heronwick/internal/state"
	"heronwick/wire"
)

// renewLeadership confirms that the epoch is current and renews the lease of the
// leader key.
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
		c.opts.Log.Info("leader lease expired; reacquiring it")
		c.reacquireLeaderLease(ctx)
	}
}

// confirmWithStore reports whether the store confirms that the epoch is current. It
// uses a transaction that has a condition but no changes.
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
		c.opts.Log.Debug("failed to confirm the epoch", "err", err)
	}
	return false
}

// confirmAtRevision handles a confirmation of the epoch by the store at a revision;
// sent is when it was requested. The confirmation counts only if all cancellations
// up to that revision are known. The watch may not have delivered them yet, so they
// are read first. If the peers have confirmed the epoch recently, none of this is
// necessary.
func (c *Cluster) confirmAtRevision(ctx context.Context, sent time.Time, revision uint64) {
	c.mu.Lock()
	confirmedRecently := sent.Sub(c.confirmedAt) < c.confirmationTTL/3
	c.mu.Unlock()
	if confirmedRecently {
		return
	}
	if err := c.opts.Cancellations.SyncToRevision(ctx, revision); err != nil {
		c.opts.Log.Debug("epoch not confirmed: failed to read the cancellations up to the confirming revision", "err", err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isLeaderLocked() {
		c.confirmLocked(sent)
	}
}

// reacquireLeaderLease writes the leader key again with a new lease in the same
// epoch, unless another controller has claimed an epoch or written the key
// meanwhile.
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
		_ = c.refresh(ctx) // after an error, the next round continues with the last known state
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease, c.leader, c.leaderVersion = lease, c.ownRecord(), revision
}

// StepDown deletes the leader key so that another controller takes over soon. It is
// called when this controller cannot reach the workers but another one can. It does
// nothing if this controller is not the leader.
func (c *Cluster) StepDown(ctx context.Context) {
	condition, leads := c.markSteppedDown()
	if !leads {
		return
	}
	c.opts.Log.Info("stepping down as leader")
	_, err := c.opts.Client.Txn(ctx, state.Urgent, wire.Txn{
		If:   []wire.Condition{condition},
		Then: []wire.Change{{Delete: leaderKey}},
	})
	if err != nil {
		c.opts.Log.Info("failed to step down as leader", "err", err)
	}
}

// markSteppedDown prevents this controller from reacquiring the leader key for a
// while if it is the leader, and returns the condition under which it may delete
// the key.
func (c *Cluster) markSteppedDown() (condition wire.Condition, leads bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	leads = c.isLeaderLocked()
	if leads {
		c.steppedDownAt = time.Now()
	}
	return c.leaderConditionLocked(), leads
}
