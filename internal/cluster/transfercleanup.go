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
	// maxRemovals bounds the removals in one transaction; it need not be quick.
	maxRemovals = 8
	// maxSettledTransfers is how many settled transfers of the current epoch may
	// stand before the leader raises the token so that it can remove them.
	maxSettledTransfers = 200
)

// runTransferCleanup removes settled transfers now and then until ctx ends. It is
// apart from what keeps the leader's lease, since it waits behind everything else
// for the store's limits.
func (c *Cluster) runTransferCleanup(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.Sleep(ctx, transferCleanupInterval)
		c.removeSettledTransfers(ctx)
	}
	return nil
}

// removeSettledTransfers removes some transfers that decide nothing any more. A
// late copy of a transfer would bring it back as the newest one, so one is
// removed only under a later epoch than its own: the copy then fails. Only the
// leader removes any.
func (c *Cluster) removeSettledTransfers(ctx context.Context) {
	guard, err := c.cleanupGuard()
	if err != nil {
		return // the controller that may remove them does
	}
	settled, ok := c.settledTransfers()
	if !ok {
		return
	}
	if settled.ofThisEpoch > maxSettledTransfers {
		if err := c.AdvanceEpoch(ctx); err != nil {
			c.opts.Log.Debug("raising the token failed", "err", err)
		}
		return
	}
	if len(settled.removable) > 0 {
		c.removeTransfers(ctx, guard, settled)
	}
}

// cleanupGuard returns the conditions of the removal of records besides the
// epoch.
func (c *Cluster) cleanupGuard() ([]wire.Condition, error) {
	if c.opts.CleanupConditions == nil {
		return nil, nil
	}
	return c.opts.CleanupConditions()
}

// settledTransfers are transfers that decide nothing any more, as of an epoch.
type settledTransfers struct {
	epoch       wire.Condition
	removable   []wire.Condition // of older epochs, maxRemovals at most
	ofThisEpoch int              // not removable before the next epoch
}

// settledTransfers finds the settled transfers; ok is false if this controller
// does not lead or may not have seen every transfer.
func (c *Cluster) settledTransfers() (settled settledTransfers, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leadsLocked() || !c.freshLocked() {
		return settledTransfers{}, false
	}
	settled.epoch = c.epochConditionLocked()
	oldest := c.oldestTransfersLocked()
	for key, t := range c.transfers {
		switch {
		case !c.settledLocked(key, t, oldest):
		case t.Token >= c.epoch.Token:
			settled.ofThisEpoch++
		case len(settled.removable) < maxRemovals:
			settled.removable = append(settled.removable, wire.Condition{Key: key, Version: t.version})
		}
	}
	return settled, true
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

// settledLocked reports whether a transfer decides nothing any more: for each of
// its machines there is a newer one, or the owner's membership is over and there
// is no older one.
func (c *Cluster) settledLocked(key string, t transfer, oldest map[string]uint64) bool {
	for machine := range t.Machines {
		owner := c.owners[machine]
		isNewest := owner.key == key
		if isNewest && (c.validLocked(owner) || oldest[machine] < t.version) {
			return false
		}
	}
	return true
}

func (c *Cluster) removeTransfers(ctx context.Context, guard []wire.Condition, settled settledTransfers) {
	txn := wire.Txn{If: append(guard, settled.epoch)}
	for _, condition := range settled.removable {
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
