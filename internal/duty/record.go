package duty

import (
	"encoding/json"
	"strings"

	"heronwick/wire"
)

// Keys of the key-value store that this package owns. They lie below the prefix that
// package cluster watches, so a watch delivers them in one order with the epoch: a
// controller that has seen an epoch has seen every intent written under an older one.
const (
	dutyPrefix    = "cluster/duty/"
	holderPrefix  = dutyPrefix + "holder/"
	sessionPrefix = dutyPrefix + "session/"
	returnPrefix  = dutyPrefix + "condemned/"
	rentalPrefix  = dutyPrefix + "rental/"
)

// holderRecord is the value of a duty's key. It is not attached to a lease and never
// removed, except by Manager.Clear: the key's version is the duty's fencing token. Tokens
// rise even across a removal, since the store's revision only rises.
type holderRecord struct {
	Node    string `json:"node"`    // "": the duty is not held
	Since   uint64 `json:"since"`   // epoch version from which the holder is a member
	Session uint64 `json:"session"` // version of the holder's session key
}

// sessionRecord is the value of a controller's session key, which is attached to a
// lease: the lease has not expired while the key has the version recorded by a holder.
type sessionRecord struct {
	Incarnation uint64 `json:"incarnation"`
}

// returnRecord is an intent to return machines. No controller places on them again, so
// returning them is safe at any later time.
type returnRecord struct {
	Duty     string   `json:"duty"`
	Token    uint64   `json:"token"`
	Reason   string   `json:"why"`
	Machines []string `json:"machines"`
}

// rentalRecord is an intent to rent. A later holder of the duty repeats its requests
// under the same request names, which rents nothing twice.
type rentalRecord struct {
	Token    uint64             `json:"token"`
	Requests []wire.RentRequest `json:"requests"`
}

func holderKey(id ID) string { return holderPrefix + id.String() }

func sessionKey(node string) string { return sessionPrefix + node }

// isDutyKey reports whether a key belongs to this package.
func isDutyKey(key string) bool { return strings.HasPrefix(key, dutyPrefix) }

// encode returns a record's stored form. The records of this package always encode.
func encode(record any) json.RawMessage {
	value, err := json.Marshal(record)
	if err != nil {
		panic(err)
	}
	return value
}
