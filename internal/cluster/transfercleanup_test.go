package cluster

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"heronwick/internal/config"
	"heronwick/internal/state"
	"heronwick/wire"
)

// writeTransfers writes transfers of one machine. All but the last one are obsolete, and
// can be removed in the next epoch.
func (c *leader) writeTransfers(t *testing.T, count int) {
	t.Helper()
	for range count {
		transfer, _ := c.NewTransfer("a", map[string]json.RawMessage{"m1": json.RawMessage("{}")})
		txn := wire.Txn{If: []wire.Condition{transfer.Condition}, Then: []wire.Change{transfer.Change}}
		version, err := c.opts.Client.Txn(context.Background(), state.Urgent, txn)
		if err != nil {
			t.Fatalf("writing a transfer: %v", err)
		}
		c.RecordTransfer(transfer.Change, version)
	}
}

func (c *leader) advanceEpoch(t *testing.T) {
	t.Helper()
	if err := c.AdvanceEpoch(context.Background()); err != nil {
		t.Fatalf("advancing the epoch: %v", err)
	}
}

// Guards against obsolete transfers that stay in the store for ever, and that every new
// leader reads, because the transaction that removes them exceeds a lowered limit and is
// rejected again and again.
func TestObsoleteTransfersAreRemovedUnderLowestLimits(t *testing.T) {
	const transfers = 21
	create := func() *leader { return newLeaderWithTxnOps(config.MinTxnOps) }
	withLeaderOf(t, create, func(t *testing.T, c *leader) {
		c.writeTransfers(t, transfers)
		c.advanceEpoch(t)
		time.Sleep((transfers/config.MinTxnOps + 2) * transferCleanupInterval)
		if left := len(c.service.Items("cluster/owner/")); left != 1 || c.service.TooLarge > 0 {
			t.Errorf("got %d transfers left and %d transactions rejected, want 1 and 0", left, c.service.TooLarge)
		}
	})
}

// Guards against a removal that is repeated unchanged after the limits fell without notice.
func TestObsoleteTransfersAreRemovedAfterLimitsFall(t *testing.T) {
	const transfers = 21
	withLeader(t, func(t *testing.T, c *leader) {
		c.writeTransfers(t, transfers)
		c.service.LowerLimits(0, config.MinTxnOps)
		c.advanceEpoch(t)
		time.Sleep((transfers/config.MinTxnOps + 4) * transferCleanupInterval)
		if left := len(c.service.Items("cluster/owner/")); left != 1 || c.service.TooLarge != 1 {
			t.Errorf("got %d transfers left and %d transactions rejected, want 1 and 1", left, c.service.TooLarge)
		}
		if limits := c.opts.Client.Limits(); limits.Changes() != config.MinTxnOps || limits.Rejections() != 1 {
			t.Errorf("got a limit of %d changes and %d rejections, want %d and 1", limits.Changes(), limits.Rejections(), config.MinTxnOps)
		}
	})
}
