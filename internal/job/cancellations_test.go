package job

import (
	"fmt"
	"testing"
	"time"
)

// The log returns all cancellations after a revision, or its base shows that some are
// missing because expired and excess entries were dropped.
func TestCancellationLogBaseCoversDroppedEntries(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name        string
		every       time.Duration
		cancelled   int
		first, base uint64 // revision of the first entry, and the base
	}{
		{"below the limit", time.Millisecond, 10, 1, 0},
		{"at the limit", time.Millisecond, maxCancellations, 1, 0},
		{"above the limit", time.Millisecond, maxCancellations + 5, 6, 5},
		{"expired entries", cancellationRetention / 2, 10, 8, 7},
	} {
		var log cancellationLog
		for i := range test.cancelled {
			log.add(Cancellation{Job: fmt.Sprint(i), Revision: uint64(i + 1)}, now.Add(time.Duration(i)*test.every))
		}
		last := uint64(test.cancelled)
		recent := log.after(0)
		if uint64(len(recent)) != last-test.first+1 || recent[0].Revision != test.first || log.base != test.base {
			t.Errorf("%s: got %d entries, first revision %d, base %d; want all from revision %d, base %d", test.name, len(recent), recent[0].Revision, log.base, test.first, test.base)
		}
		if recent := log.after(last - 1); len(recent) != 1 || recent[0].Revision != last {
			t.Errorf("%s: got entries %v after the second to last revision, want only the last entry", test.name, recent)
		}
	}
}
