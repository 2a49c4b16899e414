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

// NoSuchLease is the error in the response to a transaction that attaches a key to a lease
// that has expired (HTTP 400).
const NoSuchLease = "no such lease"

// Item is a key with its value. Version is the revision of its last change. Lease is the
// lease to which the key is attached, or 0 if there is none.
type Item struct {
	Key     string          `json:"path"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"mark"`
	Lease   uint64          `json:"tether,omitempty"`
}

// ItemList is one page of a list of keys as of Revision. More reports whether further pages
// follow.
type ItemList struct {
	Items    []Item `json:"items"`
	More     bool   `json:"has_next"`
	Revision uint64 `json:"tide"`
}

// Condition holds if the key has the given version. Version 0 means that the key does not
// exist.
type Condition struct {
	Key     string `json:"path"`
	Version uint64 `json:"mark"`
}

// Change puts or deletes one key. A key that is put with a Lease is deleted when the lease
// expires.
type Change struct {
	Put    string          `json:"write,omitempty"`
	Delete string          `json:"drop,omitempty"`
	Value  json.RawMessage `json:"data,omitempty"`
	Lease  uint64          `json:"tether,omitempty"`
}

// Txn is a compare-and-swap transaction: its changes are applied atomically if all its
// conditions hold.
type Txn struct {
	If   []Condition `json:"when"`
	Then []Change    `json:"then"`
}

// TxnReply is the response to a transaction. Revision is the revision at which the changes
// were applied (HTTP 200), Failed lists the keys of the conditions that did not hold (HTTP
// 409).
type TxnReply struct {
	Revision uint64   `json:"tide"`
	Failed   []string `json:"failed"`
}

// LeaseRequest is a request for a lease with a time to live in milliseconds.
type LeaseRequest struct {
	TTLMs int64 `json:"life_ms"`
}

// Lease is the response to a LeaseRequest.
type Lease struct {
	ID uint64 `json:"tether"`
}

// Event is one change observed by a watch: a put if Put is set, otherwise a delete.
type Event struct {
	Put     string          `json:"write"`
	Delete  string          `json:"drop"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"mark"`
}

// Events is the response to a watch: the changes up to Revision, oldest first.
type Events struct {
	Revision uint64  `json:"tide"`
	Events   []Event `json:"log"`
}
