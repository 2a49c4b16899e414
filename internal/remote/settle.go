package remote

import "heronwick/internal/cluster/peerpb"

// maxSettled bounds the attempts of one settle request: all of a large
// fleet in one would exceed what gRPC takes as a message, and hold the
// host's lock for long.
const maxSettled = 8192

// SettleRequests are the requests by which a controller asks the hosts of its
// remote attempts what became of them, as many for each host as it takes.
type SettleRequests struct {
	node   string
	token  uint64
	byHost map[string][]*peerpb.SettleRequest
}

// NewSettleRequests returns requests of the controller node under a fencing
// token, without any attempts.
func NewSettleRequests(node string, token uint64) *SettleRequests {
	return &SettleRequests{node: node, token: token, byHost: map[string][]*peerpb.SettleRequest{}}
}

// ByHost returns the requests by host.
func (r *SettleRequests) ByHost() map[string][]*peerpb.SettleRequest { return r.byHost }

// Add asks the attempt's host about it, or, if it exited and its end is
// recorded, tells the host so. About one that exited and is not recorded yet
// there is nothing to ask.
func (r *SettleRequests) Add(a *Attempt, recorded bool) {
	req := r.requestFor(a.Host, a.HostSince)
	switch {
	case !a.Exited():
		req.Attempts = append(req.Attempts, messageOf(a.Key))
	case recorded:
		req.Handled = append(req.Handled, messageOf(a.Key))
	}
}

// requestFor returns the host's last request, or a new one if that is full.
func (r *SettleRequests) requestFor(host string, since uint64) *peerpb.SettleRequest {
	requests := r.byHost[host]
	if len(requests) > 0 {
		last := requests[len(requests)-1]
		if len(last.Attempts)+len(last.Handled) < maxSettled {
			return last
		}
	}
	req := &peerpb.SettleRequest{Node: r.node, Token: r.token, Since: since}
	r.byHost[host] = append(requests, req)
	return req
}

// AttemptNumbers returns the numbers of all attempts that a settle request
// names. Only the tasks of a gang share a number.
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
