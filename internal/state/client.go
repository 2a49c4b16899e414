package state

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"heronwick/internal/config"
	"heronwick/wire"
)

// RequestTimeout bounds every request except watches. Responses can take a few
// hundred milliseconds; a connection that hangs must not block its caller for much
// longer than that.
const RequestTimeout = 1500 * time.Millisecond

// WatchTimeout is how long one watch waits for changes. It is short because a
// watch that was opened before the store began to refuse this controller receives
// neither events nor an error.
const WatchTimeout = 4 * time.Second

const (
	// After a response with status 429 all requests pause for throttlePause plus a
	// random time of up to throttleJitter, so that the controllers do not all resume
	// at the same time.
	throttlePause  = 100 * time.Millisecond
	throttleJitter = 150 * time.Millisecond
)

// Client is a client of the key-value store. It is safe for concurrent use.
type Client struct {
	transport Transport
	budget    *Budget
	limits    *TxnLimits
}

// NewClient returns a client that sends its requests through transport at the
// rates that budget allows. limits are those of its transactions.
func NewClient(transport Transport, budget *Budget, limits *TxnLimits) *Client {
	return &Client{transport: transport, budget: budget, limits: limits}
}

// Limits returns the limits of the client's transactions.
func (c *Client) Limits() *TxnLimits { return c.limits }

// Get reads one key. The error is ErrNotFound if the key does not exist.
func (c *Client) Get(ctx context.Context, p Priority, key string) (wire.Item, error) {
	var item wire.Item
	_, err := c.call(ctx, p, http.MethodGet, wire.PathKeys+"/"+key, nil, &item)
	return item, err
}

// Txn runs one transaction, which must keep to Limits, and returns its revision. The
// error is a *Conflict if a condition did not hold.
func (c *Client) Txn(ctx context.Context, p Priority, txn wire.Txn) (revision uint64, err error) {
	if err := c.budget.Acquire(ctx, p, len(txn.Then)); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	revision, err = c.sendTxn(ctx, txn)
	if isSizeRejection(err) && !hasLargeValue(&txn) {
		c.limits.lowerBelow(len(txn.Then), len(txn.If))
	}
	return revision, err
}

// hasLargeValue reports whether a transaction may have been rejected for the size of one
// of its values.
func hasLargeValue(txn *wire.Txn) bool {
	return slices.ContainsFunc(txn.Then, func(c wire.Change) bool { return len(c.Value) > config.MinValueKB*1024 })
}

// sendTxn sends a transaction for which the caller has acquired budget.
func (c *Client) sendTxn(ctx context.Context, txn wire.Txn) (revision uint64, err error) {
	// The store accepts lists only, not null.
	if txn.If == nil {
		txn.If = []wire.Condition{}
	}
	if txn.Then == nil {
		txn.Then = []wire.Change{}
	}
	var reply wire.TxnReply
	status, err := c.do(ctx, http.MethodPost, wire.PathTxn, txn, &reply)
	if isSizeRejection(err) {
		c.limits.recordRejection(&txn, err)
	}
	if err != nil {
		return 0, err
	}
	if status == http.StatusConflict {
		return reply.Revision, &Conflict{Failed: reply.Failed}
	}
	return reply.Revision, nil
}

// Grant creates a lease with the given TTL and returns its ID.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	var lease wire.Lease
	_, err := c.call(ctx, Urgent, http.MethodPost, wire.PathLeases, wire.LeaseRequest{TTLMs: ttl.Milliseconds()}, &lease)
	return lease.ID, err
}

// Renew renews a lease. The error is ErrNotFound if the lease has expired.
func (c *Client) Renew(ctx context.Context, lease uint64) error {
	target := wire.PathLeases + "/" + strconv.FormatUint(lease, 10) + "/" + wire.SuffixRenew
	_, err := c.call(ctx, Urgent, http.MethodPost, target, nil, nil)
	return err
}

// Watch waits for at most wait until there are changes under prefix later than the
// revision after, and returns them. The error is ErrCompacted if the store has
// compacted some of them.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (wire.Events, error) {
	return c.watch(ctx, Safety, prefix, after, wait)
}

func (c *Client) watch(ctx context.Context, p Priority, prefix string, after uint64, wait time.Duration) (wire.Events, error) {
	if err := c.budget.Acquire(ctx, p, 0); err != nil {
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

// do sends a request for which the caller has acquired budget. It decodes the body
// of a response with status 200 or 409 into reply, unless reply is nil. Any other
// status is an error.
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

// encodeBody encodes the body of a request. It returns nil for a nil body.
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

// statusError returns the error for a response with a status other than 200 and 409.
// A 429 also pauses the budget.
func (c *Client) statusError(response Response) error {
	switch response.Status {
	case http.StatusBadRequest:
		var reply wire.Error
		if json.Unmarshal(response.Body, &reply) == nil && reply.Error == wire.NoSuchLease {
			return fmt.Errorf("%w: %w", ErrRejected, ErrNotFound)
		}
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
