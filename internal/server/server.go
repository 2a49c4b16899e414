// Package server answers users, workers and health checks over HTTP.
package server

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"
	"github.com/valyala/fasthttp"

	"heronwick/internal/config"
	"heronwick/internal/duty"
	"heronwick/internal/placement"
	"heronwick/wire"
)

// Jobs accepts, tells of and cancels jobs.
type Jobs interface {
	Submit(ctx context.Context, j wire.Job) (status wire.JobStatus, created bool, err error)
	Status(ctx context.Context, id string) (status wire.JobStatus, found bool, err error)
	Cancel(ctx context.Context, id string) (status wire.JobStatus, found bool, err error)
}

// Options are what a Server needs.
type Options struct {
	Settings *config.Settings
	Jobs     Jobs
	Types    func() []wire.MachineType
	// Checkin answers a report, or returns nil and to whom the worker should
	// report, if that is known.
	Checkin func(r *wire.Heartbeat) (reply *wire.HeartbeatReply, redirect string)
	Ready   func() bool
	// Latency is how long goroutines of this process lately waited for the processor.
	Latency func() time.Duration
	// Chains tells operators of the chains of jobs that are live.
	Chains func() []wire.DAG
	// Duties tells operators who holds which single duty and what is open.
	Duties func() wire.Duties
	// HandOver gives up a duty that this controller holds, and ClearDuty removes a duty's
	// record that cannot be read.
	HandOver, ClearDuty func(ctx context.Context, id string) error
	Gauges              []Gauge
	Log                 *slog.Logger
}

// Deadlines of requests: users wait 2 s for a poll and 5 s for the rest.
const (
	pollTimeout   = 1500 * time.Millisecond
	changeTimeout = 2500 * time.Millisecond
)

// maxUserRequests bounds the user requests in progress. Beyond it they are
// refused at once, so that workers' reports are answered whatever users do.
const maxUserRequests = 200

// maxSubmitLatency is the scheduling latency from which on submissions are refused:
// each takes several such waits, and would be answered later than its user waits,
// while workers' reports and placements want its processor time. With a fourth of
// this a short burst counted as an overload, and users came in later than without.
const maxSubmitLatency = time.Second

// Server is the HTTP interface of a controller.
type Server struct {
	opts    Options
	users   chan struct{}
	teams   map[string]config.Team
	metrics *metrics
	http    *fasthttp.Server
}

// clientSockets is the part of the sockets that users and workers may take;
// the rest is for the state service, the cloud, the peers and commands.
const clientSockets = 0.8

// New makes a Server.
func New(opts Options) *Server {
	s := &Server{opts: opts, users: make(chan struct{}, maxUserRequests), teams: map[string]config.Team{}, metrics: newMetrics(opts.Gauges)}
	for _, t := range opts.Settings.Teams {
		s.teams[t.Name] = t
	}
	s.http = &fasthttp.Server{
		Handler:            s.Handle,
		ErrorHandler:       s.badRequest,
		Name:               "heronwick",
		MaxRequestBodySize: wire.MaxBody,
		ReadBufferSize:     4 << 10,
		WriteBufferSize:    4 << 10,
		ReadTimeout:        15 * time.Second, // a request that hangs half-way holds no socket for long
		WriteTimeout:       5 * time.Second,
		IdleTimeout:        2 * time.Minute,
		Concurrency:        int(clientSockets * float64(opts.Settings.MaxConnections)),
		NoDefaultDate:      true,
		ReduceMemoryUsage:  true, // without it no less processor time was seen, but twice the memory
		CloseOnShutdown:    true,
	}
	return s
}

// Connections is how many connections users and workers have open.
func (s *Server) Connections() int { return int(s.http.GetOpenConnectionsCount()) }

// Serve answers requests on ln until ctx ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	err := s.http.Serve(ln)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// badRequest answers what is not HTTP, or too large: it is malformed, and
// repeating it would not help.
func (s *Server) badRequest(ctx *fasthttp.RequestCtx, err error) {
	s.refuse(ctx, 400, &wire.FieldError{Reason: "bad request: " + err.Error()})
	ctx.SetConnectionClose()
}

