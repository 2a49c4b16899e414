package duty

import (
	"slices"
	"sync"

	"heronwick/wire"
)

// EventKind is the kind of a wire.DutyEvent: what happened to a duty or an intent. It is
// also part of a metric's name.
type EventKind string

// The kinds of events.
const (
	EventAcquired       EventKind = "acquired"   // a duty was acquired
	EventLost           EventKind = "lost"       // a duty was lost or resigned
	EventRefused        EventKind = "refused"    // an action or intent was refused because the duty was not held
	EventReturnRecorded EventKind = "condemned"  // an intent to return machines was recorded
	EventReturned       EventKind = "returned"   // machines were returned under an intent
	EventUnrecorded     EventKind = "unrecorded" // machines were returned without an intent
	EventRentalRecorded EventKind = "renting"    // an intent to rent was recorded
	EventRented         EventKind = "rented"     // the cloud responded to a request of an intent to rent
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
	maxEvents       = 2000              // maximum number of events in a History
	eventsAfterTrim = maxEvents * 3 / 4 // number of newest events kept when maxEvents is exceeded
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

// countRepeated counts an event without keeping it, because it repeats a recent one.
func (h *History) countRepeated(kind EventKind) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[kind]++
}

// Events returns the events that are kept, oldest first. The result is never nil.
func (h *History) Events() []wire.DutyEvent {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]wire.DutyEvent{}, h.events...)
}

// Count returns the number of events of a kind since the History was created.
func (h *History) Count(kind EventKind) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts[kind]
}
