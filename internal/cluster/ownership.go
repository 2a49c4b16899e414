package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"heronwick/internal/state"
	"heronwick/internal/wait"
	"heronwick/wire"
)

// ownerPrefix is where transfers are: each key gives machines to a member.
const ownerPrefix = prefix + "owner/"

// Transfer is the value of one such key, written once by the owner of its
// machines. A machine belongs to whom the newest transfer that names it gives
// it; what none names, or whose owner's membership is over, is the leader's. Many
// machines in one value make a regrouping of hundreds a few changes.
type Transfer struct {
	Node  string `json:"node"`  // "": the machines are gone for good
	Since uint64 `json:"since"` // of the member
	Token uint64 `json:"token"` // under which it was written
	// Machines holds, by name, what the owner before knew, for the one after.
	Machines map[string]json.RawMessage `json:"machines,omitempty"`
	// Machine is set in the earlier form, whose key names the one machine.
	Machine json.RawMessage `json:"machine,omitempty"`
}

// Owner is who owns a machine, by the newest transfer that names it: it alone
// answers its worker and places on it.
type Owner struct {
	Node    string
	Since   uint64
	Machine json.RawMessage // what the owner before knew of it
	Version uint64          // of the transfer
	key     string
}

// Released tells whether the machine was given back to the cloud.
func (o Owner) Released() bool { return o.Node == "" && o.Version > 0 }

// transfer is a Transfer as the store holds it.
type transfer struct {
	Transfer
	version uint64
}

func (c *Cluster) applyTransferLocked(key string, value json.RawMessage, version uint64) {
	name, ok := strings.CutPrefix(key, ownerPrefix)
	if !ok || c.transfers[key].version >= version {
		return
	}
	t := transfer{version: version}
	if json.Unmarshal(value, &t.Transfer) != nil {
		return
	}
	if t.Machines == nil {
		t.Machines = map[string]json.RawMessage{name: t.Machine}
	}
	c.addTransferLocked(key, t)
}

func (c *Cluster) addTransferLocked(key string, t transfer) {
	version := t.version
	c.transfers[key] = t
	for machine, about := range t.Machines {
		if version > c.owners[machine].Version {
			c.owners[machine] = Owner{Node: t.Node, Since: t.Since, Machine: about, Version: version, key: key}
		}
	}
}

// removeTransferLocked takes the removal of a transfer. One is removed only once
// no older one names its machines, so nothing older comes to light.
func (c *Cluster) removeTransferLocked(key string) {
	for machine := range c.transfers[key].Machines {
		if c.owners[machine].key == key {
			delete(c.owners, machine)
		}
	}
	delete(c.transfers, key)
}

// memberIn tells whether the owner is, in its membership, a member of an epoch.
func (o Owner) memberIn(epoch *Epoch) bool {
	return o.Since != 0 && epoch.Members[o.Node].Since == o.Since
}

func (c *Cluster) validLocked(o Owner) bool { return o.memberIn(&c.epoch) }

// OwnedMachines returns the machines that this controller owns by name, and the names
// of those whose owner is no member. fresh is false while a write of an older
// epoch may not have been seen yet.
func (c *Cluster) OwnedMachines() (mine map[string]Owner, orphans []string, fresh bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	mine = map[string]Owner{}
	for machine, o := range c.owners {
		switch {
		case o.Released():
		case !c.validLocked(o):
			orphans = append(orphans, machine)
		case o.Node == c.opts.Node:
			mine[machine] = o
		}
	}
	return mine, orphans, c.revision >= c.version
}

// OwnerOf returns a machine's owner, member or not; named tells whether any
// transfer names the machine.
func (c *Cluster) OwnerOf(machine string) (o Owner, named bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o, named = c.owners[machine]
	return o, named
}

// HostOf returns the member that owns a machine in an epoch, or its leader,
// which takes what has no owner.
func (c *Cluster) HostOf(epoch *Epoch, machine string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o, ok := c.owners[machine]; ok && o.memberIn(epoch) {
		return o.Node
	}
	return epoch.Leader
}

// Fresh tells whether every owner's write of an older epoch has been seen.
func (c *Cluster) Fresh() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision >= c.version
}

