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

// errNoResponse is what a caller sees of a response that was dropped.
var errNoResponse = errors.New("standin: no response")

// State is an in-memory fake of the consensus-backed key-value store.
type State struct {
	mu               sync.Mutex
	revision         uint64
	items            map[string]wire.Item
	events           []wire.Event
	leases           map[uint64]*lease
	nextID           uint64
	changed          chan struct{}
	outage           bool
	responseDelay    time.Duration
	refused          map[string]bool
	dropResponses    int // responses of this many transactions get lost, though carried out
	holdTransactions int // this many transactions are held back, unanswered
	heldTransactions []wire.Txn
	applied          []wire.Txn // the last that were carried out
	// Requests counts the requests that reached the store; Writes the changes of the
	// transactions it carried out or refused as too large.
	Requests, Writes int
	// RPS and WriteRPS are the limits, with bursts of a second's worth; 0:
	// none. Refused counts what was over them.
	RPS, WriteRPS float64
	Refused       int
	// ValueBytes and Ops are the limits of a value and of a transaction's
	// changes; 0: none. TooLarge counts what was over them.
	ValueBytes, Ops  int
	TooLarge         int
	requests, writes float64 // taken of the burst
	drained          time.Time
}

// LargestValue returns the size of the largest value, and its key.
func (s *State) LargestValue() (key string, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, item := range s.items {
		if len(item.Value) > size {
			key, size = k, len(item.Value)
		}
	}
	return key, size
}

// Count returns how many values there are.
func (s *State) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.items)
}

// overLocked tells whether a request with so many changes is over the limits.
func (s *State) overLocked(writes int) bool {
	if s.RPS == 0 {
		return false
	}
	now := time.Now()
	passed := now.Sub(s.drained).Seconds()
	s.drained = now
	s.requests = max(0, s.requests-passed*s.RPS) + 1
	s.writes = max(0, s.writes-passed*s.WriteRPS) + float64(writes)
	if s.requests <= s.RPS && s.writes <= s.WriteRPS {
		return false
	}
	s.requests, s.writes = s.requests-1, s.writes-float64(writes)
	s.Refused++
	return true
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// NewState makes an empty state service.
func NewState() *State {
	return &State{items: map[string]wire.Item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), refused: map[string]bool{}}
}

// Get returns a key's value, nil if it does not exist.
func (s *State) Get(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// Items returns the keys below a prefix.
func (s *State) Items(below string) []wire.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []wire.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, below) {
			items = append(items, item)
		}
	}
	return items
}

// Put writes a key, whatever it holds, and returns its version.
func (s *State) Put(key string, value any) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, reply := s.txnLocked(wire.Txn{Then: []wire.Change{{Put: key, Value: encode(value)}}})
	return reply.Revision
}

// Version returns a key's version, 0 if it does not exist.
func (s *State) Version(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Version
}

func (s *State) expire(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return
	}
	delete(s.leases, id)
	var drop []wire.Change
	for key, item := range s.items {
		if item.Lease == id {
			drop = append(drop, wire.Change{Delete: key})
		}
	}
	if len(drop) > 0 {
		s.txnLocked(wire.Txn{Then: drop})
	}
}

func (s *State) txnLocked(txn wire.Txn) (int, wire.TxnReply) {
	s.Writes += len(txn.Then)
	if s.tooLargeLocked(txn) {
		s.TooLarge++
		return 400, wire.TxnReply{}
	}
	var failed []string
	for _, c := range txn.If {
		if s.items[c.Key].Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return 409, wire.TxnReply{Failed: failed, Revision: s.revision}
	}
	for _, c := range txn.Then {
		if c.Lease != 0 && s.leases[c.Lease] == nil {
			return 400, wire.TxnReply{}
		}
	}
	if len(txn.Then) == 0 {
		return 200, wire.TxnReply{Revision: s.revision}
	}
	s.revision++
	s.applied = append(s.applied, txn)
	s.applied = s.applied[max(0, len(s.applied)-maxPast):]
	for _, c := range txn.Then {
		if c.Put != "" {
			s.items[c.Put] = wire.Item{Key: c.Put, Value: c.Value, Version: s.revision, Lease: c.Lease}
			s.events = append(s.events, wire.Event{Put: c.Put, Value: c.Value, Version: s.revision})
		} else {
			delete(s.items, c.Delete)
			s.events = append(s.events, wire.Event{Delete: c.Delete, Version: s.revision})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return 200, wire.TxnReply{Revision: s.revision}
}

func (s *State) tooLargeLocked(txn wire.Txn) bool {
	if s.Ops > 0 && (len(txn.Then) > s.Ops || len(txn.If) > 4*s.Ops || len(encode(txn)) > 64<<10) {
		return true
	}
	return s.ValueBytes > 0 && slices.ContainsFunc(txn.Then, func(c wire.Change) bool { return len(c.Value) > s.ValueBytes })
}

func (s *State) listLocked(q url.Values) wire.ItemList {
	list := wire.ItemList{Items: []wire.Item{}, Revision: s.revision}
	for key, item := range s.items {
		if strings.HasPrefix(key, q.Get("under")) && key > q.Get("after") {
			list.Items = append(list.Items, item)
		}
	}
	slices.SortFunc(list.Items, func(a, b wire.Item) int { return strings.Compare(a.Key, b.Key) })
	return list
}
