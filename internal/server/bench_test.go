package server

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"heronwick/internal/config"
	"heronwick/internal/job"
	"heronwick/wire"
)

// newTestServer returns a Server. setup sets the options that the test needs.
func newTestServer(setup func(opts *Options)) *Server {
	opts := Options{Settings: &config.Settings{MaxConnections: 1000}, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	setup(&opts)
	return New(opts)
}

// benchmarkRequest measures how long s takes to handle a request, which must succeed with
// status 200.
func benchmarkRequest(b *testing.B, s *Server, method, path string, body []byte) {
	b.Helper()
	var request fasthttp.RequestCtx
	request.Request.Header.SetMethod(method)
	request.Request.SetRequestURI(path)
	request.Request.SetBody(body)
	b.ReportAllocs()
	for b.Loop() {
		request.Response.Reset()
		s.Handle(&request)
		if status := request.Response.StatusCode(); status != fasthttp.StatusOK {
			b.Fatalf("%s %s: got status %d, want 200", method, path, status)
		}
	}
}

// Measures a worker's heartbeat and its reply, without the scheduler's work.
func BenchmarkHeartbeatRequest(b *testing.B) {
	s := newTestServer(func(opts *Options) {
		opts.HandleHeartbeat = func(heartbeat *wire.Heartbeat) HeartbeatResult {
			return HeartbeatResult{Reply: &wire.HeartbeatReply{FencingToken: heartbeat.FencingToken, Commands: []wire.Command{}}}
		}
	})
	heartbeat := wire.Heartbeat{Machine: "host-000231", Address: "10.1.0.232:9000", Type: "g8", Zone: "a", Incarnation: 1, Seq: 88, FencingToken: 41}
	for i := range 4 {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: wire.TaskID("wk-000412", i), Attempt: 2_000_000, State: wire.TaskRunning})
	}
	body, err := json.Marshal(heartbeat)
	if err != nil {
		b.Fatal(err)
	}
	benchmarkRequest(b, s, fasthttp.MethodPost, wire.PathHeartbeat, body)
}

// oneRunningJob implements Jobs with one running job.
type oneRunningJob struct{}

func (oneRunningJob) Submit(context.Context, wire.Job) (job.Submission, error) {
	return job.Submission{}, nil
}

func (oneRunningJob) Status(_ context.Context, id string) (job.Lookup, error) {
	return job.Lookup{Found: true, Status: wire.JobStatus{ID: id, State: wire.JobRunning, Done: 12, Running: 30}}, nil
}

func (oneRunningJob) Cancel(context.Context, string) (job.Lookup, error) {
	return job.Lookup{}, nil
}

// Measures a user's request for the status of a job, without the read from the store.
func BenchmarkStatusRequest(b *testing.B) {
	s := newTestServer(func(opts *Options) {
		opts.SchedulingLatency = func() time.Duration { return 0 }
		opts.Jobs = oneRunningJob{}
	})
	benchmarkRequest(b, s, fasthttp.MethodGet, wire.PathJobs+"/wk-000412", nil)
}
