package server

import (
	"context"
	"errors"

	"github.com/valyala/fasthttp"

	"heronwick/internal/duty"
	"heronwick/wire"
)

// dutyParameter is the query parameter that names a duty, as NAME/SCOPE.
const dutyParameter = "duty"

// emptyObject is the body of a response that says nothing beside its status.
type emptyObject struct{}

// dependencyGraphs is the body of the list of dependency graphs.
type dependencyGraphs struct {
	Graphs []wire.DAG `json:"chains"`
}

// checkReady answers 200 if this controller can take requests.
func (s *Server) checkReady(request *fasthttp.RequestCtx) {
	if !s.opts.Ready() {
		s.respondUnavailable(request, errNotReady)
		return
	}
	s.respond(request, fasthttp.StatusOK, emptyObject{})
}

// listDependencyGraphs answers with the live dependency graphs of jobs.
func (s *Server) listDependencyGraphs(request *fasthttp.RequestCtx) {
	s.respond(request, fasthttp.StatusOK, dependencyGraphs{s.opts.DependencyGraphs()})
}

// listDuties answers with the holders of the single duties and the open intents.
func (s *Server) listDuties(request *fasthttp.RequestCtx) {
	s.respond(request, fasthttp.StatusOK, s.opts.DutyReport())
}

// changeDuty returns a handler that calls change for the duty that the request
// names: 404 if there is no such duty, 409 if its state does not allow the change.
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
			// Another controller holds the duty, nobody does, or its record can be read.
			s.respondError(request, fasthttp.StatusConflict, err)
		}
	}
}
