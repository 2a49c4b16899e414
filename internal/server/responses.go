package server

import (
	"errors"

	"github.com/segmentio/encoding/json"
	"github.com/valyala/fasthttp"

	"heronwick/wire"
)

// Error texts in response bodies. Clients may match them, so they are part of the
// interface.
var (
	errInternal          = errors.New("internal error")
	errNoSuchPath        = errors.New("no such path")
	errMethodNotAllowed  = errors.New("method not allowed")
	errTooManyRequests   = errors.New("too many requests")
	errNoSuchJob         = errors.New("no such job")
	errNoMachineTypes    = errors.New("the machine types are not known yet")
	errFitsNoMachineType = errors.New("a task fits no machine type that the job allows")
	errNotReady          = errors.New("not ready")
	errMayNotReply       = errors.New("no right to answer workers")
)

// retryAfterSeconds is the value of the Retry-After header of responses with status 503.
const retryAfterSeconds = "1"

const contentTypeJSON = "application/json"

// respond sends a response with a status and a body, which it encodes as JSON.
func (s *Server) respond(request *fasthttp.RequestCtx, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		s.opts.Log.Error("failed to encode a response body", "err", err)
		status, text = fasthttp.StatusInternalServerError, []byte(`{"error":"internal error"}`)
	}
	request.SetStatusCode(status)
	request.SetContentType(contentTypeJSON)
	request.SetBody(text)
}

// respondError sends a response with a status and a wire.Error. If err is a
// *wire.FieldError, the body also names the invalid field of the request.
func (s *Server) respondError(request *fasthttp.RequestCtx, status int, err error) {
	body := wire.Error{Error: err.Error()}
	if fieldError, ok := errors.AsType[*wire.FieldError](err); ok {
		body.Field = fieldError.Field
	}
	s.respond(request, status, body)
}

// respondUnavailable sends a response with status 503 and a Retry-After header.
func (s *Server) respondUnavailable(request *fasthttp.RequestCtx, err error) {
	s.opts.Log.Debug("request refused with 503", "method", string(request.Method()), "path", string(request.Path()), "err", err)
	request.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfterSeconds)
	s.respondError(request, fasthttp.StatusServiceUnavailable, err)
}
