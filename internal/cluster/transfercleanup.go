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
	// transferCleanupInterval is how often the leader looks for transfers to
	// remove.
	transferCleanupInterval = 10 * time.Second
	// maxRemovalsPerTxn bounds the removals in one transaction; it need not be quick.
	maxRemovalsPerTxn = 8
	// maxObsoleteTransfers is how many settled transfers of the current epoch may
	// stand before the leader raises the token so that it can remove them.
	maxObsoleteTransfers = 200
)

// runTransferCleanup removes settled transfers now and then until ctx ends. It is
// apart from what keeps the leader's lease, since it waits behind everything else
// for the store's limits.
func (c *Cluster) runTransferCleanup(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.Sleep(ctx, transferCleanupInterval)
		c.removeObsoleteTransfers(ctx)
	}
	return nil
}

// removeObsoleteTransfers removes some transfers that decide nothing any more. A
// late copy of a transfer would bring it back as the newest one, so one is
// removed only under a later epoch than its own: the copy then fails. Only the
// leader removes any.
func (c *Cluster) removeObsoleteTransfers(ctx context.Context) {
	guard, err := c.cleanupConditions()
	if err != nil {
		return // the controller that may remove them does
	}
	obsolete, ok := c.obsoleteTransfers()
	if !ok {
		return
	}
	if obsolete.inCurrentEpoch > maxObsoleteTransfers {
		if err := c.AdvanceEpoch(ctx); err != nil {
			c.opts.Log.Debug("raising the token failed", "err", err)
		}
		return
	}
	if len(obsolete.removable) > 0 {
		c.removeTransfers(ctx, guard, obsolete)
	}
}

// cleanupConditions returns the conditions of the removal of records besides the
// epoch.
func (c *Cluster) cleanupConditions() ([]wire.Condition, error) {
	if c.opts.CleanupConditions == nil {
		return nil, nil
	}
	return c.opts.CleanupConditions()
}

// obsoleteTransfers are transfers that decide nothing any more, as of an epoch.
type obsoleteTransfers struct {
	epoch          wire.Condition
	removable      []wire.Condition // of older epochs, maxRemovalsPerTxn at most
	inCurrentEpoch int              // not removable before the next epoch
}

// obsoleteTransfers finds the settled transfers; ok is false if this controller
// does not lead or may not have seen every transfer.
func (c *Cluster) obsoleteTransfers() (obsolete obsoleteTransfers, ok bool) {
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
		case len(obsolete.removable) < maxRemovalsPerTxn:
			obsolete.removable = append(obsolete.removable, wire.Condition{Key: key, Version: t.version})
		}
	}
	return obsolete, true
}

// oldestTransfersLocked returns, by machine, the version of the oldest transfer
// that names it.
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

// obsoleteLocked reports whether a transfer decides nothing any more: for each of
// its machines there is a newer one, or the owner's membership is over and there
// is no older one.
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
			c.opts.Log.Debug("removing transfers failed", "err", err)
		}
		return // the watch brings what stands
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range txn.Then {
		c.removeTransferLocked(change.Delete)
	}
}
