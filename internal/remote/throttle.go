package remote

import "time"

const (
	// RetryAfter is how soon a peer without room gets another placement request.
	RetryAfter = 400 * time.Millisecond
	// retryUrgentAfter is how soon it gets one for what is urgent.
	retryUrgentAfter = 100 * time.Millisecond
	// retryFailedAfter is how soon a peer that did not answer gets another.
	retryFailedAfter = time.Second
	// retryProgressAfter is how soon a peer that had or makes room gets another.
	retryProgressAfter = 50 * time.Millisecond
)

// Outcome is how a peer answered a placement request.
type Outcome int

const (
	// NoRoom means that the peer took nothing.
	NoRoom Outcome = iota
	// Failed means that there was no answer.
	Failed
	// Progress means that the peer took tasks, hands over machines or makes room.
	Progress
)

// Throttle allows one placement request at a time to each peer, and keeps them
// apart by how the last one was answered. The zero value is ready to use.
type Throttle struct{ peers map[string]*peerState }

// peerState is when one peer may get the next placement request.
type peerState struct {
	inFlight   bool
	next       time.Time // not before then
	nextUrgent time.Time // not before then for what is urgent
}

// peer returns the state of a peer, which it adds if need be.
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

// Allows reports whether a peer may get a placement request now.
func (t *Throttle) Allows(node string, urgent bool, now time.Time) bool {
	p := t.peer(node)
	return !p.inFlight && (urgent || !now.Before(p.next)) && !now.Before(p.nextUrgent)
}

// Begin notes that a request goes out to a peer.
func (t *Throttle) Begin(node string) { t.peer(node).inFlight = true }

// End notes how the request to a peer ended.
func (t *Throttle) End(node string, outcome Outcome, now time.Time) {
	p := t.peer(node)
	p.inFlight = false
	switch outcome {
	case NoRoom:
		p.next, p.nextUrgent = now.Add(RetryAfter), now.Add(retryUrgentAfter)
	case Failed:
		p.next, p.nextUrgent = now.Add(retryFailedAfter), now.Add(retryUrgentAfter)
	case Progress:
		p.next, p.nextUrgent = now.Add(retryProgressAfter), now
	}
}
