package server

import (
	"errors"

	"github.com/segmentio/encoding/json"
	"github.com/valyala/fasthttp"

	"heronwick/wire"
)

// What clients are told beside a status. Clients may read these texts, so they
// are part of the interface.
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

// retryAfter is after how many seconds a client that got 503 should come back.
const retryAfter = "1"

const contentTypeJSON = "application/json"

// respond answers with a status and a body, encoded as JSON.
func (s *Server) respond(request *fasthttp.RequestCtx, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		s.opts.Log.Error("encoding a response", "err", err)
		status, text = fasthttp.StatusInternalServerError, []byte(`{"error":"internal error"}`)
	}
	request.SetStatusCode(status)
	request.SetContentType(contentTypeJSON)
	request.SetBody(text)
}

// respondError answers with a status and a wire.Error, which names the field of
// the request that is wrong if err is a wire.FieldError.
func (s *Server) respondError(request *fasthttp.RequestCtx, status int, err error) {
	body := wire.Error{Error: err.Error()}
	if fieldError, ok := errors.AsType[*wire.FieldError](err); ok {
		body.Field = fieldError.Field
	}
	s.respond(request, status, body)
}

// respondUnavailable answers 503 and says when to come back.
func (s *Server) respondUnavailable(request *fasthttp.RequestCtx, err error) {
	s.opts.Log.Debug("refused for now", "method", string(request.Method()), "path", string(request.Path()), "err", err)
	request.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfter)
	s.respondError(request, fasthttp.StatusServiceUnavailable, err)
}
