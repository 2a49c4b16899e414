package cluster

import (
	"encoding/json"
	"strconv"
	"strings"

	"heronwick/internal/state"
	"heronwick/wire"
)

// ownerPrefix is the prefix of the transfers' keys.
const ownerPrefix = prefix + "owner/"

// Transfer is the value of a key that gives machines to a member, written once by
// the owner of the machines. A machine belongs to the member that the newest
// transfer with its name gives it to; a machine that no transfer names, or whose
// owner's membership is over, is the leader's. Many machines in one value make a
// change of owner of hundreds a few changes of the store.
type Transfer struct {
	Node  string `json:"node"`  // the new owner; "": the machines are gone for good
	Since uint64 `json:"since"` // of the new owner's membership
	Token uint64 `json:"token"` // of the epoch under which it was written
	// Machines holds, by name, the record of each machine from its owner before.
	Machines map[string]json.RawMessage `json:"machines,omitempty"`
	// Machine is set in the earlier form, whose key names the one machine.
	Machine json.RawMessage `json:"machine,omitempty"`
}

// Owner is the owner of a machine, by the newest transfer that names it: it alone
// answers its worker and places tasks on it.
type Owner struct {
	Node    string
	Since   uint64          // of the owner's membership
	Machine json.RawMessage // the machine's record from its owner before
	Version uint64          // of the transfer
	key     string          // of the transfer
}

// Released reports whether the machine was returned to the cloud.
func (o Owner) Released() bool { return o.Node == "" && o.Version > 0 }

// memberIn reports whether the owner's membership is one of an epoch.
func (o Owner) memberIn(epoch *Epoch) bool {
	return o.Since != 0 && epoch.Members[o.Node].Since == o.Since
}

// transfer is a Transfer with the version of its key.
type transfer struct {
	Transfer
	version uint64
}

// applyTransferLocked applies the value of a transfer's key. Keys of other kinds
// and values older than the known one are ignored.
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

// addTransferLocked adds a transfer, which becomes the owner record of the
// machines that no newer one names.
func (c *Cluster) addTransferLocked(key string, t transfer) {
	c.transfers[key] = t
	for machine, record := range t.Machines {
		if t.version > c.owners[machine].Version {
			c.owners[machine] = Owner{Node: t.Node, Since: t.Since, Machine: record, Version: t.version, key: key}
		}
	}
}

// removeTransferLocked applies the removal of a transfer. One is removed only once
// no older one names its machines, so no older owner comes back.
func (c *Cluster) removeTransferLocked(key string) {
	for machine := range c.transfers[key].Machines {
		if c.owners[machine].key == key {
			delete(c.owners, machine)
		}
	}
	delete(c.transfers, key)
}

// ownerIsMemberLocked reports whether the owner is a member of the current epoch.
func (c *Cluster) ownerIsMemberLocked(o Owner) bool { return o.memberIn(&c.epoch) }

// Ownership is what a controller knows of the owners of machines, as of one moment.
type Ownership struct {
	Owned   map[string]Owner // the machines that this controller owns, by name
	Orphans []string         // names of the machines whose owner is no member
	Fresh   bool             // every transfer of an older epoch has been seen
}

// Ownership returns what this controller knows of the owners of machines.
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

// OwnerOf returns a machine's owner, member or not; named reports whether any
// transfer names the machine.
func (c *Cluster) OwnerOf(machine string) (o Owner, named bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o, named = c.owners[machine]
	return o, named
}

// OwnerInEpoch returns the member that owns a machine in an epoch; one without an owner
// is the leader's.
func (c *Cluster) OwnerInEpoch(epoch *Epoch, machine string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o, ok := c.owners[machine]; ok && o.memberIn(epoch) {
		return o.Node
	}
	return epoch.Leader
}

// Fresh reports whether every transfer of an older epoch has been seen.
func (c *Cluster) Fresh() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.freshLocked()
}

func (c *Cluster) freshLocked() bool { return c.revision >= c.version }

// TransferWrite is the write of a transfer to the store. It must also be
// conditional on the epoch: under one epoch only the current owner of a machine
// transfers it.
type TransferWrite struct {
	Condition wire.Condition // holds while the transfer's key does not exist
	Change    wire.Change    // puts the transfer
}

// NewTransfer returns the write that makes node the owner of machines, given by
// name with their records, or, with node "", marks them as gone for good; ok is
// false if the node is no member.
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

// RecordTransfer applies a transfer that was written at a version, before the watch
// brings it.
func (c *Cluster) RecordTransfer(change wire.Change, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyTransferLocked(change.Put, change.Value, version)
}
