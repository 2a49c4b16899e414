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
	readTimeout  = 15 * time.Second // a request that hangs half-way holds no socket for long
	writeTimeout = 5 * time.Second
	idleTimeout  = 2 * time.Minute
	bufferSize   = 4 << 10 // bytes, of a connection's read and of its write buffer
)

// clientConnectionsFraction is the fraction of the process's sockets that users
// and workers may take. The rest is for the key-value store, the cloud, the
// peers and commands to workers.
const clientConnectionsFraction = 0.8

// Options are what a Server needs. The functions must be safe for concurrent use.
type Options struct {
	Settings *config.Settings
	Jobs     Jobs
	// MachineTypes returns the machine types that the cloud offers, nil while
	// they are not known.
	MachineTypes func() []wire.MachineType
	// HandleHeartbeat takes a worker's heartbeat.
	HandleHeartbeat func(heartbeat *wire.Heartbeat) HeartbeatResult
	// Ready reports whether this controller can take requests.
	Ready func() bool
	// SchedulingLatency returns how long goroutines of this process lately waited
	// for the processor.
	SchedulingLatency func() time.Duration
	// DependencyGraphs returns the live dependency graphs of jobs.
	DependencyGraphs func() []wire.DAG
	// DutyReport returns the holders of the single duties and the open intents.
	DutyReport func() wire.Duties
	// HandOverDuty gives up a duty that this controller holds. It returns an
	// error that wraps duty.ErrUnknownDuty if there is no such duty.
	HandOverDuty func(ctx context.Context, id string) error
	// ClearDuty removes the record of a duty that cannot be read. It returns an
	// error that wraps duty.ErrUnknownDuty if there is no such duty.
	ClearDuty func(ctx context.Context, id string) error
	// Gauges are served with the server's own metrics.
	Gauges []Gauge
	Log    *slog.Logger
}

// Server is the HTTP interface of a controller. Its methods are safe for
// concurrent use.
type Server struct {
	opts         Options
	routes       map[string]route // by path
	userRequests chan struct{}    // holds an element for each user request in progress
	teams        map[string]config.Team
	metrics      *metrics
	http         *fasthttp.Server
}

// New makes a Server; Serve runs it.
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
		ReduceMemoryUsage:  true, // without it no less processor time was measured, but twice the memory
		CloseOnShutdown:    true,
	}
	return s
}

// OpenConnections returns how many connections users and workers have open.
func (s *Server) OpenConnections() int { return int(s.http.GetOpenConnectionsCount()) }

// Serve answers requests on listener until ctx ends, and closes it then. It
// returns nil after ctx has ended, and otherwise why it cannot go on.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	err := s.http.Serve(listener)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Handle answers one request and counts it in the metrics.
func (s *Server) Handle(request *fasthttp.RequestCtx) {
	defer func() {
		// A panic in one request must not end the process, and with it all others.
		if r := recover(); r != nil {
			s.opts.Log.Error("panic in a handler", "panic", r, "stack", string(debug.Stack()))
			s.respondError(request, fasthttp.StatusInternalServerError, errInternal)
		}
	}()
	kind := s.dispatch(request)
	s.metrics.responses.WithLabelValues(kind, strconv.Itoa(request.Response.StatusCode())).Inc()
}

// handleProtocolError answers what is not HTTP, or too large. The status is that
// of a malformed request, since repeating it would not help.
func (s *Server) handleProtocolError(request *fasthttp.RequestCtx, err error) {
	s.respondError(request, fasthttp.StatusBadRequest, &wire.FieldError{Reason: "bad request: " + err.Error()})
	request.SetConnectionClose()
}
