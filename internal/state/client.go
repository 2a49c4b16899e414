// Package state is the client of the state service, the only durable store.
// It keeps one prioritised rate budget, groups writes into transactions, and
// goes through another controller when its own path to the service fails.
package state

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"heronwick/wire"
)

// Errors of the client. Unavailable requests were surely not carried out;
// after Unknown the request may have been, or may still be.
var (
	ErrUnavailable = errors.New("state service unavailable")
	ErrUnknown     = errors.New("no response from the state service")
	ErrNotFound    = errors.New("no such key or lease")
	ErrCompacted   = errors.New("the watched revision is too old")
	// ErrRejected: the service will never carry the request out as it is, for
	// example since it is larger than the service's limits.
	ErrRejected = errors.New("rejected by the state service")
)

// Conflict says that a transaction's conditions did not hold.
type Conflict struct {
	Failed []string
}

// Error implements error.
func (c *Conflict) Error() string { return fmt.Sprintf("conflict on %v", c.Failed) }

// Includes tells whether the key's condition failed.
func (c *Conflict) Includes(key string) bool {
	for _, k := range c.Failed {
		if k == key {
			return true
		}
	}
	return false
}

// Transport carries one request to the state service. An error means that no
// response came.
type Transport interface {
	Do(ctx context.Context, method, target string, body []byte) (status int, reply []byte, err error)
}

// RequestTimeout bounds every request but watches. Responses can take a few
// hundred milliseconds; a connection that hangs must not hold anything longer.
const RequestTimeout = 1500 * time.Millisecond

// Client is a client of the state service.
type Client struct {
	doer   Transport
	budget *Budget
}

// NewClient makes a client that sends its requests through doer.
func NewClient(doer Transport, budget *Budget) *Client {
	return &Client{doer: doer, budget: budget}
}

func (c *Client) call(ctx context.Context, p Priority, method, target string, body any, reply any) (int, error) {
	if err := c.budget.Acquire(ctx, p, 0); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return c.do(ctx, method, target, body, reply)
}

func (c *Client) do(ctx context.Context, method, target string, body any, reply any) (int, error) {
	var text []byte
	if body != nil {
		var err error
		if text, err = json.Marshal(body); err != nil {
			return 0, fmt.Errorf("encoding a request to the state service: %w", err)
		}
	}
	if method != "GET" || !strings.HasPrefix(target, wire.PathWatch) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, RequestTimeout)
		defer cancel()
	}
	status, answer, err := c.doer.Do(ctx, method, target, text)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	switch status {
	case 200, 409:
		if reply != nil {
			if err := json.Unmarshal(answer, reply); err != nil {
				return status, fmt.Errorf("%w: bad reply: %w", ErrUnknown, err)
			}
		}
		return status, nil
	case 400:
		return status, fmt.Errorf("%w: %.200s", ErrRejected, answer)
	case 404:
		return status, ErrNotFound
	case 410:
		return status, ErrCompacted
	case 429:
		// Jitter keeps the controllers from coming back all at once.
		c.budget.Pause(100*time.Millisecond + rand.N(150*time.Millisecond))
		return status, fmt.Errorf("%w: status 429", ErrUnavailable)
	case 503:
		return status, fmt.Errorf("%w: status 503", ErrUnavailable)
	}
	return status, fmt.Errorf("state service: status %d: %.200s", status, answer)
}

// Get reads one key; ErrNotFound if it does not exist.
func (c *Client) Get(ctx context.Context, p Priority, key string) (wire.Item, error) {
	var item wire.Item
	_, err := c.call(ctx, p, "GET", wire.PathKeys+"/"+key, nil, &item)
	return item, err
}

// List reads every key under prefix and the revision of the first page: a
// watch from there misses nothing.
func (c *Client) List(ctx context.Context, p Priority, prefix string) ([]wire.Item, uint64, error) {
	var items []wire.Item
	var revision uint64
	after := ""
	for page := 0; ; page++ {
		target := wire.PathKeys + "?under=" + url.QueryEscape(prefix) + "&most=1000"
		if after != "" {
			target += "&after=" + url.QueryEscape(after)
		}
		var list wire.ItemList
		if _, err := c.call(ctx, p, "GET", target, nil, &list); err != nil {
			return nil, 0, err
		}
		if page == 0 {
			revision = list.Revision
		}
		items = append(items, list.Items...)
		if !list.More || len(list.Items) == 0 {
			return items, revision, nil
		}
		after = list.Items[len(list.Items)-1].Key
	}
}

// Txn carries out one transaction. The error is a *Conflict when a condition
// did not hold.
func (c *Client) Txn(ctx context.Context, p Priority, txn wire.Txn) (revision uint64, err error) {
	if err := c.budget.Acquire(ctx, p, len(txn.Then)); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return c.send(ctx, txn)
}

// send sends a transaction for which there is budget.
func (c *Client) send(ctx context.Context, txn wire.Txn) (revision uint64, err error) {
	if txn.If == nil {
		txn.If = []wire.Condition{}
	}
	if txn.Then == nil {
		txn.Then = []wire.Change{}
	}
	var reply wire.TxnReply
	status, err := c.do(ctx, "POST", wire.PathTxn, txn, &reply)
	if err != nil {
		return 0, err
	}
	if status == 409 {
		return reply.Revision, &Conflict{Failed: reply.Failed}
	}
	return reply.Revision, nil
}

// Grant asks for a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	var lease wire.Lease
	_, err := c.call(ctx, Urgent, "POST", wire.PathLeases, wire.LeaseRequest{TTLMs: ttl.Milliseconds()}, &lease)
	return lease.ID, err
}

// Renew renews a lease; ErrNotFound if it has ended.
func (c *Client) Renew(ctx context.Context, lease uint64) error {
	_, err := c.call(ctx, Urgent, "POST", wire.PathLeases+"/"+strconv.FormatUint(lease, 10)+"/"+wire.SuffixRenew, nil, nil)
	return err
}

// Watch waits up to wait for changes under prefix after the revision.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (wire.Events, error) {
	if err := c.budget.Acquire(ctx, Safety, 0); err != nil {
		return wire.Events{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+RequestTimeout)
	defer cancel()
	target := fmt.Sprintf("%s?under=%s&after=%d&wait_ms=%d", wire.PathWatch, url.QueryEscape(prefix), after, wait.Milliseconds())
	var events wire.Events
	_, err := c.do(ctx, "GET", target, nil, &events)
	return events, err
}
