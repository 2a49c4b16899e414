package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"heronwick/internal/wait"
	"heronwick/wire"
)

// Connect returns the service as one node reaches it.
func (s *State) Connect(node string) *Conn { return &Conn{state: s, node: node} }

// Conn is one node's way to a State.
type Conn struct {
	state *State
	node  string
}

// Do carries out one request.
func (p *Conn) Do(ctx context.Context, method, target string, body []byte) (int, []byte, error) {
	status, reply, err := p.do(ctx, method, target, body)
	p.state.mu.Lock()
	slow := p.state.responseDelay
	p.state.mu.Unlock()
	wait.Sleep(ctx, slow)
	if slow > 0 && ctx.Err() != nil {
		return 0, nil, errNoResponse // the caller had given up
	}
	return status, reply, err
}

// do carries out one request as the store would, with the faults that are set.
func (p *Conn) do(ctx context.Context, method, target string, body []byte) (int, []byte, error) {
	s := p.state
	u, err := url.Parse(target)
	if err != nil {
		return 400, nil, nil
	}
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	refused := s.outage || s.refused[p.node]
	s.mu.Unlock()
	if u.Path == wire.PathWatch && !refused {
		return s.watch(ctx, p.node, u.Query())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Requests++
	if s.outage || s.refused[p.node] {
		return 503, nil, nil
	}
	var txn wire.Txn
	if u.Path == wire.PathTxn && json.Unmarshal(body, &txn) != nil {
		return 400, nil, nil
	}
	if s.overLocked(len(txn.Then)) {
		return 429, nil, nil
	}
	return s.routeLocked(method, u, body, txn)
}

// routeLocked carries out a request that was let through, by its method and path.
func (s *State) routeLocked(method string, u *url.URL, body []byte, txn wire.Txn) (int, []byte, error) {
	switch {
	case method == "POST" && u.Path == wire.PathTxn:
		return s.txnRequestLocked(txn)
	case method == "GET" && u.Path == wire.PathKeys:
		return 200, encode(s.listLocked(u.Query())), nil
	case method == "GET" && strings.HasPrefix(u.Path, wire.PathKeys+"/"):
		return s.getLocked(u.Path[len(wire.PathKeys)+1:])
	case method == "POST" && u.Path == wire.PathLeases:
		return s.grantLeaseLocked(body)
	case method == "POST" && strings.HasSuffix(u.Path, "/"+wire.SuffixRenew):
		return s.renewLeaseLocked(u.Path)
	}
	return 400, nil, nil
}

// txnRequestLocked carries out a transaction unless it is to be held back, and drops
// its response if responses are to be dropped.
func (s *State) txnRequestLocked(txn wire.Txn) (int, []byte, error) {
	if s.holdTransactions > 0 {
		s.holdTransactions--
		s.heldTransactions = append(s.heldTransactions, txn)
		return 0, nil, errNoResponse
	}
	status, reply := s.txnLocked(txn)
	if s.dropResponses > 0 {
		s.dropResponses--
		return 0, nil, errNoResponse
	}
	return status, encode(reply), nil
}

// getLocked answers a read of one key: its item, or 404 with the store's revision.
func (s *State) getLocked(key string) (int, []byte, error) {
	item, ok := s.items[key]
	if !ok {
		return 404, encode(wire.TxnReply{Revision: s.revision}), nil
	}
	return 200, encode(item), nil
}

// grantLeaseLocked grants a lease of the requested TTL, which expires unless renewed.
func (s *State) grantLeaseLocked(body []byte) (int, []byte, error) {
	var req wire.LeaseRequest
	if json.Unmarshal(body, &req) != nil {
		return 400, nil, nil
	}
	s.nextID++
	id := s.nextID
	ttl := time.Duration(req.TTLMs) * time.Millisecond
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.expire(id) })}
	return 200, encode(wire.Lease{ID: id}), nil
}

// renewLeaseLocked gives the lease named in the path its full TTL again; 404 once it
// has expired.
func (s *State) renewLeaseLocked(path string) (int, []byte, error) {
	id, _ := strconv.ParseUint(strings.Split(path, "/")[2], 10, 64)
	l := s.leases[id]
	if l == nil {
		return 404, nil, nil
	}
	l.timer.Reset(l.ttl)
	return 200, []byte("{}"), nil
}

// encode encodes a reply of the fake store.
func encode(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // a stand-in's own types always encode
	}
	return text
}

// watch stays open, silently, while its node is refused or all are.
func (s *State) watch(ctx context.Context, node string, q url.Values) (int, []byte, error) {
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		s.Requests++
		var found []wire.Event
		if !s.outage && !s.refused[node] {
			from, _ := slices.BinarySearchFunc(s.events, after+1, func(e wire.Event, version uint64) int { return cmp.Compare(e.Version, version) })
			for _, e := range s.events[from:] {
				if strings.HasPrefix(e.Put+e.Delete, q.Get("under")) {
					found = append(found, e)
				}
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			return 200, encode(wire.Events{Revision: revision, Events: found}), nil
		}
		select {
		case <-ctx.Done():
			return 0, nil, ctx.Err()
		case <-deadline.C:
			return 200, encode(wire.Events{Revision: after, Events: []wire.Event{}}), nil
		case <-changed:
		}
	}
}
