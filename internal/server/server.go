package server

import (
	"context"
	"log/slog"
	"net"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"heronwick/internal/config"
	"heronwick/wire"
)

// Limits of a connection.
const (
	readTimeout  = 15 * time.Second // so that incomplete requests do not keep sockets open for long
	writeTimeout = 5 * time.Second
	idleTimeout  = 2 * time.Minute
	bufferSize   = 4 << 10 // size in bytes of the read buffer and of the write buffer
)

// clientConnectionsFraction is the fraction of the process's socket limit that
// connections from users and workers may use. The remaining sockets are reserved for
// the key-value store, the cloud, the peers and commands to workers.
const clientConnectionsFraction = 0.8

// Options configures a Server. The functions must be safe for concurrent use.
type Options struct {
	Settings *config.Settings
	Jobs     Jobs
	// MachineTypes returns the machine types that the cloud offers, or nil if they
	// are not loaded yet.
	MachineTypes func() []wire.MachineType
	// HandleHeartbeat handles a worker's heartbeat.
	HandleHeartbeat func(heartbeat *wire.Heartbeat) HeartbeatResult
	// Ready reports whether this controller can serve requests.
	Ready func() bool
	// SchedulingLatency returns how long goroutines of this process have recently
	// waited for the processor.
	SchedulingLatency func() time.Duration
	// DependencyGraphs returns the live dependency graphs of jobs.
	DependencyGraphs func() []wire.DAG
	// DutyReport returns the holders of the single duties and the open intents.
	DutyReport func() wire.Duties
	// HandOverDuty gives up a duty that this controller holds. The error wraps
	// duty.ErrUnknownDuty if there is no such duty.
	HandOverDuty func(ctx context.Context, id string) error
	// ClearDuty removes the corrupt record of a duty. The error wraps
	// duty.ErrUnknownDuty if there is no such duty.
	ClearDuty func(ctx context.Context, id string) error
	// Gauges are served in addition to the server's own metrics.
	Gauges []Gauge
	Log    *slog.Logger
}

// Server is the HTTP interface of a controller. Its methods are safe for
// concurrent use.
type Server struct {
	opts         Options
	routes       map[string]route // by path
	userRequests chan struct{}    // semaphore: contains one element per user request in progress
	teams        map[string]config.Team
	metrics      *metrics
	http         *fasthttp.Server
}

// New returns a Server, which Serve runs.
func New(opts Options) *Server {
	s := &Server{
		opts:         opts,
		userRequests: make(chan struct{}, maxUserRequests),
		teams:        map[string]config.Team{},
		metrics:      newMetrics(opts.Gauges),
	}
	for _, team := range opts.Settings.Teams {
		s.teams[team.Name] = team
	}
	s.routes = s.fixedRoutes()
	s.http = &fasthttp.Server{
		Handler:            s.Handle,
		ErrorHandler:       s.handleProtocolError,
		Name:               "heronwick",
		MaxRequestBodySize: wire.MaxBody,
		ReadBufferSize:     bufferSize,
		WriteBufferSize:    bufferSize,
		ReadTimeout:        readTimeout,
		WriteTimeout:       writeTimeout,
		IdleTimeout:        idleTimeout,
		Concurrency:        int(clientConnectionsFraction * float64(opts.Settings.MaxConnections)),
		NoDefaultDate:      true,
		ReduceMemoryUsage:  true, // turning it off doubled the measured memory use and saved no processor time
		CloseOnShutdown:    true,
	}
	return s
}

// OpenConnections returns the number of open connections from users and workers.
func (s *Server) OpenConnections() int { return int(s.http.GetOpenConnectionsCount()) }

// Serve serves requests on listener until ctx ends, and then closes the listener. It
// returns nil if ctx has ended, and otherwise the error that made it stop.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	err := s.http.Serve(listener)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Handle handles one request and counts the response in the metrics.
func (s *Server) Handle(request *fasthttp.RequestCtx) {
	defer func() {
		// A panic in one request must not end the process and abort all other requests.
		if r := recover(); r != nil {
			s.opts.Log.Error("panic in a request handler", "panic", r, "stack", string(debug.Stack()))
			s.respondError(request, fasthttp.StatusInternalServerError, errInternal)
		}
	}()
	kind := s.dispatch(request)
	s.metrics.responses.WithLabelValues(kind, strconv.Itoa(request.Response.StatusCode())).Inc()
}

// handleProtocolError responds to input that is not valid HTTP or too large. The status is
// 400, since a retry would fail as well.
func (s *Server) handleProtocolError(request *fasthttp.RequestCtx, err error) {
	s.respondError(request, fasthttp.StatusBadRequest, &wire.FieldError{Reason: "bad request: " + err.Error()})
	request.SetConnectionClose()
}
