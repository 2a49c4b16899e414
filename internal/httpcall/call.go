package httpcall

import (
	"time"

	"github.com/valyala/fasthttp"
)

// Doer is the interface of the fasthttp clients that Do uses.
type Doer interface {
	DoDeadline(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error
}

// Request is an HTTP request.
type Request struct {
	Method string
	URL    string
	Body   []byte // JSON, or nil for no body. It is not copied.
	// Deadline is the time at which Do returns an error. The server may nevertheless
	// carry the request out.
	Deadline time.Time
	// CloseConnection closes the connection after the response.
	CloseConnection bool
}

// Do sends a request and stores the response in resp, whatever its status. The error
// is that of the client.
func Do(client Doer, r Request, resp *fasthttp.Response) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(r.URL)
	req.Header.SetMethod(r.Method)
	if r.CloseConnection {
		req.SetConnectionClose()
	}
	if r.Body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(r.Body)
	}
	return client.DoDeadline(req, resp, r.Deadline)
}
