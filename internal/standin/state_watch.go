package standin

import (
	"cmp"
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"heronwick/internal/state"
	"heronwick/internal/wait"
	"heronwick/wire"
)

// watch serves a watch request: it returns the events after a revision, or none after the
// requested wait time. While its node is rejected or the store has an outage, the request
// stays open without events.
func (s *State) watch(ctx context.Context, node string, query url.Values) (state.Response, error) {
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	milliseconds, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.NewTimer(time.Duration(milliseconds) * time.Millisecond)
	defer timeout.Stop()
	for {
		found, changed := s.eventsSince(after, node, query.Get("under"))
		if len(found.Events) > 0 {
			s.mu.Lock()
			delay := s.watchDelays[watchKey{node, query.Get("under")}]
			s.mu.Unlock()
			wait.Sleep(ctx, delay)
			return state.Response{Status: http.StatusOK, Body: encode(found)}, nil
		}
		select {
		case <-ctx.Done():
			return state.Response{}, ctx.Err()
		case <-timeout.C:
			return state.Response{Status: http.StatusOK, Body: encode(wire.Events{Revision: after, Events: []wire.Event{}})}, nil
		case <-changed:
		}
	}
}

// eventsSince returns the events after a revision whose keys begin with a prefix, and a
// channel that is closed at the next change. There are no events for a rejected node or during
// an outage.
func (s *State) eventsSince(after uint64, node, prefix string) (found wire.Events, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Requests++
	found.Revision = s.revision
	if s.outage || s.rejectedNodes[node] {
		return found, s.changed
	}
	first, _ := slices.BinarySearchFunc(s.events, after+1, func(event wire.Event, version uint64) int { return cmp.Compare(event.Version, version) })
	for _, event := range s.events[first:] {
		if strings.HasPrefix(event.Put+event.Delete, prefix) {
			found.Events = append(found.Events, event)
		}
	}
	return found, s.changed
}
