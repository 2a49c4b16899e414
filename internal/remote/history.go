package remote

import (
	"sync"

	"heronwick/internal/cluster/peerpb"
)

// RequestHistory remembers, by peer, the newest attempt that a placement
// request has named, however it was answered and whether a scheduler was
// running: what was refused is placed elsewhere, and a late copy must not be
// taken then (ran_twice). It lasts as long as the process; requests to an
// earlier incarnation are from before this one's membership. Its zero value
// is ready to use and it is safe for concurrent use.
type RequestHistory struct {
	mu     sync.Mutex
	newest map[string]uint64 // by peer, the newest attempt that it has requested
}

// Accept reports whether a request is no late copy: all attempts that it names
// must be newer than those of the peer's requests before, since their numbers
// rise and the peer requests each once. An accepted request is remembered.
func (h *RequestHistory) Accept(req *peerpb.PlaceRequest) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.newest[req.Node]
	newest := before
	for _, wanted := range req.Wanted {
		for _, attempt := range wanted.Attempts {
			if attempt.Attempt <= before {
				return false
			}
			newest = max(newest, attempt.Attempt)
		}
	}
	if h.newest == nil {
		h.newest = map[string]uint64{}
	}
	h.newest[req.Node] = newest
	return true
}
