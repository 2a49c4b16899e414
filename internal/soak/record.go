package soak

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// record is the log of a run: what was done and when, one event a line.
type record struct {
	startedAt time.Time

	mu  sync.Mutex
	out io.Writer
}

func newRecord(out io.Writer) *record { return &record{startedAt: time.Now(), out: out} }

// event writes an event with the time since the start of the run.
func (r *record) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}
