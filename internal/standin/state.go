package standin

import (
	"encoding/json"
	"errors"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"heronwick/wire"
)

// errNoResponse is returned for a request whose response is dropped.
var errNoResponse = errors.New("standin: no response")

// State is an in-memory fake of the consensus-backed key-value store. Its exported limits
// are set before use, and its counters are read when nothing uses it; its methods are safe
// for concurrent use.
type State struct {
	// Requests counts the requests that reached the store; Writes the changes of the
	// transactions that it carried out or refused as too large.
	Requests, Writes int
	// RequestRate and WriteRate are the limits of requests and of changes a second, with
	// bursts of a second's worth; RequestRate 0: none. RateLimited counts the requests above
	// them.
	RequestRate, WriteRate float64
	RateLimited            int
	// MaxValueBytes and MaxTxnOps are the limits of a value's size and of a transaction's
	// changes; 0: none. TooLarge counts the transactions above them.
	MaxValueBytes, MaxTxnOps int
	TooLarge                 int

	mu        sync.Mutex
	revision  uint64
	items     map[string]wire.Item // by key
	events    []wire.Event         // all changes, the oldest first
	changed   chan struct{}        // closed and replaced at each change
	leases    map[uint64]*lease    // by ID
	lastLease uint64               // ID

	// Requests and changes taken of the burst, as of when it was last refilled.
	requestsTaken, writesTaken float64
	refilled                   time.Time

	// Faults.
	outage           bool
	rejectedNodes    map[string]bool
	responseDelay    time.Duration
	dropResponses    int // how many of the next transactions get no response
	holdTransactions int // how many of the next transactions are held back
	heldTransactions []wire.Txn
	applied          []wire.Txn // the last ones that were carried out, to be replayed
}

// NewState returns an empty store without limits.
func NewState() *State {
	return &State{items: map[string]wire.Item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), rejectedNodes: map[string]bool{}}
}

// Count returns how many keys there are.
func (s *State) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.items)
}

// Get returns a key's value; nil if it does not exist.
func (s *State) Get(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// Items returns the items whose keys begin with a prefix, in no order.
func (s *State) Items(prefix string) []wire.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []wire.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	return items
}

// Put writes a key unconditionally and returns its version. The value is encoded as JSON.
func (s *State) Put(key string, value any) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, reply := s.txnLocked(wire.Txn{Then: []wire.Change{{Put: key, Value: encode(value)}}})
	return reply.Revision
}

// Version returns a key's version; 0 if it does not exist.
func (s *State) Version(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Version
}

// listLocked returns the items that a listing asks for, by key.
func (s *State) listLocked(query url.Values) wire.ItemList {
	list := wire.ItemList{Items: []wire.Item{}, Revision: s.revision}
	for key, item := range s.items {
		if strings.HasPrefix(key, query.Get("under")) && key > query.Get("after") {
			list.Items = append(list.Items, item)
		}
	}
	slices.SortFunc(list.Items, func(a, b wire.Item) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// encode returns the JSON form of a value, which must have one.
func encode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}
