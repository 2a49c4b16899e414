package fleet

import (
	"container/heap"
	"time"
)

// modelEvent is something that happens at a time. Events at the same time happen in the
// order in which they were added.
type modelEvent struct {
	at     time.Time
	serial int
	happen func()
}

type modelEvents struct {
	queue  []modelEvent
	serial int
}

func (e *modelEvents) Len() int { return len(e.queue) }
func (e *modelEvents) Less(i, j int) bool {
	a, b := &e.queue[i], &e.queue[j]
	return a.at.Before(b.at) || a.at.Equal(b.at) && a.serial < b.serial
}
func (e *modelEvents) Swap(i, j int) { e.queue[i], e.queue[j] = e.queue[j], e.queue[i] }
func (e *modelEvents) Push(x any)    { e.queue = append(e.queue, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	last := e.queue[len(e.queue)-1]
	e.queue = e.queue[:len(e.queue)-1]
	return last
}

func (m *model) after(delay time.Duration, happen func()) {
	m.events.serial++
	heap.Push(&m.events, modelEvent{m.now.Add(delay), m.events.serial, happen})
}
