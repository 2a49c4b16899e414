package remote

import "time"

const (
	// RetryAfter is the delay before the next placement request to a peer that had no
	// room.
	RetryAfter = 400 * time.Millisecond
	// retryUrgentAfter is the delay before the next urgent placement request to a peer
	// that had no room or did not reply.
	retryUrgentAfter = 100 * time.Millisecond
	// retryFailedAfter is the delay before the next placement request to a peer that did
	// not reply.
	retryFailedAfter = time.Second
	// retryProgressAfter is the delay before the next placement request to a peer that
	// had or is making room.
	retryProgressAfter = 50 * time.Millisecond
)

// Outcome is the result of a placement request to a peer.
type Outcome int

const (
	// NoRoom means that the peer accepted no task.
	NoRoom Outcome = iota
	// Failed means that the peer did not reply.
	Failed
	// Progress means that the peer accepted tasks, is handing over machines or is making
	// room.
	Progress
)

// Throttle limits the placement requests to each peer to one at a time, with a delay
// between them that depends on the last outcome. The zero value is ready to use.
type Throttle struct{ peers map[string]*peerState }

// peerState holds when the next placement request may be sent to one peer.
type peerState struct {
	inFlight        bool
	notBefore       time.Time // earliest time of the next request, unless it is urgent
	urgentNotBefore time.Time // earliest time of the next request, urgent or not
}

// peer returns the state of a peer, adding it if it is missing.
func (t *Throttle) peer(node string) *peerState {
	if t.peers == nil {
		t.peers = map[string]*peerState{}
	}
	p := t.peers[node]
	if p == nil {
		p = &peerState{}
		t.peers[node] = p
	}
	return p
}

// Allows reports whether a placement request may be sent to the peer now. urgent is
// whether the request is for urgent tasks, for which the delays are shorter.
func (t *Throttle) Allows(node string, urgent bool, now time.Time) bool {
	p := t.peer(node)
	return !p.inFlight && (urgent || !now.Before(p.notBefore)) && !now.Before(p.urgentNotBefore)
}

// Begin records that a request is being sent to the peer.
func (t *Throttle) Begin(node string) { t.peer(node).inFlight = true }

// End records the outcome of the request to the peer.
func (t *Throttle) End(node string, outcome Outcome, now time.Time) {
	p := t.peer(node)
	p.inFlight = false
	switch outcome {
	case NoRoom:
		p.notBefore, p.urgentNotBefore = now.Add(RetryAfter), now.Add(retryUrgentAfter)
	case Failed:
		p.notBefore, p.urgentNotBefore = now.Add(retryFailedAfter), now.Add(retryUrgentAfter)
	case Progress:
		p.notBefore, p.urgentNotBefore = now.Add(retryProgressAfter), now
	}
}
