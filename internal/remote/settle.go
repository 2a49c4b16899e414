package remote

import "heronwick/internal/cluster/peerpb"

// maxAttemptsPerSettleRequest limits the size of one settle request. A request for all
// attempts of a large fleet would exceed gRPC's maximum message size and hold the host's
// lock for long.
const maxAttemptsPerSettleRequest = 8192

// SettleRequests collects the requests by which a controller asks the hosts of its
// remote attempts for the attempts' states. A host gets several requests if its
// attempts do not fit into one.
type SettleRequests struct {
	node   string
	token  uint64
	byHost map[string][]*peerpb.SettleRequest
}

// NewSettleRequests returns an empty collection of requests, to be sent by the
// controller node under the fencing token.
func NewSettleRequests(node string, token uint64) *SettleRequests {
	return &SettleRequests{node: node, token: token, byHost: map[string][]*peerpb.SettleRequest{}}
}

// ByHost returns the requests by host.
func (r *SettleRequests) ByHost() map[string][]*peerpb.SettleRequest { return r.byHost }

// Add adds an attempt to a request to its host. If the attempt has not exited, the
// request asks for its state. If it has exited and its end is recorded, the request
// reports it as handled. If it has exited but its end is not recorded yet, there is
// nothing to ask or report, and the attempt is left out.
func (r *SettleRequests) Add(a *Attempt, recorded bool) {
	req := r.requestFor(a.Host, a.HostSince)
	switch {
	case !a.Exited():
		req.Attempts = append(req.Attempts, attemptMessage(a.Key))
	case recorded:
		req.Handled = append(req.Handled, attemptMessage(a.Key))
	}
}

// requestFor returns the last request to the host, or a new one if there is none or the
// last one is full.
func (r *SettleRequests) requestFor(host string, since uint64) *peerpb.SettleRequest {
	requests := r.byHost[host]
	if len(requests) > 0 {
		last := requests[len(requests)-1]
		if len(last.Attempts)+len(last.Handled) < maxAttemptsPerSettleRequest {
			return last
		}
	}
	req := &peerpb.SettleRequest{Node: r.node, Token: r.token, Since: since}
	r.byHost[host] = append(requests, req)
	return req
}

// AttemptNumbers returns the numbers of all attempts in a settle request. Several
// attempts have the same number only if they belong to one gang.
func AttemptNumbers(req *peerpb.SettleRequest) map[uint64]bool {
	numbers := make(map[uint64]bool, len(req.Attempts)+len(req.Handled))
	for _, attempt := range req.Attempts {
		numbers[attempt.Attempt] = true
	}
	for _, attempt := range req.Handled {
		numbers[attempt.Attempt] = true
	}
	return numbers
}
