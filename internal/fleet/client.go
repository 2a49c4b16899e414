package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"heronwick/wire"
)

// Client talks straight to workers.
type Client struct {
	http *fasthttp.Client
}

// NewClient makes a client for workers.
func NewClient() *Client {
	return &Client{http: &fasthttp.Client{
		MaxConnsPerHost:           2,
		MaxIdleConnDuration:       30 * time.Second,
		MaxIdemponentCallAttempts: 1, // a silent second try could carry a command out twice
		NoDefaultUserAgentHeader:  true,
		ReadBufferSize:            2 << 10,
		WriteBufferSize:           2 << 10,
		Dial: func(addr string) (net.Conn, error) {
			return fasthttp.DialTimeout(addr, time.Second)
		},
	}}
}

// Command sends commands and returns the worker's report after them. A 409
// carries a report too: nothing was executed.
func (c *Client) Command(ctx context.Context, address string, req *wire.CommandRequest) (*wire.Report, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, fmt.Errorf("encoding commands: %w", err)
	}
	return c.do(ctx, "POST", "http://"+address+wire.PathCommands, body)
}

// Status asks a worker for its report.
func (c *Client) Status(ctx context.Context, address string) (*wire.Report, error) {
	return c.do(ctx, "GET", "http://"+address+wire.PathStatus, nil)
}

func (c *Client) do(ctx context.Context, method, url string, body []byte) (*wire.Report, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	req.Header.SetMethod(method)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(2 * time.Second)
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, url, err)
	}
	if status := resp.StatusCode(); status != 200 && status != 409 {
		return nil, fmt.Errorf("%s %s: status %d", method, url, status)
	}
	var report wire.Report
	if err := json.Unmarshal(resp.Body(), &report); err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, url, err)
	}
	return &report, nil
}
