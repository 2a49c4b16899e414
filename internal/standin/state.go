package standin

import (
	"encoding/json"
	"errors"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"heronwick/wire"
)

// errNoResponse is returned for a request whose response is dropped.
var errNoResponse = errors.New("standin: no response from the store")

// State is an in-memory fake of the consensus-backed key-value store. Its exported limits are
// set before use, and its counters may be read only while nothing uses it; its methods are
// safe for concurrent use.
type State struct {
	// Requests counts the requests that reached the store, also those that it rejected; a watch
	// counts again at each change that wakes it. Writes counts the changes of the transactions
	// that no fault or rate limit rejected, whether or not they were applied.
	Requests, Writes int
	// RequestRate and WriteRate limit the requests and changes per second, with a burst of one
	// second's worth; a RequestRate of 0 disables both limits. RateLimited counts the requests
	// that exceeded them.
	RequestRate, WriteRate float64
	RateLimited            int
	// MaxValueBytes and MaxTxnOps limit the size of a value and the number of changes in a
	// transaction; 0 means no limit. TooLarge counts the transactions that exceeded a limit.
	MaxValueBytes, MaxTxnOps int
	TooLarge                 int
	// MaxListItems limits the items of the response to a list request further than the real
	// store does; 0 means no further limit. A few keys then take as many responses as
	// thousands.
	MaxListItems int

	mu          sync.Mutex
	revision    uint64
	items       map[string]wire.Item // by key
	events      []wire.Event         // all changes, oldest first
	changed     chan struct{}        // closed and replaced at each change
	leases      map[uint64]*lease    // by ID
	lastLeaseID uint64

	// Fill levels of the leaky buckets behind RequestRate and WriteRate, and when they were
	// last updated.
	requestLevel, writeLevel float64
	levelsUpdatedAt          time.Time

	// Faults.
	outage           bool
	rejectedNodes    map[string]bool
	responseDelay    time.Duration
	nodeDelays       map[string]time.Duration   // further delays of responses, by node
	watchDelays      map[watchKey]time.Duration // delays of the events of watches
	dropResponses    int                        // number of upcoming transactions whose responses are dropped
	holdTransactions int                        // number of upcoming transactions that are held back
	heldTransactions []wire.Txn
	applied          []wire.Txn // the last transactions that were carried out, for ReplayTransactions
}

// NewState returns an empty store without limits.
func NewState() *State {
	return &State{items: map[string]wire.Item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}),
		rejectedNodes: map[string]bool{}, nodeDelays: map[string]time.Duration{}, watchDelays: map[watchKey]time.Duration{}}
}

// Count returns the number of keys.
func (s *State) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.items)
}

// Get returns a key's value, or nil if the key does not exist.
func (s *State) Get(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// Items returns the items whose keys begin with a prefix, in no particular order.
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

// Put writes a key unconditionally, with the JSON encoding of a value, and returns its new
// version.
func (s *State) Put(key string, value any) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, reply := s.txnLocked(wire.Txn{Then: []wire.Change{{Put: key, Value: encode(value)}}})
	return reply.Revision
}

// Delete deletes a key unconditionally.
func (s *State) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.txnLocked(wire.Txn{Then: []wire.Change{{Delete: key}}})
}

// Version returns a key's version, or 0 if the key does not exist.
func (s *State) Version(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Version
}

// The real store's limits of the response to a list request.
const (
	maxListItems = 1000
	maxListBytes = 512 << 10
)

// listLocked returns one page of the items that a list request selects, sorted by key.
func (s *State) listLocked(query url.Values) wire.ItemList {
	selected := []wire.Item{}
	for key, item := range s.items {
		if strings.HasPrefix(key, query.Get("under")) && key > query.Get("after") {
			selected = append(selected, item)
		}
	}
	slices.SortFunc(selected, func(a, b wire.Item) int { return strings.Compare(a.Key, b.Key) })
	page := s.firstPage(selected, query.Get("most"))
	return wire.ItemList{Items: page, More: len(page) < len(selected), Revision: s.revision}
}

// firstPage returns the items that fit in one response to a list request, at least one if
// there are any. most is the number of items that the request asks for; it may be empty.
func (s *State) firstPage(items []wire.Item, most string) []wire.Item {
	limit := maxListItems
	if s.MaxListItems > 0 {
		limit = s.MaxListItems
	}
	if requested, err := strconv.Atoi(most); err == nil {
		limit = min(limit, requested)
	}
	bytes := 0
	for i, item := range items {
		bytes += len(item.Key) + len(item.Value)
		if i >= limit || i > 0 && bytes > maxListBytes {
			return items[:i]
		}
	}
	return items
}

// encode returns the JSON encoding of a value. It panics if the value cannot be encoded.
func encode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}
