package remote

import (
	"testing"
	"time"
)

// Only one request to a peer may be in flight. The delay before the next one depends on
// the outcome of the last, and is shorter for urgent requests.
func TestThrottleDelaysRequests(t *testing.T) {
	var throttle Throttle
	now := time.Unix(1000, 0)
	if !throttle.Allows("peer", false, now) {
		t.Error("the first request to a peer is not allowed at once")
	}
	throttle.Begin("peer")
	if throttle.Allows("peer", true, now.Add(time.Hour)) || !throttle.Allows("other", false, now) {
		t.Error("a request in flight must block further requests to the same peer, and no others")
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
				t.Errorf("outcome %v, urgent %v: the next request is not delayed by exactly %v", outcome, urgent, wait[i])
			}
		}
	}
}
