package cloud

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"heronwick/internal/httpcall"
	"heronwick/wire"
)

// Errors of the client.
var (
	// ErrNoCapacity means that the cloud has no machine of the requested type and kind
	// (spot or ordinary) available in the requested zone.
	ErrNoCapacity = errors.New("no capacity")
	// ErrUnavailable means that the cloud could not be reached or answered with an
	// error. The request may have been executed, or may still be executed later.
	ErrUnavailable = errors.New("cloud unavailable")
)

const (
	requestTimeout = 5 * time.Second
	dialTimeout    = 2 * time.Second
	// idleConnectionTimeout is how long an unused connection is kept.
	idleConnectionTimeout = time.Minute
	// maxConnections bounds the number of concurrent requests.
	maxConnections = 8
)

// Client is a client of the cloud that respects the cloud's limit on the request rate. It
// is safe for concurrent use.
type Client struct {
	http    *fasthttp.HostClient
	limiter *rate.Limiter
}

// NewClient returns a client for the cloud at addr that sends at most rps requests per
// second.
func NewClient(addr string, rps float64) *Client {
	return &Client{
		http: &fasthttp.HostClient{
			Addr:                      addr,
			MaxConns:                  maxConnections,
			MaxIdleConnDuration:       idleConnectionTimeout,
			MaxIdemponentCallAttempts: 1, // no implicit retries, since they would bypass the rate limit
			NoDefaultUserAgentHeader:  true,
			Dial: func(addr string) (net.Conn, error) {
				return fasthttp.DialTimeout(addr, dialTimeout)
			},
		},
		limiter: rate.NewLimiter(rate.Limit(rps), max(1, int(rps))),
	}
}

// Types returns the machine types that the cloud offers.
func (c *Client) Types(ctx context.Context) ([]wire.MachineType, error) {
	var types wire.MachineTypes
	err := c.call(ctx, http.MethodGet, wire.PathTypes, nil, &types)
	return types.Types, err
}

// Rent rents machines and returns their names. It is idempotent: the same request may be
// repeated until it is answered. The error wraps ErrNoCapacity or ErrUnavailable.
func (c *Client) Rent(ctx context.Context, req wire.RentRequest) ([]string, error) {
	var names wire.MachineNames
	err := c.call(ctx, http.MethodPost, wire.PathMachines, req, &names)
	return names.Machines, err
}

// Return returns machines to the cloud. Once it returns nil, the machines and everything
// that ran on them are gone.
func (c *Client) Return(ctx context.Context, machines []string) error {
	return c.call(ctx, http.MethodPost, wire.PathReturn, wire.MachineNames{Machines: machines}, nil)
}

// List returns all machines on the cloud's list. The list lags behind rentals and returns.
func (c *Client) List(ctx context.Context) ([]wire.Machine, error) {
	var machines []wire.Machine
	after := ""
	for {
		var list wire.MachineList
		if err := c.call(ctx, http.MethodGet, listTarget(after), nil, &list); err != nil {
			return nil, err
		}
		machines = append(machines, list.Machines...)
		if !list.More || len(list.Machines) == 0 {
			return machines, nil
		}
		after = list.Machines[len(list.Machines)-1].ID
	}
}

// listTarget returns the request target for the page of the list that starts after the
// given machine, or for the first page if after is empty.
func listTarget(after string) string {
	target := fmt.Sprintf("%s?most=%d", wire.PathMachines, wire.MaxListPage)
	if after != "" {
		target += "&after=" + url.QueryEscape(after)
	}
	return target
}

// call sends a request, once the rate limit allows it, and decodes the body of a response
// with status 200 into reply, unless reply is nil.
func (c *Client) call(ctx context.Context, method, target string, body, reply any) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	req := httpcall.Request{Method: method, URL: "http://" + c.http.Addr + target, Deadline: time.Now().Add(requestTimeout)}
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("encoding a request to the cloud: %w", err)
		}
		req.Body = encoded
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := httpcall.Do(c.http, req, resp); err != nil {
		return fmt.Errorf("%w: %s %s: %w", ErrUnavailable, method, target, err)
	}
	if status := resp.StatusCode(); status != http.StatusOK {
		return fmt.Errorf("%s %s: %w", method, target, statusError(status, resp.Body()))
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), reply); err != nil {
		return fmt.Errorf("%w: %s %s: %w", ErrUnavailable, method, target, err)
	}
	return nil
}

// statusError returns the error for a response with a status other than 200.
func statusError(status int, body []byte) error {
	if status != http.StatusServiceUnavailable {
		return fmt.Errorf("%w: status %d: %.200s", ErrUnavailable, status, body)
	}
	var refusal wire.Error
	if json.Unmarshal(body, &refusal) == nil && refusal.Error == wire.NoCapacity {
		return ErrNoCapacity
	}
	return fmt.Errorf("%w: status 503", ErrUnavailable)
}
