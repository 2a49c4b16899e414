package main

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"heronwick/wire"
)

// Limits of the state service.
const (
	maxListItems   = 1000
	maxListBytes   = 512 << 10
	maxKeptChanges = 10_000
	stateLatency   = 4 * time.Millisecond
)

// store is the stand-in of the state service. Each controller reaches it at an address
// of its own, so that it can refuse a single one.
type store struct {
	rec *recorder

	mu       sync.Mutex
	revision uint64
	items    map[string]wire.Item
	log      []storeChange
	changed  chan struct{}
	leases   map[uint64]*storeLease
	last     uint64 // ID of the last lease

	refused map[string]bool // controllers that get 503
	held    map[string]bool // controllers whose requests are held back; they are carried out later
	outage  bool            // every controller gets 503, and leases are kept
	// The limits of a value and a transaction; 0 for those of the page.
	maxValue, maxOps int
	tooLarge         int           // transactions that exceeded them
	slow             time.Duration // the longest that an answer takes in addition
	late             float64       // share of transactions that get no answer and are carried out at once or late
}

// storeChange is a change in a transaction, or an event of a watch, which names the
// revision too.
type storeChange struct {
	Write  string          `json:"write,omitempty"`
	Drop   string          `json:"drop,omitempty"`
	Data   json.RawMessage `json:"data,omitempty"`
	Tether uint64          `json:"tether,omitempty"`
	Mark   uint64          `json:"mark,omitempty"`
}

// key returns the key that is changed.
func (c *storeChange) key() string { return c.Write + c.Drop }

