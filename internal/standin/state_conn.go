package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"time"

	"heronwick/internal/state"
	"heronwick/internal/wait"
	"heronwick/wire"
)

// Connect returns a node's connection to the store.
func (s *State) Connect(node string) *Conn { return &Conn{state: s, node: node} }

// Conn is one node's connection to a State. It implements state.Transport.
type Conn struct {
	// AfterList, if set, is called once, after the first list request has been carried out.
	// It can change keys before the following pages are read.
	AfterList func()

	state *State
	node  string
}

// Do carries out one request and returns its response. If it returns errNoResponse, the
// request may still have been carried out.
func (c *Conn) Do(ctx context.Context, method, target string, body []byte) (state.Response, error) {
	response, err := c.do(ctx, method, target, body)
	if after := c.AfterList; after != nil && strings.HasPrefix(target, wire.PathKeys+"?") {
		c.AfterList = nil
		after()
	}
	c.state.mu.Lock()
	delay := c.state.responseDelay + c.state.nodeDelays[c.node]
	c.state.mu.Unlock()
	wait.Sleep(ctx, delay)
	if delay > 0 && ctx.Err() != nil {
		return state.Response{}, errNoResponse // the caller has given up
	}
	return response, err
}

// requestTime is how long the store takes to process a request.
const requestTime = 5 * time.Millisecond

// do carries out one request as the real store does, subject to the configured faults and
// limits.
func (c *Conn) do(ctx context.Context, method, target string, body []byte) (state.Response, error) {
	s := c.state
	u, err := url.Parse(target)
	if err != nil {
		return state.Response{Status: http.StatusBadRequest}, nil
	}
	time.Sleep(requestTime)
	s.mu.Lock()
	rejected := s.outage || s.rejectedNodes[c.node]
	s.mu.Unlock()
	if u.Path == wire.PathWatch && !rejected {
		return s.watch(ctx, c.node, u.Query())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Requests++
	if s.outage || s.rejectedNodes[c.node] {
		return state.Response{Status: http.StatusServiceUnavailable}, nil
	}
	var txn wire.Txn
	if u.Path == wire.PathTxn && json.Unmarshal(body, &txn) != nil {
		return state.Response{Status: http.StatusBadRequest}, nil
	}
	if s.rateExceededLocked(len(txn.Then)) {
		return state.Response{Status: http.StatusTooManyRequests}, nil
	}
	return s.routeLocked(method, u, body, txn)
}

// routeLocked carries out a request that no fault or rate limit rejected, according to its
// method and path.
func (s *State) routeLocked(method string, u *url.URL, body []byte, txn wire.Txn) (state.Response, error) {
	switch {
	case method == http.MethodPost && u.Path == wire.PathTxn:
		return s.txnRequestLocked(txn)
	case method == http.MethodGet && u.Path == wire.PathKeys:
		return state.Response{Status: http.StatusOK, Body: encode(s.listLocked(u.Query()))}, nil
	case method == http.MethodGet && strings.HasPrefix(u.Path, wire.PathKeys+"/"):
		return s.getLocked(u.Path[len(wire.PathKeys)+1:])
	case method == http.MethodPost && u.Path == wire.PathLeases:
		return s.grantLeaseLocked(body)
	case method == http.MethodPost && strings.HasSuffix(u.Path, "/"+wire.SuffixRenew):
		return s.renewLeaseLocked(u.Path)
	}
	return state.Response{Status: http.StatusBadRequest}, nil
}

// txnRequestLocked carries out a transaction, or holds it back while HoldTransactions is in
// effect. It drops the response while DropResponses is in effect.
func (s *State) txnRequestLocked(txn wire.Txn) (state.Response, error) {
	if s.holdTransactions > 0 {
		s.holdTransactions--
		s.heldTransactions = append(s.heldTransactions, txn)
		return state.Response{}, errNoResponse
	}
	leaseMissing := s.leaseMissingLocked(txn)
	status, reply := s.txnLocked(txn)
	if s.dropResponses > 0 {
		s.dropResponses--
		return state.Response{}, errNoResponse
	}
	if status == http.StatusBadRequest && leaseMissing {
		return state.Response{Status: status, Body: encode(wire.Error{Error: wire.NoSuchLease})}, nil
	}
	return state.Response{Status: status, Body: encode(reply)}, nil
}

// getLocked responds to a read of one key with its item, or with 404 and the store's revision.
func (s *State) getLocked(key string) (state.Response, error) {
	item, ok := s.items[key]
	if !ok {
		return state.Response{Status: http.StatusNotFound, Body: encode(wire.TxnReply{Revision: s.revision})}, nil
	}
	return state.Response{Status: http.StatusOK, Body: encode(item)}, nil
}
