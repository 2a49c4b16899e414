package duty

import (
	"slices"
	"sync"
	"time"
)

// EventKind says what happened to a duty or an intent.
type EventKind string

// The kinds of events.
const (
	EventAcquired   EventKind = "acquired"
	EventLost       EventKind = "lost"
	EventRefused    EventKind = "refused"    // an action or its intent, since the duty was not held
	EventCondemned  EventKind = "condemned"  // an intent to return machines is recorded
	EventReturned   EventKind = "returned"   // and was carried out
	EventUnrecorded EventKind = "unrecorded" // machines returned without an intent
	EventRenting    EventKind = "renting"    // an intent to rent is recorded
	EventRented     EventKind = "rented"     // a request of it was answered
	EventClosed     EventKind = "closed"     // an intent was removed
)

// Kinds lists the kinds of events.
func Kinds() []EventKind {
	return []EventKind{EventAcquired, EventLost, EventRefused, EventCondemned, EventReturned, EventUnrecorded, EventRenting, EventRented, EventClosed}
}

// Event is one entry of a controller's history.
type Event struct {
	At    time.Time
	Kind  EventKind
	Duty  string
	Node  string
	Token uint64
	Count int // of machines or requests
	Took  time.Duration
}

// maxEvents bounds a controller's history.
const maxEvents = 2000

// History keeps the last events of this controller, and counts all.
type History struct {
	mu     sync.Mutex
	events []Event
	counts map[EventKind]int
}

// NewHistory makes an empty History.
func NewHistory() *History { return &History{counts: map[EventKind]int{}} }

func (h *History) add(e Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[e.Kind]++
	if h.events = append(h.events, e); len(h.events) > maxEvents {
		h.events = slices.Delete(h.events, 0, len(h.events)-maxEvents*3/4)
	}
}

// count counts an event that is like one kept a moment ago.
func (h *History) count(kind EventKind) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[kind]++
}

// Events returns the last events, the oldest first.
func (h *History) Events() []Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.events)
}

// Count returns how many events of a kind there were.
func (h *History) Count(kind EventKind) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts[kind]
}
