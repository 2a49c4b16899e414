package state

import (
	"testing"
	"time"
)

// Guards against a retried write that is sent after younger writes of its priority: what a
// transaction leaves in the queue is ordered by priority first, so the last write of the
// queue says nothing about those of another priority.
func TestRetriedWriteKeepsPositionAmongPriorities(t *testing.T) {
	start := time.Unix(1000, 0)
	write := func(p Priority, age time.Duration) *queuedWrite {
		return &queuedWrite{Write: Write{Priority: p, QueuedAt: start.Add(-age)}}
	}
	older, younger := write(Safety, 9*time.Second), write(Safety, time.Second)
	background := write(Background, 8*time.Second)
	q := writeQueue{writes: []*queuedWrite{older, younger, background}}
	retried := write(Safety, 5*time.Second)
	q.insert(retried)
	batch := q.takeBatch(16, 64)
	if len(batch) != 4 || batch[0] != older || batch[1] != retried || batch[2] != younger || batch[3] != background {
		t.Errorf("got %d writes in the wrong order, want the older one, the retried one, the younger one and the background one", len(batch))
	}
}
