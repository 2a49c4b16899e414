package cluster

import (
	"encoding/json"
	"strconv"
	"strings"

	"heronwick/internal/state"
	"heronwick/wire"
)

// ownerPrefix is the key prefix of transfers.
const ownerPrefix = prefix + "owner/"

// Transfer is the value of a key that assigns machines to a member. The current owner
// of the machines writes it once. A machine belongs to the new owner in the newest
// transfer that lists the machine. It belongs to the leader if no transfer lists it
// or the membership of its owner has ended. A transfer lists many machines so that
// transferring hundreds of machines takes only a few writes to the store.
type Transfer struct {
	Node  string `json:"node"`  // the new owner; "" means that the machines were returned to the cloud
	Since uint64 `json:"since"` // token of the epoch in which the new owner joined, see Member.Since
	Token uint64 `json:"token"` // of the epoch under which the transfer was written
	// Machines maps the name of each machine to its record from the previous owner.
	Machines map[string]json.RawMessage `json:"machines,omitempty"`
	// Machine is the record of a transfer in the old format, which covers a single
	// machine, named in the key.
	Machine json.RawMessage `json:"machine,omitempty"`
}

// Owner is the owner of a machine according to the newest transfer that lists it.
// Only the owner answers heartbeats of the machine's worker and places tasks on the
// machine.
type Owner struct {
	Node    string
	Since   uint64          // token of the epoch in which the owner joined, see Member.Since
	Machine json.RawMessage // record of the machine from the previous owner
	Version uint64          // version of the transfer's key
	key     string          // key of the transfer
}

// Released reports whether the machine was returned to the cloud.
func (o Owner) Released() bool { return o.Node == "" && o.Version > 0 }

// memberIn reports whether the owner's membership is part of an epoch.
func (o Owner) memberIn(epoch *Epoch) bool {
	return o.Since != 0 && epoch.Members[o.Node].Since == o.Since
}

// transfer is a Transfer with the version of its key.
type transfer struct {
	Transfer
	version uint64
}

// applyTransferLocked applies the value of a transfer's key. It ignores keys that are
// not transfers and values that are not newer than the known value.
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

// addTransferLocked adds a transfer. It determines the owner of those of its machines
// that are not listed in a newer transfer.
func (c *Cluster) addTransferLocked(key string, t transfer) {
	c.transfers[key] = t
	for machine, record := range t.Machines {
		if t.version > c.owners[machine].Version {
			c.owners[machine] = Owner{Node: t.Node, Since: t.Since, Machine: record, Version: t.version, key: key}
		}
	}
}

// removeTransferLocked applies the removal of a transfer. The newest transfer of a
// machine is removed only after all older ones, so the removal does not restore an
// earlier owner.
func (c *Cluster) removeTransferLocked(key string) {
	for machine := range c.transfers[key].Machines {
		if c.owners[machine].key == key {
			delete(c.owners, machine)
		}
	}
	delete(c.transfers, key)
}

// ownerIsMemberLocked reports whether the owner's membership is part of the current
// epoch.
func (c *Cluster) ownerIsMemberLocked(o Owner) bool { return o.memberIn(&c.epoch) }

// Ownership is a consistent snapshot of the owners of machines as known to a
// controller.
type Ownership struct {
	Owned   map[string]Owner // the machines that this controller owns, by name
	Orphans []string         // names of the machines whose owner is no longer a member
	Fresh   bool             // includes every transfer that was written under an older epoch
}

// Ownership returns a snapshot of the known owners of machines.
func (c *Cluster) Ownership() Ownership {
	c.mu.Lock()
	defer c.mu.Unlock()
	ownership := Ownership{Owned: map[string]Owner{}, Fresh: c.freshLocked()}
	for machine, o := range c.owners {
		switch {
		case o.Released():
		case !c.ownerIsMemberLocked(o):
			ownership.Orphans = append(ownership.Orphans, machine)
		case o.Node == c.opts.Node:
			ownership.Owned[machine] = o
		}
	}
	return ownership
}

// OwnerOf returns the owner of a machine, even if its membership has ended. listed
// reports whether any transfer lists the machine.
func (c *Cluster) OwnerOf(machine string) (o Owner, listed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o, listed = c.owners[machine]
	return o, listed
}

// OwnerInEpoch returns the member that owns a machine in an epoch. Machines whose
// owner is not a member of that epoch belong to its leader.
func (c *Cluster) OwnerInEpoch(epoch *Epoch, machine string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o, ok := c.owners[machine]; ok && o.memberIn(epoch) {
		return o.Node
	}
	return epoch.Leader
}

// Fresh reports whether this controller knows every transfer that was written under
// an older epoch.
func (c *Cluster) Fresh() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.freshLocked()
}

func (c *Cluster) freshLocked() bool { return c.revision >= c.version }

// TransferWrite is the write of a transfer to the store. The caller must also make it
// conditional on the epoch, so that only the current owner of a machine in that
// epoch can transfer the machine.
type TransferWrite struct {
	Condition wire.Condition // the key of the transfer does not exist yet
	Change    wire.Change    // puts the transfer
}

// NewTransfer returns the write that makes node the owner of machines, a map from
// their names to their records. If node is "", the write marks the machines as
// released, that is, returned to the cloud. ok is false if the node is not a member.
func (c *Cluster) NewTransfer(node string, machines map[string]json.RawMessage) (write TransferWrite, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := c.epoch.Members[node].Since
	if node != "" && since == 0 {
		return TransferWrite{}, false
	}
	value, err := json.Marshal(Transfer{Node: node, Since: since, Token: c.epoch.Token, Machines: machines})
	if err != nil {
		return TransferWrite{}, false
	}
	c.transfersWritten++
	name := strconv.FormatUint(c.transfersWritten, 10)
	key := state.MemberKey(ownerPrefix, c.opts.Node, c.epoch.Members[c.opts.Node].Since, name)
	return TransferWrite{Condition: wire.Condition{Key: key}, Change: wire.Change{Put: key, Value: value}}, true
}

// RecordTransfer applies a transfer that this controller has written, without waiting
// for the watch to deliver it. version is the version of the key after the write.
func (c *Cluster) RecordTransfer(change wire.Change, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyTransferLocked(change.Put, change.Value, version)
}
