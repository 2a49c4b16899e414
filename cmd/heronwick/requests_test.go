package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"heronwick/internal/standin"
	"heronwick/wire"
)

// Names of the fields of a submission, and of the response to it, on the wire.
const (
	fieldID           = "uid"
	fieldClass        = "flight"
	fieldTeam         = wire.FieldTeam
	fieldKind         = "gait"
	fieldPriority     = "rank"
	fieldTasks        = wire.FieldTasks
	fieldCPUs         = "cores"
	fieldGPUs         = "accelerators"
	fieldMemory       = "ram_gb"
	fieldImage        = "plumage"
	fieldImageSize    = "pull_gb"
	fieldTypes        = "breeds"
	fieldZone         = "marsh"
	fieldOneZone      = "same_place"
	fieldSpread       = "spread"
	fieldSpot         = "drift"
	fieldEstimate     = "flight_s"
	fieldCheckpoint   = "molt_s"
	fieldSave         = "preen_s"
	fieldDeadline     = "dusk_s"
	fieldDependencies = wire.FieldDependencies
	fieldState        = "stance"
)

// jobID returns the ID of a test's n-th job.
func jobID(n int) string { return fmt.Sprintf("wk-%06d", n) }

// taskID returns the ID of a task of a test's n-th job.
func taskID(n, index int) string { return wire.TaskID(jobID(n), index) }

// machineName returns the name of the n-th machine of a test, counted from 1.
func machineName(n int) string { return fmt.Sprintf("host-%06d", n) }

// jobPath returns the URL path of the status of a test's n-th job.
func jobPath(n int) string { return wire.PathJobs + "/" + jobID(n) }

// cancelPath returns the URL path for the cancellation of a test's n-th job.
func cancelPath(n int) string { return jobPath(n) + "/" + wire.SuffixCancel }

// jobOption changes a submission.
type jobOption func(job map[string]any)

// submission returns a valid submission of the blue team with three tasks and a field that
// controllers ignore, modified by the options.
func submission(n int, options ...jobOption) map[string]any {
	job := map[string]any{
		fieldID: jobID(n), fieldClass: "c", fieldTeam: blueTeam, fieldKind: wire.KindArray, fieldPriority: wire.PriorityNormal,
		fieldTasks: 3, fieldCPUs: 2.0, fieldGPUs: 0.0, fieldMemory: 4.0, fieldImage: "img", fieldImageSize: 0.5,
		fieldTypes: nil, fieldZone: nil, fieldOneZone: false, fieldSpread: false, fieldSpot: true,
		fieldEstimate: 20.0, fieldCheckpoint: 0.0, fieldSave: 0.0, fieldDeadline: nil, "later": "ignored",
	}
	for _, option := range options {
		if option != nil {
			option(job)
		}
	}
	return job
}

// with sets a field of a submission to a value, which may be invalid.
func with(field string, value any) jobOption {
	return func(job map[string]any) { job[field] = value }
}

// without removes a field from a submission.
func without(field string) jobOption {
	return func(job map[string]any) { delete(job, field) }
}

func withTeam(team string) jobOption { return with(fieldTeam, team) }

func withTasks(count int) jobOption { return with(fieldTasks, count) }

func withPriority(priority wire.Priority) jobOption { return with(fieldPriority, priority) }

// service turns a submission into that of a service with the given number of replicas.
func service(replicas int) jobOption {
	return func(job map[string]any) { job[fieldKind], job[fieldTasks] = wire.KindService, replicas }
}

// dependingOn makes a submission depend on other jobs of the test.
func dependingOn(jobs ...int) jobOption {
	ids := []string{}
	for _, n := range jobs {
		ids = append(ids, jobID(n))
	}
	return with(fieldDependencies, ids)
}

// response is a controller's response to a request. It is the zero value if no controller
// runs on the node to which the request was sent.
type response struct {
	status     int
	body       []byte
	fields     map[string]any // of the body, if it is a JSON object
	retryAfter string
}

// String describes the response for failure messages.
func (r response) String() string {
	return fmt.Sprintf("%d %v (Retry-After %q)", r.status, r.fields, r.retryAfter)
}

