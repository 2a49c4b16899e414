package scheduler

import "heronwick/internal/state"

// releaseNotices are the released machines of which the other controllers are
// still to be told: none may take one for a machine that is there. The
// scheduler's lock guards them.
type releaseNotices struct {
	pending []string
	sending bool // a batch of them is being written
}

// noticeSyntax is what a machine's name takes of a transfer beside itself.
const noticeSyntax = len(`"":null,`)

// batch returns as many of the pending names as one write of limit bytes holds.
func (n *releaseNotices) batch(limit int) []string {
	return n.pending[:state.NamesThatFit(n.pending, 0, noticeSyntax, limit)]
}
