package remote

import (
	"sync"

	"heronwick/internal/cluster/peerpb"
)

// RequestHistory records, by peer, the highest attempt number in the placement requests
// received so far, in order to reject delayed duplicates. The owner places a refused
// attempt elsewhere, so accepting a duplicate of its request later would run the task
// twice (the rule ran_twice). Requests are therefore recorded whatever the reply was,
// and also while no scheduler is running.
//
// The history need not outlive the process: requests that were sent to an earlier
// incarnation of it are older than the membership of the current one. The zero value is
// ready to use. The type is safe for concurrent use.
type RequestHistory struct {
	mu             sync.Mutex
	highestAttempt map[string]uint64 // by peer, the highest attempt number in its requests
}

// Accept records a request and returns true, or returns false if the request is a
// delayed duplicate. The attempt numbers of a peer increase, and the peer requests each
// attempt only once, so every attempt must have a higher number than all attempts in the
// peer's earlier requests.
func (h *RequestHistory) Accept(req *peerpb.PlaceRequest) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	previousHighest := h.highestAttempt[req.Node]
	highestAttempt := previousHighest
	for _, wanted := range req.Wanted {
		for _, attempt := range wanted.Attempts {
			if attempt.Attempt <= previousHighest {
				return false
			}
			highestAttempt = max(highestAttempt, attempt.Attempt)
		}
	}
	if h.highestAttempt == nil {
		h.highestAttempt = map[string]uint64{}
	}
	h.highestAttempt[req.Node] = highestAttempt
	return true
}
