package remote

import (
	"testing"
	"time"

	"heronwick/internal/cluster/peerpb"
)

// One request at a time goes to a peer; the next waits by how the last was
// answered, and less where it is urgent.
func TestRequestsToOnePeerKeepApart(t *testing.T) {
	var throttle Throttle
	now := time.Unix(1000, 0)
	if !throttle.Allows("peer", false, now) {
		t.Error("the first request must wait")
	}
	throttle.Begin("peer")
	if throttle.Allows("peer", true, now.Add(time.Hour)) || !throttle.Allows("other", false, now) {
		t.Error("a request in flight does not hold up the next to this peer alone")
	}
	for outcome, wait := range map[Outcome][2]time.Duration{
		NoRoom:   {RetryAfter, retryUrgentAfter},
		Failed:   {retryFailedAfter, retryUrgentAfter},
		Progress: {retryProgressAfter, 0},
	} {
		throttle.Begin("peer")
		throttle.End("peer", outcome, now)
		for i, urgent := range []bool{false, true} {
			if !throttle.Allows("peer", urgent, now.Add(wait[i])) || throttle.Allows("peer", urgent, now.Add(wait[i]-1)) && wait[i] > 0 {
				t.Errorf("outcome %v, urgent %v: the next request does not wait for %v", outcome, urgent, wait[i])
			}
		}
	}
}

// A late copy of a request is told by the numbers of its attempts, which rise
// by peer.
func TestLateCopiesAreNotAccepted(t *testing.T) {
	var history RequestHistory
	request := func(node string, numbers ...uint64) *peerpb.PlaceRequest {
		wanted := &peerpb.Wanted{}
		for _, n := range numbers {
			wanted.Attempts = append(wanted.Attempts, &peerpb.Attempt{Task: "wk-1/0", Attempt: n})
		}
		return &peerpb.PlaceRequest{Node: node, Wanted: []*peerpb.Wanted{wanted}}
	}
	for _, step := range []struct {
		req  *peerpb.PlaceRequest
		want bool
	}{
		{request("a", 7, 8), true},
		{request("a", 7, 8), false},
		{request("a", 8, 9), false},
		{request("a", 9), true},
		{request("b", 7), true},
	} {
		if got := history.Accept(step.req); got != step.want {
			t.Errorf("%v: accepted %v", step.req, got)
		}
	}
}
