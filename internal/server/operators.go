package server

import (
	"context"
	"errors"

	"github.com/valyala/fasthttp"

	"heronwick/internal/duty"
	"heronwick/wire"
)

// dutyParameter is the query parameter for the id of a duty, in the form NAME/SCOPE.
const dutyParameter = "duty"

// emptyObject is the body of a response that carries no data besides its status.
type emptyObject struct{}

// dependencyGraphs is the body of the response that lists the dependency graphs.
type dependencyGraphs struct {
	Graphs []wire.DAG `json:"chains"`
}

// checkReady responds with 200 if this controller can serve requests, otherwise with 503.
func (s *Server) checkReady(request *fasthttp.RequestCtx) {
	if !s.opts.Ready() {
		s.respondUnavailable(request, errNotReady)
		return
	}
	s.respond(request, fasthttp.StatusOK, emptyObject{})
}

// listDependencyGraphs responds with the live dependency graphs of jobs.
func (s *Server) listDependencyGraphs(request *fasthttp.RequestCtx) {
	s.respond(request, fasthttp.StatusOK, dependencyGraphs{s.opts.DependencyGraphs()})
}

// listDuties responds with the holders of the single duties and the open intents.
func (s *Server) listDuties(request *fasthttp.RequestCtx) {
	s.respond(request, fasthttp.StatusOK, s.opts.DutyReport())
}

// changeDuty returns a handler that calls change for the duty given in the request. The
// handler responds with 404 if there is no such duty, and with 409 if the state of the
// duty does not allow the change.
func (s *Server) changeDuty(change func(ctx context.Context, id string) error) fasthttp.RequestHandler {
	return func(request *fasthttp.RequestCtx) {
		ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
		defer cancel()
		err := change(ctx, string(request.QueryArgs().Peek(dutyParameter)))
		switch {
		case err == nil:
			s.respond(request, fasthttp.StatusOK, emptyObject{})
		case errors.Is(err, duty.ErrUnknownDuty):
			s.respondError(request, fasthttp.StatusNotFound, err)
		default:
			// Another controller or none holds the duty to hand over, or the record to
			// clear is not corrupt.
			s.respondError(request, fasthttp.StatusConflict, err)
		}
	}
}
