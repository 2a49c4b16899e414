package cluster

import (
	"context"
	"errors"
	"time"

	"heronwick/internal/state"
	"heronwick/internal/wait"
	"heronwick/wire"
)

const (
	// transferCleanupInterval is the interval at which the leader removes obsolete
	// transfers.
	transferCleanupInterval = 10 * time.Second
	// maxRemovalsPerTxn is the maximum number of removals in one transaction. It is
	// small because the cleanup is not urgent.
	maxRemovalsPerTxn = 8
	// maxObsoleteTransfers is the number of obsolete transfers of the current epoch
	// above which the leader advances the epoch so that it can remove them.
	maxObsoleteTransfers = 200
)

// runTransferCleanup removes obsolete transfers periodically until ctx ends. It runs
// separately from runElection, which renews the leader lease, because its requests
// have the lowest priority under the store's rate limits and may wait a long time.
func (c *Cluster) runTransferCleanup(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.Sleep(ctx, transferCleanupInterval)
		c.removeObsoleteTransfers(ctx)
	}
	return nil
}

// removeObsoleteTransfers removes some of the obsolete transfers. It does so only on
// the leader, and only for transfers of older epochs: a delayed duplicate of the
// request that wrote a transfer would otherwise write it again, as the newest one.
// In a later epoch the condition of that request fails.
func (c *Cluster) removeObsoleteTransfers(ctx context.Context) {
	guard, err := c.cleanupConditions()
	if err != nil {
		return // another controller may remove them and will do so
	}
	obsolete, ok := c.obsoleteTransfers(c.maxRemovals(len(guard)))
	if !ok {
		return
	}
	if obsolete.inCurrentEpoch > maxObsoleteTransfers {
		if err := c.AdvanceEpoch(ctx); err != nil {
			c.opts.Log.Debug("failed to advance the epoch", "err", err)
		}
		return
	}
	if len(obsolete.removable) > 0 {
		c.removeTransfers(ctx, guard, obsolete)
	}
}

// cleanupConditions returns the conditions, in addition to the epoch, under which
// records may be removed.
func (c *Cluster) cleanupConditions() ([]wire.Condition, error) {
	if c.opts.CleanupConditions == nil {
		return nil, nil
	}
	return c.opts.CleanupConditions()
}

// obsoleteTransfers are the transfers that no longer affect the owner of any machine
// in an epoch.
type obsoleteTransfers struct {
	epoch          wire.Condition
	removable      []wire.Condition // conditions on transfers of older epochs, at most as many as one transaction may remove
	inCurrentEpoch int              // number of transfers that cannot be removed before the next epoch
}

// maxRemovals returns the maximum number of removals in one transaction that also has the
// given number of conditions, and one on the epoch. Each removal takes a change and a
// condition.
func (c *Cluster) maxRemovals(conditions int) int {
	limits := c.opts.Client.Limits()
	return min(maxRemovalsPerTxn, limits.Changes(), limits.Conditions()-conditions-1)
}

// obsoleteTransfers returns the obsolete transfers, with at most maxRemovable that can be
// removed. ok is false if this controller is not the leader or may not know every transfer
// yet.
func (c *Cluster) obsoleteTransfers(maxRemovable int) (obsolete obsoleteTransfers, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isLeaderLocked() || !c.freshLocked() {
		return obsoleteTransfers{}, false
	}
	obsolete.epoch = c.epochConditionLocked()
	oldest := c.oldestTransfersLocked()
	for key, t := range c.transfers {
		switch {
		case !c.obsoleteLocked(key, t, oldest):
		case t.Token >= c.epoch.Token:
			obsolete.inCurrentEpoch++
		case len(obsolete.removable) < maxRemovable:
			obsolete.removable = append(obsolete.removable, wire.Condition{Key: key, Version: t.version})
		}
	}
	return obsolete, true
}

// oldestTransfersLocked returns, by machine, the version of the oldest transfer that
// lists the machine.
func (c *Cluster) oldestTransfersLocked() map[string]uint64 {
	oldest := map[string]uint64{}
	for _, t := range c.transfers {
		for machine := range t.Machines {
			if version, ok := oldest[machine]; !ok || t.version < version {
				oldest[machine] = t.version
			}
		}
	}
	return oldest
}

// obsoleteLocked reports whether a transfer no longer affects the owner of any
// machine. For each of its machines, there must be a newer transfer, or the owner's
// membership must have ended and no older transfer may exist, because removing the
// newest one would make an older one effective again.
func (c *Cluster) obsoleteLocked(key string, t transfer, oldest map[string]uint64) bool {
	for machine := range t.Machines {
		owner := c.owners[machine]
		isNewest := owner.key == key
		if isNewest && (c.ownerIsMemberLocked(owner) || oldest[machine] < t.version) {
			return false
		}
	}
	return true
}

// removeTransfers removes the removable transfers in one transaction.
func (c *Cluster) removeTransfers(ctx context.Context, guard []wire.Condition, obsolete obsoleteTransfers) {
	txn := wire.Txn{If: append(guard, obsolete.epoch)}
	for _, condition := range obsolete.removable {
		txn.If = append(txn.If, condition)
		txn.Then = append(txn.Then, wire.Change{Delete: condition.Key})
	}
	_, err := c.opts.Client.Txn(ctx, state.Background, txn)
	var conflict *state.Conflict
	if err != nil {
		if !errors.As(err, &conflict) {
			c.opts.Log.Debug("failed to remove obsolete transfers", "err", err)
		}
		return // the watch delivers the current state
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range txn.Then {
		c.removeTransferLocked(change.Delete)
	}
}
