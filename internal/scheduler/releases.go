package scheduler

import (
	"context"
	"encoding/json"
	"time"

	"heronwick/internal/state"
	"heronwick/internal/wait"
)

// announceRetryAfter is how long after a batch could not be written the next
// one is.
const announceRetryAfter = 500 * time.Millisecond

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

// announceReleasesLocked tells the other controllers which machines are
// released, many in one write.
func (s *Scheduler) announceReleasesLocked() {
	if s.notices.sending || len(s.notices.pending) == 0 || !s.loaded {
		return
	}
	s.notices.sending = true
	names := s.notices.batch(s.valueLimit.Bytes())
	machines := map[string]json.RawMessage{}
	for _, name := range names {
		machines[name] = json.RawMessage("null")
	}
	s.goDo(func(ctx context.Context) {
		err := s.transfer(ctx, "", machines, state.Background)
		if err != nil {
			wait.Sleep(ctx, announceRetryAfter)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.notices.sending = false
		if err == nil {
			s.notices.pending = s.notices.pending[len(names):]
		}
	})
}