// state returns the job state in the response, or "" if it contains none.
func (r response) state() wire.JobState {
	state, _ := r.fields[fieldState].(string)
	return wire.JobState(state)
}

// accepted reports whether a submission was accepted, now or on an earlier attempt.
func (r response) accepted() bool { return r.status == 200 || r.status == 201 }

// retryLater reports whether a request was temporarily refused with a Retry-After header.
func (r response) retryLater() bool { return r.status == 503 && r.retryAfter != "" }

// call sends a request to a node and returns the response. A body that is not a string is
// encoded as JSON.
func (tc *testCluster) call(i int, method, path string, body any) response {
	c := tc.nodes[i].current.Load()
	if c == nil {
		return response{}
	}
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(method)
	ctx.Request.SetRequestURI(path)
	switch body := body.(type) {
	case nil:
	case string:
		ctx.Request.SetBodyString(body)
	default:
		text, err := json.Marshal(body)
		if err != nil {
			tc.t.Error(err) // not Fatal, because call also runs in goroutines other than the test's
			return response{}
		}
		ctx.Request.SetBody(text)
	}
	tc.fleet.Checker.ObserveRequest(method, path, ctx.Request.Body())
	c.server.Handle(&ctx)
	resp := response{
		status:     ctx.Response.StatusCode(),
		body:       ctx.Response.Body(),
		retryAfter: string(ctx.Response.Header.Peek("Retry-After")),
	}
	_ = json.Unmarshal(resp.body, &resp.fields) // not every body is JSON
	var status wire.JobStatus
	_ = json.Unmarshal(resp.body, &status) // not every response is a job's status
	tc.fleet.Checker.ObserveResponse(path, ctx.Request.Body(), resp.status, status)
	return resp
}

// submit sends a submission to a node.
func (tc *testCluster) submit(i int, job any) response {
	return tc.call(i, "POST", wire.PathJobs, job)
}

// submitUntilAccepted repeats a submission until it is accepted, and waits after each
// attempt.
func (tc *testCluster) submitUntilAccepted(i int, job map[string]any, wait time.Duration) {
	for accepted := false; !accepted; time.Sleep(wait) {
		accepted = tc.submit(i, job).accepted()
	}
}

// cancel asks a node to cancel a job.
func (tc *testCluster) cancel(i, job int) response {
	return tc.call(i, "POST", cancelPath(job), nil)
}

// jobStatus asks a node for the status of a job.
func (tc *testCluster) jobStatus(i, job int) response {
	return tc.call(i, "GET", jobPath(job), nil)
}

// sendHeartbeat sends a worker's heartbeat to a node.
func (tc *testCluster) sendHeartbeat(i int, heartbeat *wire.Heartbeat) response {
	return tc.call(i, "POST", wire.PathHeartbeat, heartbeat)
}

// deliverHeartbeat sends a worker's heartbeat to the node with the given name. The fleet's
// workers use it as standin.Fleet.DeliverHeartbeat.
func (tc *testCluster) deliverHeartbeat(name string, heartbeat *wire.Heartbeat) standin.HeartbeatResponse {
	tc.recordHeartbeat(heartbeat)
	resp := tc.sendHeartbeat(slices.IndexFunc(tc.nodes, func(n *node) bool { return n.name == name }), heartbeat)
	if resp.status == 0 {
		return standin.HeartbeatResponse{}
	}
	reply := &wire.HeartbeatReply{}
	var notLeader wire.NotLeaderReply
	_ = json.Unmarshal(resp.body, reply) // the type of the body depends on the status
	_ = json.Unmarshal(resp.body, &notLeader)
	return standin.HeartbeatResponse{Status: resp.status, Reply: reply, Redirect: notLeader.Leader}
}

// nodesAcceptingHeartbeats returns the nodes that accept a machine's heartbeats.
func (tc *testCluster) nodesAcceptingHeartbeats(machine string) (nodes []string) {
	for i, n := range tc.nodes {
		// The sequence number is outdated, so the heartbeat changes nothing.
		heartbeat := &wire.Heartbeat{Machine: machine, Address: machine, Type: "m", Zone: "z", Incarnation: 1, Seq: 1}
		if tc.sendHeartbeat(i, heartbeat).status == 200 {
			nodes = append(nodes, n.name)
		}
	}
	return nodes
}
