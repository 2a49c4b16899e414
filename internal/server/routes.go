package server

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"heronwick/wire"
)

const pathMetrics = "/metrics"

// Timeouts of the handlers. Users wait 2 s for a status and 5 s for the rest.
const (
	statusTimeout = 1500 * time.Millisecond
	changeTimeout = 2500 * time.Millisecond
)

// Kinds of requests, as the metrics label them.
const (
	kindHeartbeat        = "report"
	kindMetrics          = "metrics"
	kindDependencyGraphs = "chains"
	kindDuties           = "duties"
	kindHandOver         = "handover"
	kindClear            = "clear"
	kindReady            = "ready"
	kindSubmit           = "submit"
	kindStatus           = "poll"
	kindCancel           = "cancel"
	kindOther            = "other" // no such path
)

// route says how the requests to one path are answered.
type route struct {
	kind   string
	method string // the only one that is allowed
	handle fasthttp.RequestHandler
}

// fixedRoutes returns the routes whose path has no variable part, by path.
func (s *Server) fixedRoutes() map[string]route {
	return map[string]route{
		wire.PathJobs:      {kindSubmit, fasthttp.MethodPost, s.limitUserRequests(s.submitJob)},
		wire.PathHeartbeat: {kindHeartbeat, fasthttp.MethodPost, s.handleHeartbeat},
		wire.PathReady:     {kindReady, fasthttp.MethodGet, s.checkReady},
		wire.PathDAGs:      {kindDependencyGraphs, fasthttp.MethodGet, s.listDependencyGraphs},
		wire.PathDuties:    {kindDuties, fasthttp.MethodGet, s.listDuties},
		wire.PathHandOver:  {kindHandOver, fasthttp.MethodPost, s.changeDuty(s.opts.HandOverDuty)},
		wire.PathClear:     {kindClear, fasthttp.MethodPost, s.changeDuty(s.opts.ClearDuty)},
		pathMetrics:        {kindMetrics, fasthttp.MethodGet, s.metrics.serve},
	}
}

// findRoute returns the route of a path, if there is one.
func (s *Server) findRoute(path string) (found route, ok bool) {
	if found, ok = s.routes[path]; ok {
		return found, true
	}
	if jobPath, ok := strings.CutPrefix(path, wire.PathJobs+"/"); ok {
		return s.jobRoute(jobPath)
	}
	return route{}, false
}

// jobRoute returns the route of a job's own path, which is given without the
// prefix that all of them share.
func (s *Server) jobRoute(path string) (found route, ok bool) {
	id, suffix, hasSuffix := strings.Cut(path, "/")
	switch {
	case !hasSuffix:
		status := func(request *fasthttp.RequestCtx) { s.jobStatus(request, id) }
		return route{kindStatus, fasthttp.MethodGet, s.limitUserRequests(status)}, true
	case suffix == wire.SuffixCancel:
		cancel := func(request *fasthttp.RequestCtx) { s.cancelJob(request, id) }
		return route{kindCancel, fasthttp.MethodPost, s.limitUserRequests(cancel)}, true
	}
	return route{}, false
}

// dispatch answers one request and returns its kind.
func (s *Server) dispatch(request *fasthttp.RequestCtx) (kind string) {
	route, ok := s.findRoute(string(request.Path()))
	if !ok {
		s.respondError(request, fasthttp.StatusNotFound, errNoSuchPath)
		return kindOther
	}
	if string(request.Method()) != route.method {
		request.Response.Header.Set(fasthttp.HeaderAllow, route.method)
		s.respondError(request, fasthttp.StatusMethodNotAllowed, errMethodNotAllowed)
		return route.kind
	}
	route.handle(request)
	return route.kind
}
