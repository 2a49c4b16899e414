package duty

import (
	"encoding/json"
	"strings"

	"heronwick/wire"
)

// Prefixes of the keys that this package owns in the key-value store. They lie under the
// prefix that package cluster watches, so a single watch delivers their changes and those
// of the epoch in order: a controller that has seen an epoch has seen every intent written
// under an older one.
const (
	dutyPrefix    = "cluster/duty/"
	holderPrefix  = dutyPrefix + "holder/"
	sessionPrefix = dutyPrefix + "session/"
	returnPrefix  = dutyPrefix + "condemned/"
	rentalPrefix  = dutyPrefix + "rental/"
)

// holderRecord is the value of a duty's key, whose version is the duty's fencing token. The
// key is not attached to a lease and is never removed, except by Manager.Clear. Tokens
// increase even across a removal, because a version is a revision of the store, which only
// increases.
type holderRecord struct {
	Node    string `json:"node"`    // "" if no controller holds the duty
	Since   uint64 `json:"since"`   // token of the epoch in which the holder joined as a member
	Session uint64 `json:"session"` // version of the holder's session key
}

// sessionRecord is the value of a controller's session key, which is attached to a lease.
// The lease of a duty's holder has not expired while the holder's session key has the
// version that the holder record names.
type sessionRecord struct {
	Incarnation uint64 `json:"incarnation"`
}

// returnRecord is an intent to return machines. Once it is stored, no controller places
// tasks on the machines, so returning them is safe at any later time.
type returnRecord struct {
	Duty     string   `json:"duty"`
	Token    uint64   `json:"token"`
	Reason   string   `json:"why"`
	Machines []string `json:"machines"`
}

// rentalRecord is an intent to rent. A later holder of the duty sends its requests again
// under the same request IDs, so no machine is rented twice.
type rentalRecord struct {
	Token    uint64             `json:"token"`
	Requests []wire.RentRequest `json:"requests"`
}

func holderKey(id ID) string { return holderPrefix + id.String() }

func sessionKey(node string) string { return sessionPrefix + node }

// isDutyKey reports whether a key belongs to this package.
func isDutyKey(key string) bool { return strings.HasPrefix(key, dutyPrefix) }

// encode returns the JSON form of a record. It panics on failure, which cannot happen for
// the record types of this package.
func encode(record any) json.RawMessage {
	value, err := json.Marshal(record)
	if err != nil {
		panic(err)
	}
	return value
}
