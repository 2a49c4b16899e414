package server

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"heronwick/wire"
)

const pathMetrics = "/metrics"

// Timeouts of the handlers. Users wait 2 s for a status and 5 s for other responses.
const (
	statusTimeout = 1500 * time.Millisecond
	changeTimeout = 2500 * time.Millisecond
)

// Values of the metrics label for the kind of a request.
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
	kindOther            = "other" // unknown paths
)

// route is the handler for the requests to one path.
type route struct {
	kind   string
	method string // the only allowed method
	handle fasthttp.RequestHandler
}

// fixedRoutes returns the routes without variable parts in their paths, by path.
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

// findRoute returns the route of a path. ok is false if the path is unknown.
func (s *Server) findRoute(path string) (found route, ok bool) {
	if found, ok = s.routes[path]; ok {
		return found, true
	}
	if jobPath, ok := strings.CutPrefix(path, wire.PathJobs+"/"); ok {
		return s.jobRoute(jobPath)
	}
	return route{}, false
}

// jobRoute returns the route of a path of one job. The path is given without the prefix
// that is common to all jobs.
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

// dispatch handles one request and returns its kind for the metrics.
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
