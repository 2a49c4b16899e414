package state_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"heronwick/internal/state"
)

// scriptedTransport returns the same result for every request and counts the
// requests.
type scriptedTransport struct {
	status int
	err    error
	calls  int
}

func (s *scriptedTransport) Do(context.Context, string, string, []byte) (state.Response, error) {
	s.calls++
	return state.Response{Status: s.status}, s.err
}

// A request that was not carried out is sent through a peer at once. One whose
// connection broke may have been carried out, so it is not sent again.
func TestFailoverOnlyOfUnsentRequests(t *testing.T) {
	ctx := context.Background()
	for _, test := range []struct {
		direct scriptedTransport
		want   int
	}{
		{scriptedTransport{err: fmt.Errorf("dialling: %w", state.ErrNotSent)}, 200},
		{scriptedTransport{status: 503}, 200},
		{scriptedTransport{err: errors.New("connection reset")}, 0},
	} {
		peer := &scriptedTransport{status: 200}
		failover := state.NewFailoverTransport(&test.direct, func() []state.Transport { return []state.Transport{peer} })
		response, err := failover.Do(ctx, "GET", "/", nil)
		if response.Status != test.want || (err != nil) != (test.want == 0) {
			t.Errorf("direct path %+v: got status %d, error %v; want status %d, or an error if that is 0", test.direct, response.Status, err, test.want)
		}
	}
	direct := &scriptedTransport{err: state.ErrNotSent}
	if response, err := state.NewFailoverTransport(direct, nil).Do(ctx, "GET", "/", nil); response.Status != 503 || err != nil {
		t.Errorf("without a peer: got status %d, error %v; want status 503", response.Status, err)
	}
}
