package duty

import (
	"encoding/json"
	"strings"

	"heronwick/wire"
)

// Keys of the state service that this package owns. They are below the prefix that
// package cluster watches, so that they are seen in one order with the epoch: who
// knows an epoch knows every intent that was written under an older one.
const (
	holderPrefix    = "cluster/duty/holder/"
	sessionPrefix   = "cluster/duty/session/"
	condemnedPrefix = "cluster/duty/condemned/"
	rentalPrefix    = "cluster/duty/rental/"
)

// holderRecord is the value of a duty's key. It is not leased and never removed: the
// key's version is the duty's token, so no token is ever used twice, and it would
// not be even if the key were removed, since the store's revision only rises.
type holderRecord struct {
	Node    string `json:"node"`    // "": nobody holds it
	Since   uint64 `json:"since"`   // of the holder's membership
	Session uint64 `json:"session"` // version of the holder's session key
}

// sessionRecord is the value of a controller's session key, which is attached to
// a lease: while the key has its version, the lease has not lapsed.
type sessionRecord struct {
	Incarnation uint64 `json:"incarnation"`
}

// condemnedRecord is an intent to return machines. Nobody places on them again,
// whoever owns them, so that the return harms nothing whenever it is carried out.
type condemnedRecord struct {
	Duty     string   `json:"duty"`
	Token    uint64   `json:"token"`
	Why      string   `json:"why"`
	Machines []string `json:"machines"`
}

// rentalRecord is an intent to rent. Whoever holds the duty later repeats what is in
// it under the same request names, which rents nothing twice.
type rentalRecord struct {
	Token    uint64             `json:"token"`
	Requests []wire.RentRequest `json:"requests"`
}

func holderKey(id ID) string { return holderPrefix + id.String() }

func sessionKey(node string) string { return sessionPrefix + node }

// isOwnKey tells whether a key belongs to this package.
func isOwnKey(key string) bool { return strings.HasPrefix(key, "cluster/duty/") }

// encode writes a record of this package, which holds nothing that cannot be.
func encode(record any) json.RawMessage {
	value, err := json.Marshal(record)
	if err != nil {
		panic(err)
	}
	return value
}