// Handle answers one request.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	defer func() {
		// One bad request must not end the process, and with it all others'.
		if r := recover(); r != nil {
			s.opts.Log.Error("panic in a handler", "panic", r, "stack", string(debug.Stack()))
			s.refuse(ctx, 500, errors.New("internal error"))
		}
	}()
	kind := s.route(ctx, string(ctx.Path()), string(ctx.Method()))
	s.metrics.answers.WithLabelValues(kind, strconv.Itoa(ctx.Response.StatusCode())).Inc()
}

// route answers one request and names its kind.
func (s *Server) route(ctx *fasthttp.RequestCtx, path, method string) (kind string) {
	switch {
	case path == wire.PathHeartbeat:
		if s.allow(ctx, method, "POST") {
			s.report(ctx)
		}
		return "report"
	case path == pathMetrics:
		if s.allow(ctx, method, "GET") {
			s.metrics.serve(ctx)
		}
		return "metrics"
	case path == wire.PathDAGs:
		if s.allow(ctx, method, "GET") {
			s.answer(ctx, 200, struct {
				Chains []wire.DAG `json:"chains"`
			}{s.opts.Chains()})
		}
		return "chains"
	case path == wire.PathDuties:
		if s.allow(ctx, method, "GET") {
			s.answer(ctx, 200, s.opts.Duties())
		}
		return "duties"
	case path == wire.PathHandOver:
		if s.allow(ctx, method, "POST") {
			s.changeDuty(ctx, s.opts.HandOver)
		}
		return "handover"
	case path == wire.PathClear:
		if s.allow(ctx, method, "POST") {
			s.changeDuty(ctx, s.opts.ClearDuty)
		}
		return "clear"
	case path == wire.PathReady:
		if s.allow(ctx, method, "GET") {
			s.ready(ctx)
		}
		return "ready"
	case path == wire.PathJobs:
		if s.allow(ctx, method, "POST") {
			s.user(ctx, s.submit)
		}
		return "submit"
	case strings.HasPrefix(path, wire.PathJobs+"/"):
		id, suffix, more := strings.Cut(path[len(wire.PathJobs)+1:], "/")
		switch {
		case !more:
			if s.allow(ctx, method, "GET") {
				s.user(ctx, func(ctx *fasthttp.RequestCtx) { s.status(ctx, id) })
			}
			return "poll"
		case suffix == wire.SuffixCancel:
			if s.allow(ctx, method, "POST") {
				s.user(ctx, func(ctx *fasthttp.RequestCtx) { s.cancel(ctx, id) })
			}
			return "cancel"
		}
	}
	s.refuse(ctx, 404, errors.New("no such path"))
	return "other"
}

func (s *Server) allow(ctx *fasthttp.RequestCtx, method, want string) bool {
	if method == want {
		return true
	}
	ctx.Response.Header.Set("Allow", want)
	s.refuse(ctx, 405, errors.New("method not allowed"))
	return false
}

func (s *Server) user(ctx *fasthttp.RequestCtx, handle func(*fasthttp.RequestCtx)) {
	select {
	case s.users <- struct{}{}:
		defer func() { <-s.users }()
		handle(ctx)
	default:
		s.unavailable(ctx, errors.New("too many requests"))
	}
}

func (s *Server) answer(ctx *fasthttp.RequestCtx, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		s.opts.Log.Error("encoding an answer", "err", err)
		status, text = 500, []byte(`{"error":"internal error"}`)
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
}

func (s *Server) refuse(ctx *fasthttp.RequestCtx, status int, err error) {
	body := wire.Error{Error: err.Error()}
	var field *wire.FieldError
	if errors.As(err, &field) {
		body.Field = field.Field
	}
	s.answer(ctx, status, body)
}

// unavailable refuses at once and says when to come back.
func (s *Server) unavailable(ctx *fasthttp.RequestCtx, err error) {
	s.opts.Log.Debug("refused for now", "method", string(ctx.Method()), "path", string(ctx.Path()), "err", err)
	ctx.Response.Header.Set("Retry-After", "1")
	s.refuse(ctx, 503, err)
}

