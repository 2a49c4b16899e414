package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"heronwick/internal/state"
	"heronwick/wire"
)

// lease is a lease of the store. Its keys are deleted when the timer fires.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// grantLeaseLocked grants a lease with the requested TTL, which expires unless it is renewed.
func (s *State) grantLeaseLocked(body []byte) (state.Response, error) {
	var req wire.LeaseRequest
	if json.Unmarshal(body, &req) != nil {
		return state.Response{Status: http.StatusBadRequest}, nil
	}
	s.lastLeaseID++
	id, ttl := s.lastLeaseID, time.Duration(req.TTLMs)*time.Millisecond
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.expireLease(id) })}
	return state.Response{Status: http.StatusOK, Body: encode(wire.Lease{ID: id})}, nil
}

// renewLeaseLocked restarts the TTL of the lease whose ID is in the path. It responds with 404
// if the lease has expired.
func (s *State) renewLeaseLocked(path string) (state.Response, error) {
	id, _ := strconv.ParseUint(strings.Split(path, "/")[2], 10, 64)
	l := s.leases[id]
	if l == nil {
		return state.Response{Status: http.StatusNotFound}, nil
	}
	l.timer.Reset(l.ttl)
	return state.Response{Status: http.StatusOK, Body: []byte("{}")}, nil
}

// expireLease deletes a lease and its keys.
func (s *State) expireLease(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return
	}
	delete(s.leases, id)
	var removals []wire.Change
	for key, item := range s.items {
		if item.Lease == id {
			removals = append(removals, wire.Change{Delete: key})
		}
	}
	if len(removals) > 0 {
		s.txnLocked(wire.Txn{Then: removals})
	}
}
