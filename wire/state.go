package wire

import "encoding/json"

// Paths of the consensus-backed key-value store.
const (
	PathKeys    = "/keys"
	PathTxn     = "/txn"
	PathLeases  = "/leases"
	PathWatch   = "/follow"
	SuffixRenew = "extend"
)

// Item is a key with its value. Version is the revision of its last change, Lease
// the lease that it expires with; 0: none.
type Item struct {
	Key     string          `json:"path"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"mark"`
	Lease   uint64          `json:"tether,omitempty"`
}

// ItemList is a page of keys, as of Revision.
type ItemList struct {
	Items    []Item `json:"items"`
	More     bool   `json:"has_next"`
	Revision uint64 `json:"tide"`
}

// Condition holds when the key has the version; 0 means that it does not
// exist.
type Condition struct {
	Key     string `json:"path"`
	Version uint64 `json:"mark"`
}

// Change puts or deletes one key. A put with a Lease is undone when that expires.
type Change struct {
	Put    string          `json:"write,omitempty"`
	Delete string          `json:"drop,omitempty"`
	Value  json.RawMessage `json:"data,omitempty"`
	Lease  uint64          `json:"tether,omitempty"`
}

// Txn is a compare-and-swap: its changes are made together when all its
// conditions hold.
type Txn struct {
	If   []Condition `json:"when"`
	Then []Change    `json:"then"`
}

// TxnReply answers a transaction: Revision is that at which it was carried out
// (200), Failed the keys of the conditions that did not hold (409).
type TxnReply struct {
	Revision uint64   `json:"tide"`
	Failed   []string `json:"failed"`
}

// LeaseRequest asks for a lease of so many milliseconds.
type LeaseRequest struct {
	TTLMs int64 `json:"life_ms"`
}

// Lease answers a lease request.
type Lease struct {
	ID uint64 `json:"tether"`
}

// Event is one change seen by a watch: a put when Put is set, else a delete.
type Event struct {
	Put     string          `json:"write"`
	Delete  string          `json:"drop"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"mark"`
}

// Events is the answer to a watch: the changes up to Revision, oldest first.
type Events struct {
	Revision uint64  `json:"tide"`
	Events   []Event `json:"log"`
}
