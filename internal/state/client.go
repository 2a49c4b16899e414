package state

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"heronwick/wire"
)

// RequestTimeout bounds every request but watches. Responses can take a few
// hundred milliseconds; a connection that hangs must not hold anything longer.
const RequestTimeout = 1500 * time.Millisecond

// WatchTimeout is how long one watch waits for changes. It is short, since a
// watch that is open while the store refuses this controller stays silent.
const WatchTimeout = 4 * time.Second

const (
	// listPageSize is how many keys List asks for at once.
	listPageSize = 1000
	// Requests pause between throttlePause and throttlePause+throttleJitter
	// after a 429. Jitter keeps the controllers from coming back all at once.
	throttlePause  = 100 * time.Millisecond
	throttleJitter = 150 * time.Millisecond
)

// Client is a client of the key-value store. It is safe for concurrent use.
type Client struct {
	transport Transport
	budget    *Budget
}

// NewClient makes a client that sends its requests through transport, within
// budget.
func NewClient(transport Transport, budget *Budget) *Client {
	return &Client{transport: transport, budget: budget}
}

// Get reads one key; ErrNotFound if it does not exist.
func (c *Client) Get(ctx context.Context, p Priority, key string) (wire.Item, error) {
	var item wire.Item
	_, err := c.call(ctx, p, http.MethodGet, wire.PathKeys+"/"+key, nil, &item)
	return item, err
}

// Listing holds all keys under a prefix.
type Listing struct {
	Items    []wire.Item
	Revision uint64 // of the first page: a watch from there misses nothing
}

// List reads every key under prefix.
func (c *Client) List(ctx context.Context, p Priority, prefix string) (Listing, error) {
	var listing Listing
	after := ""
	for page := 0; ; page++ {
		var list wire.ItemList
		if _, err := c.call(ctx, p, http.MethodGet, listTarget(prefix, after), nil, &list); err != nil {
			return Listing{}, err
		}
		if page == 0 {
			listing.Revision = list.Revision
		}
		listing.Items = append(listing.Items, list.Items...)
		if !list.More || len(list.Items) == 0 {
			return listing, nil
		}
		after = list.Items[len(list.Items)-1].Key
	}
}

// listTarget is the target of a request for the page of keys under prefix that
// begins after a key; "" for the first page.
func listTarget(prefix, after string) string {
	target := fmt.Sprintf("%s?under=%s&most=%d", wire.PathKeys, url.QueryEscape(prefix), listPageSize)
	if after != "" {
		target += "&after=" + url.QueryEscape(after)
	}
	return target
}

// Txn carries out one transaction and returns its revision. The error is a
// *Conflict when a condition did not hold.
func (c *Client) Txn(ctx context.Context, p Priority, txn wire.Txn) (revision uint64, err error) {
	if err := c.budget.Acquire(ctx, p, len(txn.Then)); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return c.sendTxn(ctx, txn)
}

// sendTxn sends a transaction for which budget was acquired.
func (c *Client) sendTxn(ctx context.Context, txn wire.Txn) (revision uint64, err error) {
	// The service wants lists, never null.
	if txn.If == nil {
		txn.If = []wire.Condition{}
	}
	if txn.Then == nil {
		txn.Then = []wire.Change{}
	}
	var reply wire.TxnReply
	status, err := c.do(ctx, http.MethodPost, wire.PathTxn, txn, &reply)
	if err != nil {
		return 0, err
	}
	if status == http.StatusConflict {
		return reply.Revision, &Conflict{Failed: reply.Failed}
	}
	return reply.Revision, nil
}

// Grant asks for a lease of duration ttl and returns its id.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	var lease wire.Lease
	_, err := c.call(ctx, Urgent, http.MethodPost, wire.PathLeases, wire.LeaseRequest{TTLMs: ttl.Milliseconds()}, &lease)
	return lease.ID, err
}

// Renew renews a lease; ErrNotFound if it has expired.
func (c *Client) Renew(ctx context.Context, lease uint64) error {
	target := wire.PathLeases + "/" + strconv.FormatUint(lease, 10) + "/" + wire.SuffixRenew
	_, err := c.call(ctx, Urgent, http.MethodPost, target, nil, nil)
	return err
}

// Watch waits up to wait for changes under prefix after the revision;
// ErrCompacted if the service no longer has all of them.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (wire.Events, error) {
	if err := c.budget.Acquire(ctx, Safety, 0); err != nil {
		return wire.Events{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+RequestTimeout)
	defer cancel()
	target := fmt.Sprintf("%s?under=%s&after=%d&wait_ms=%d", wire.PathWatch, url.QueryEscape(prefix), after, wait.Milliseconds())
	var events wire.Events
	_, err := c.do(ctx, http.MethodGet, target, nil, &events)
	return events, err
}

// call acquires budget for a request without writes and sends it.
func (c *Client) call(ctx context.Context, p Priority, method, target string, body, reply any) (status int, err error) {
	if err := c.budget.Acquire(ctx, p, 0); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return c.do(ctx, method, target, body, reply)
}

// do sends a request for which budget was acquired and decodes the body of a
// 200 or 409 into reply, unless that is nil. Any other status is an error.
func (c *Client) do(ctx context.Context, method, target string, body, reply any) (status int, err error) {
	encoded, err := encodeBody(body)
	if err != nil {
		return 0, err
	}
	if method != http.MethodGet || !strings.HasPrefix(target, wire.PathWatch) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, RequestTimeout)
		defer cancel()
	}
	response, err := c.transport.Do(ctx, method, target, encoded)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	if response.Status != http.StatusOK && response.Status != http.StatusConflict {
		return response.Status, c.statusError(response)
	}
	if reply == nil {
		return response.Status, nil
	}
	if err := json.Unmarshal(response.Body, reply); err != nil {
		return response.Status, fmt.Errorf("%w: bad reply: %w", ErrUnknown, err)
	}
	return response.Status, nil
}

// encodeBody encodes a request's body; nil stays nil.
func encodeBody(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encoding a request to the state service: %w", err)
	}
	return encoded, nil
}

// statusError is the error for a response whose status is not a success. A 429 also
// pauses the budget.
func (c *Client) statusError(response Response) error {
	switch response.Status {
	case http.StatusBadRequest:
		return fmt.Errorf("%w: %.200s", ErrRejected, response.Body)
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusGone:
		return ErrCompacted
	case http.StatusTooManyRequests:
		c.budget.Pause(throttlePause + rand.N(throttleJitter))
		return fmt.Errorf("%w: status 429", ErrUnavailable)
	case http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status 503", ErrUnavailable)
	}
	return fmt.Errorf("state service: status %d: %.200s", response.Status, response.Body)
}
