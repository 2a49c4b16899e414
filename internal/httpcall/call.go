package httpcall

import (
	"time"

	"github.com/valyala/fasthttp"
)

// Doer is the part of fasthttp's clients that Do needs.
type Doer interface {
	DoDeadline(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error
}

// Request is one request.
type Request struct {
	Method string
	URL    string
	Body   []byte // JSON; nil: none. It is not copied.
	// Deadline is when Do gives up. The request may be carried out nevertheless.
	Deadline time.Time
	// CloseConnection closes the connection after the response.
	CloseConnection bool
}

// Do sends a request and fills in the response, whatever its status. The error is
// that of the client.
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
