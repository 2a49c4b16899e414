package remote

import (
	"testing"

	"heronwick/internal/cluster/peerpb"
)

// Delayed duplicates of a request are recognized by their attempt numbers, which increase
// for each peer.
func TestDelayedDuplicatesAreRejected(t *testing.T) {
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
			t.Errorf("request %v: got accepted %v, want the opposite", step.req, got)
		}
	}
}
