package duty

import (
	"slices"
	"sync"

	"heronwick/wire"
)

// EventKind says what happened to a duty or an intent. It is the Kind of a
// wire.DutyEvent and part of a metric's name.
type EventKind string

// The kinds of events.
const (
	EventAcquired       EventKind = "acquired"
	EventLost           EventKind = "lost"       // also when it was resigned
	EventRefused        EventKind = "refused"    // an action or intent, because the duty was not held
	EventReturnRecorded EventKind = "condemned"  // an intent to return machines was recorded
	EventReturned       EventKind = "returned"   // machines were returned under an intent
	EventUnrecorded     EventKind = "unrecorded" // machines were returned without an intent
	EventRentalRecorded EventKind = "renting"    // an intent to rent was recorded
	EventRented         EventKind = "rented"     // a request of an intent to rent was answered
	EventClosed         EventKind = "closed"     // an intent was removed
)

// EventKinds lists the kinds of events.
func EventKinds() []EventKind {
	return []EventKind{
		EventAcquired, EventLost, EventRefused,
		EventReturnRecorded, EventReturned, EventUnrecorded,
		EventRentalRecorded, EventRented, EventClosed,
	}
}

const (
	maxEvents       = 2000              // events that a History keeps at most
	eventsAfterTrim = maxEvents * 3 / 4 // events that are kept when that is exceeded
)

// History keeps the most recent events of this controller and counts all of them by kind.
// It is safe for concurrent use.
type History struct {
	mu     sync.Mutex
	events []wire.DutyEvent
	counts map[EventKind]int
}

// NewHistory returns an empty History.
func NewHistory() *History { return &History{counts: map[EventKind]int{}} }

// add keeps and counts an event.
func (h *History) add(event wire.DutyEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[EventKind(event.Kind)]++
	if h.events = append(h.events, event); len(h.events) > maxEvents {
		h.events = slices.Delete(h.events, 0, len(h.events)-eventsAfterTrim)
	}
}

// countRepeated counts an event without keeping it, since it repeats a recent one.
func (h *History) countRepeated(kind EventKind) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[kind]++
}

// Events returns the events that are kept, the oldest first; it is never nil.
func (h *History) Events() []wire.DutyEvent {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]wire.DutyEvent{}, h.events...)
}

// Count returns how many events of a kind there were since the History was made.
func (h *History) Count(kind EventKind) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts[kind]
}