// storeTxn is a transaction.
type storeTxn struct {
	When []wire.Condition `json:"when"`
	Then []storeChange    `json:"then"`
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

func newStore(rec *recorder) *store {
	s := &store{rec: rec, items: map[string]wire.Item{}, changed: make(chan struct{}),
		leases: map[uint64]*storeLease{}, refused: map[string]bool{}, held: map[string]bool{}}
	go s.expireLeases()
	return s
}

// refuse makes the store refuse a controller, or serve it again.
func (s *store) refuse(node string, on bool) {
	s.rec.event("state: refuses %s: %v", node, on)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[node] = on
	s.wakeLocked()
}

// hold holds the requests of a controller back, or lets them pass.
func (s *store) hold(node string, on bool) {
	s.rec.event("state: holds %s: %v", node, on)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[node] = on
	s.wakeLocked()
}

func (s *store) isHeld(node string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held[node]
}

// setOutage begins or ends an outage. After an outage every lease has its full time.
func (s *store) setOutage(on bool) {
	s.rec.event("state: outage: %v", on)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	for _, l := range s.leases {
		l.end = time.Now().Add(l.ttl)
	}
	s.wakeLocked()
}

func (s *store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expireLeases() {
	for {
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		for id, l := range s.leases {
			if !s.outage && time.Now().After(l.end) {
				s.dropLeaseLocked(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) dropLeaseLocked(id uint64) {
	delete(s.leases, id)
	var drops []storeChange
	for key, item := range s.items {
		if item.Lease == id {
			drops = append(drops, storeChange{Drop: key})
		}
	}
	if len(drops) > 0 {
		s.applyLocked(drops)
	}
}

// applyLocked makes changes at one new revision.
func (s *store) applyLocked(changes []storeChange) {
	s.revision++
	for _, c := range changes {
		_, exists := s.items[c.Drop]
		switch {
		case c.Write != "":
			s.items[c.Write] = wire.Item{Key: c.Write, Value: c.Data, Version: s.revision, Lease: c.Tether}
			s.log = append(s.log, storeChange{Write: c.Write, Data: c.Data, Mark: s.revision})
		case exists:
			delete(s.items, c.Drop)
			s.log = append(s.log, storeChange{Drop: c.Drop, Mark: s.revision})
		}
	}
	s.log = s.log[max(0, len(s.log)-maxKeptChanges):]
	s.wakeLocked()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func replyError(w http.ResponseWriter, status int, text string) {
	reply(w, status, wire.Error{Error: text})
}

// handler serves one controller.
func (s *store) handler(node string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(stateLatency)
		body, _ := io.ReadAll(r.Body)
		s.mu.Lock()
		slow := s.slow
		s.mu.Unlock()
		if slow > 0 {
			time.Sleep(rand.N(slow))
			defer time.Sleep(rand.N(slow))
		}
		for s.isHeld(node) {
			time.Sleep(5 * time.Millisecond)
		}
		s.mu.Lock()
		down := s.outage || s.refused[node]
		s.mu.Unlock()
		if down {
			replyError(w, http.StatusServiceUnavailable, "trouble")
			return
		}
		switch {
		case r.URL.Path == wire.PathTxn && s.delay(node, body):
			<-r.Context().Done()
		case r.URL.Path == wire.PathTxn:
			s.txn(w, node, body)
		case r.URL.Path == wire.PathWatch:
			s.follow(w, r, node)
		case r.URL.Path == wire.PathKeys:
			s.list(w, r.URL.Query())
		case strings.HasPrefix(r.URL.Path, wire.PathKeys+"/"):
			s.get(w, strings.TrimPrefix(r.URL.Path, wire.PathKeys+"/"))
		case strings.HasPrefix(r.URL.Path, wire.PathLeases):
			s.lease(w, r, body)
		default:
			replyError(w, http.StatusBadRequest, "no such path")
		}
	})
}

// delay reports whether a transaction gets no answer. It is then carried out at once or 2
// to 12 s later.
func (s *store) delay(node string, body []byte) bool {
	s.mu.Lock()
	late := s.late
	s.mu.Unlock()
	if rand.Float64() >= late {
		return false
	}
	after := time.Duration(0)
	if rand.IntN(2) == 0 {
		after = time.Duration(2000+rand.IntN(10_000)) * time.Millisecond
	}
	time.AfterFunc(after, func() { s.txn(httptest.NewRecorder(), node, body) })
	return true
}

func (s *store) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[key]
	if !ok {
		reply(w, http.StatusNotFound, wire.TxnReply{Revision: s.revision})
		return
	}
	reply(w, http.StatusOK, item)
}

func (s *store) list(w http.ResponseWriter, query url.Values) {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, err := strconv.Atoi(query.Get("most"))
	if err != nil || most > maxListItems {
		most = maxListItems
	}
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, query.Get("under")) && key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := wire.ItemList{Items: []wire.Item{}, Revision: s.revision}
	size := 0
	for _, key := range keys {
		size += len(s.items[key].Value) + len(key)
		if len(page.Items) == most || len(page.Items) > 0 && size > maxListBytes {
			page.More = true
			break
		}
		page.Items = append(page.Items, s.items[key])
	}
	reply(w, http.StatusOK, page)
}

func (s *store) txn(w http.ResponseWriter, node string, body []byte) {
	var txn storeTxn
	if json.Unmarshal(body, &txn) != nil {
		replyError(w, http.StatusBadRequest, "malformed")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tooLargeLocked(txn, body) {
		s.tooLarge++
		s.recordTxn(node, txn, "400, too large,")
		replyError(w, http.StatusBadRequest, "too large")
		return
	}
	for _, c := range txn.Then {
		if c.Tether != 0 && s.leases[c.Tether] == nil {
			replyError(w, http.StatusBadRequest, "no such lease")
			return
		}
	}
	var failed []string
	for _, c := range txn.When {
		if s.items[c.Key].Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		s.recordTxn(node, txn, "409")
		reply(w, http.StatusConflict, wire.TxnReply{Failed: failed, Revision: s.revision})
		return
	}
	if len(txn.Then) > 0 {
		s.applyLocked(txn.Then)
		s.recordTxn(node, txn, "200")
	}
	reply(w, http.StatusOK, wire.TxnReply{Revision: s.revision})
}

// tooLargeLocked reports whether a transaction exceeds a limit.
func (s *store) tooLargeLocked(txn storeTxn, body []byte) bool {
	if s.maxOps > 0 && (len(txn.Then) > s.maxOps || len(txn.When) > 4*s.maxOps) || len(body) > 64<<10 {
		return true
	}
	return s.maxValue > 0 && slices.ContainsFunc(txn.Then, func(c storeChange) bool { return len(c.Data) > s.maxValue })
}

// recordTxn records the changes of a transaction and its status.
func (s *store) recordTxn(node string, txn storeTxn, status string) {
	if len(txn.Then) == 0 {
		return
	}
	var changes []string
	for _, c := range txn.Then {
		changes = append(changes, c.key())
	}
	s.rec.event("state: %s from %s at %d: %s", status, node, s.revision, strings.Join(changes, " "))
}

func (s *store) lease(w http.ResponseWriter, r *http.Request, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) == 1 {
		var req wire.LeaseRequest
		if json.Unmarshal(body, &req) != nil || req.TTLMs < 100 || req.TTLMs > 600_000 {
			replyError(w, http.StatusBadRequest, "malformed")
			return
		}
		s.last++
		ttl := time.Duration(req.TTLMs) * time.Millisecond
		s.leases[s.last] = &storeLease{ttl: ttl, end: time.Now().Add(ttl)}
		reply(w, http.StatusOK, wire.Lease{ID: s.last})
		return
	}
	id, _ := strconv.ParseUint(parts[1], 10, 64)
	l := s.leases[id]
	switch {
	case l == nil:
		replyError(w, http.StatusNotFound, "no such lease")
	case r.Method == http.MethodDelete:
		s.dropLeaseLocked(id)
		reply(w, http.StatusOK, struct{}{})
	default:
		l.end = time.Now().Add(l.ttl)
		reply(w, http.StatusOK, struct{}{})
	}
}

// follow serves a watch. It stays open without an answer during an outage, also one of
// a single controller.
func (s *store) follow(w http.ResponseWriter, r *http.Request, node string) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	timedOut := false
	for {
		s.mu.Lock()
		changed, down := s.changed, s.outage || s.refused[node] || s.held[node]
		events := followReply{Tide: s.revision, Log: []storeChange{}}
		compacted := len(s.log) > 0 && s.log[0].Mark > after+1 && len(s.log) == maxKeptChanges
		for _, e := range s.log {
			if e.Mark > after && strings.HasPrefix(e.key(), query.Get("under")) {
				events.Log = append(events.Log, e)
			}
		}
		s.mu.Unlock()
		switch {
		case down:
		case compacted:
			replyError(w, http.StatusGone, "too old")
			return
		case len(events.Log) > 0 || timedOut:
			reply(w, http.StatusOK, events)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
		if wait == 0 {
			timedOut = true
		}
	}
}

// followReply is the response to a watch.
type followReply struct {
	Tide uint64        `json:"tide"`
	Log  []storeChange `json:"log"`
}