// TransferWrite returns the write that makes node the owner of machines, or,
// with no node, marks them as gone for good; ok is false if the node is no
// member. It must also be conditional on the epoch: under one epoch only the
// present owner of a machine writes about it.
func (c *Cluster) TransferWrite(node string, machines map[string]json.RawMessage) (condition wire.Condition, change wire.Change, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := c.epoch.Members[node].Since
	if node != "" && since == 0 {
		return condition, change, false
	}
	value, err := json.Marshal(Transfer{Node: node, Since: since, Token: c.epoch.Token, Machines: machines})
	if err != nil {
		return condition, change, false
	}
	c.written++
	key := state.MemberKey(ownerPrefix, c.opts.Node, c.epoch.Members[c.opts.Node].Since, strconv.FormatUint(c.written, 10))
	return wire.Condition{Key: key}, wire.Change{Put: key, Value: value}, true
}

// NoteOwner takes an owner's write that was carried out, before the watch
// tells of it.
func (c *Cluster) NoteOwner(change wire.Change, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyTransferLocked(change.Put, change.Value, version)
}

// maxTransfers is how many transfers may stand before the leader raises the
// token so that it can remove what is settled.
const maxTransfers = 200

// transferCleanupInterval is how often the leader looks for transfers to remove.
const transferCleanupInterval = 10 * time.Second

// runTransferCleanup tidies now and then, apart from what keeps the leader's lease: it
// waits behind everything else for the state service's limits.
func (c *Cluster) runTransferCleanup(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.Sleep(ctx, transferCleanupInterval)
		c.removeSettledTransfers(ctx)
	}
	return nil
}

// cleanupGuard returns what the removal of records is conditional on besides the epoch.
func (c *Cluster) cleanupGuard() ([]wire.Condition, error) {
	if c.opts.Cleanup == nil {
		return nil, nil
	}
	return c.opts.Cleanup()
}

// removeSettledTransfers removes transfers that decide nothing any more: newer ones name all
// their machines, or the owner's membership is over and none older names them. A
// late copy of a transfer would bring it back as the newest one, so one is
// removed only under a later epoch than its own: the copy then fails.
func (c *Cluster) removeSettledTransfers(ctx context.Context) {
	const most = 8 // changes; it need not be quick
	guard, err := c.cleanupGuard()
	if err != nil {
		return // whoever has the right to does it
	}
	c.mu.Lock()
	if !c.leadsLocked() || c.revision < c.version {
		c.mu.Unlock()
		return
	}
	txn := wire.Txn{If: append(guard, wire.Condition{Key: epochKey, Version: c.version})}
	oldest := map[string]uint64{} // by machine, the oldest transfer that names it
	for _, t := range c.transfers {
		for machine := range t.Machines {
			if v, ok := oldest[machine]; !ok || t.version < v {
				oldest[machine] = t.version
			}
		}
	}
	young := 0
	for key, t := range c.transfers {
		settled := true
		for machine := range t.Machines {
			newest := c.owners[machine].key == key
			if newest && (c.validLocked(c.owners[machine]) || oldest[machine] < t.version) {
				settled = false
				break
			}
		}
		switch {
		case !settled:
		case t.Token >= c.epoch.Token:
			young++
		case len(txn.Then) < most:
			txn.If = append(txn.If, wire.Condition{Key: key, Version: t.version})
			txn.Then = append(txn.Then, wire.Change{Delete: key})
		}
	}
	c.mu.Unlock()
	if young > maxTransfers {
		if err := c.AdvanceEpoch(ctx); err != nil {
			c.opts.Log.Debug("raising the token failed", "err", err)
		}
		return
	}
	if len(txn.Then) == 0 {
		return
	}
	_, err = c.opts.Client.Txn(ctx, state.Background, txn)
	var conflict *state.Conflict
	if err != nil {
		if !errors.As(err, &conflict) {
			c.opts.Log.Debug("removing transfers failed", "err", err)
		}
		return // the watch tells what stands
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range txn.Then {
		c.removeTransferLocked(change.Delete)
	}
}
