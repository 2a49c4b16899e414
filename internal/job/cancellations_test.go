package job

import (
	"fmt"
	"testing"
	"time"
)

// A request for the cancellations after a revision gets all of them, or shows by the
// base that some are missing: those that are too old or too many are dropped.
func TestCancellationLogBaseCoversDroppedEntries(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name        string
		every       time.Duration
		cancelled   int
		first, base uint64 // the first entry's revision, and the base
	}{
		{"few", time.Millisecond, 10, 1, 0},
		{"as many as may be", time.Millisecond, maxCancellations, 1, 0},
		{"too many", time.Millisecond, maxCancellations + 5, 6, 5},
		{"old ones", keepCancellations / 2, 10, 8, 7},
	} {
		var log cancellationLog
		for i := range test.cancelled {
			log.add(Cancellation{Job: fmt.Sprint(i), Revision: uint64(i + 1)}, now.Add(time.Duration(i)*test.every))
		}
		last := uint64(test.cancelled)
		recent := log.after(0)
		if uint64(len(recent)) != last-test.first+1 || recent[0].Revision != test.first || log.base != test.base {
			t.Errorf("%s: %d entries, from %d, base %d", test.name, len(recent), recent[0].Revision, log.base)
		}
		if recent := log.after(last - 1); len(recent) != 1 || recent[0].Revision != last {
			t.Errorf("%s: after the last but one: %v", test.name, recent)
		}
	}
}
