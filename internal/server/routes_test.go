package server

import (
	"fmt"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"heronwick/wire"
)

// send passes a request without a body to s and returns the status and the response.
func send(s *Server, method, path string) (status int, response *fasthttp.Response) {
	var request fasthttp.RequestCtx
	request.Request.Header.SetMethod(method)
	request.Request.SetRequestURI(path)
	s.Handle(&request)
	return request.Response.StatusCode(), &request.Response
}

// Each path allows one method, and its responses are counted under its kind. Unknown paths
// are counted together, so that clients cannot add label values to the metrics.
func TestRoutes(t *testing.T) {
	s := newTestServer(func(opts *Options) {
		opts.Ready = func() bool { return false }
		opts.MachineTypes = func() []wire.MachineType { return nil }
		opts.Jobs = oneRunningJob{}
		opts.DependencyGraphs = func() []wire.DAG { return nil }
	})
	for _, test := range []struct {
		method, path, kind string
		status             int
	}{
		{"GET", "/ready", "ready", 503},
		{"POST", "/ready", "ready", 405},
		{"GET", "/chains", "chains", 200},
		{"GET", "/submissions", "submit", 405},
		{"POST", "/submissions", "submit", 400},
		{"GET", "/submissions/wk-000412", "poll", 200},
		{"GET", "/submissions/", "poll", 404},
		{"POST", "/submissions/wk-000412", "poll", 405},
		{"POST", "/submissions/wk-000412/withdraw", "cancel", 404},
		{"GET", "/submissions/wk-000412/withdraw", "cancel", 405},
		{"GET", "/submissions/wk-000412/other", "other", 404},
		{"POST", "/checkin", "report", 400},
		{"PUT", "/duties/clear", "clear", 405},
		{"GET", "/nowhere", "other", 404},
	} {
		status, response := send(s, test.method, test.path)
		if status != test.status {
			t.Errorf("%s %s: got status %d, want %d", test.method, test.path, status, test.status)
		}
		if status == 405 && len(response.Header.Peek("Allow")) == 0 {
			t.Errorf("%s %s: got no Allow header, want one", test.method, test.path)
		}
		_, metrics := send(s, "GET", "/metrics")
		if counter := fmt.Sprintf("heronwick_answers_total{request=%q,status=\"%d\"}", test.kind, test.status); !strings.Contains(string(metrics.Body()), counter) {
			t.Errorf("%s %s: got metrics without %s, want them to contain it", test.method, test.path, counter)
		}
	}
}