func (s *Server) submit(ctx *fasthttp.RequestCtx) {
	c, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	j, err := wire.ParseJob(ctx.PostBody())
	types := s.opts.Types()
	if err == nil && types == nil {
		s.unavailable(ctx, errors.New("the machine types are not known yet"))
		return
	}
	code := 400
	if err == nil {
		code, err = 422, s.canRun(&j, types)
	}
	if err != nil {
		s.refuseSubmission(c, ctx, j.ID, code, err)
		return
	}
	if latency := s.opts.Latency(); latency >= maxSubmitLatency {
		s.unavailable(ctx, fmt.Errorf("short of processor time: scheduling latency %v", latency))
		return
	}
	status, created, err := s.opts.Jobs.Submit(c, j)
	var field *wire.FieldError
	switch {
	case errors.As(err, &field):
		s.refuseSubmission(c, ctx, j.ID, 422, err)
	case err != nil:
		s.unavailable(ctx, err)
	case created:
		s.answer(ctx, 201, status)
	default:
		s.answer(ctx, 200, status)
	}
}

// refuseSubmission refuses a job for good, unless it was accepted before: a
// repeated submission is answered as such, whatever else it holds now.
func (s *Server) refuseSubmission(c context.Context, ctx *fasthttp.RequestCtx, id string, code int, err error) {
	if id != "" {
		status, found, serr := s.opts.Jobs.Status(c, id)
		switch {
		case serr != nil:
			s.unavailable(ctx, serr)
			return
		case found:
			s.answer(ctx, 200, status)
			return
		}
	}
	s.refuse(ctx, code, err)
}

// canRun tells why a job can never run: its team is unknown, no machine type
// takes its tasks, or it needs more than its team's limit.
func (s *Server) canRun(j *wire.Job, types []wire.MachineType) error {
	if len(s.teams) > 0 {
		t, ok := s.teams[j.Team]
		if !ok {
			return &wire.FieldError{Field: wire.FieldTeam, Reason: "no such team"}
		}
		n := 1.0
		if j.Kind != wire.KindArray {
			n = float64(j.Tasks)
		}
		need := placement.Of(j).Times(n)
		if t.CPUsMax > 0 && need.CPUs > t.CPUsMax || t.GPUsMax > 0 && need.GPUs > t.GPUsMax {
			return &wire.FieldError{Field: wire.FieldTasks, Reason: "the job needs more than its team's limit"}
		}
	}
	if !placement.CanEver(j, types) {
		return errors.New("a task fits no machine type that the job allows")
	}
	return nil
}

func (s *Server) status(ctx *fasthttp.RequestCtx, id string) {
	if !wire.ValidJobID(id) {
		s.refuse(ctx, 404, errors.New("no such job"))
		return
	}
	c, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	status, found, err := s.opts.Jobs.Status(c, id)
	s.tell(ctx, status, found, err)
}

func (s *Server) cancel(ctx *fasthttp.RequestCtx, id string) {
	if !wire.ValidJobID(id) {
		s.refuse(ctx, 404, errors.New("no such job"))
		return
	}
	c, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	status, found, err := s.opts.Jobs.Cancel(c, id)
	s.tell(ctx, status, found, err)
}

func (s *Server) tell(ctx *fasthttp.RequestCtx, status wire.JobStatus, found bool, err error) {
	switch {
	case err != nil:
		s.unavailable(ctx, err)
	case !found:
		s.refuse(ctx, 404, errors.New("no such job"))
	default:
		s.answer(ctx, 200, status)
	}
}

func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	if !s.opts.Ready() {
		s.unavailable(ctx, errors.New("not ready"))
		return
	}
	s.answer(ctx, 200, struct{}{})
}

func (s *Server) report(ctx *fasthttp.RequestCtx) {
	var r wire.Heartbeat
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil || r.Machine == "" || r.Incarnation == 0 {
		s.refuse(ctx, 400, &wire.FieldError{Reason: "not a report"})
		return
	}
	reply, redirect := s.opts.Checkin(&r)
	switch {
	case reply != nil:
		s.answer(ctx, 200, reply)
	case redirect != "":
		s.answer(ctx, 421, wire.NotLeaderReply{Leader: redirect})
	default:
		s.unavailable(ctx, errors.New("no right to answer workers"))
	}
}

// changeDuty does something about a duty for an operator.
func (s *Server) changeDuty(ctx *fasthttp.RequestCtx, change func(ctx context.Context, id string) error) {
	within, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	switch err := change(within, string(ctx.QueryArgs().Peek("duty"))); {
	case err == nil:
		s.answer(ctx, 200, struct{}{})
	case errors.Is(err, duty.ErrUnknownDuty):
		s.refuse(ctx, 404, err)
	default:
		s.refuse(ctx, 409, err) // another holds it, nobody does, or there is nothing to clear
	}
}
