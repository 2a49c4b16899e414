package job

import (
	"fmt"
	"testing"
	"time"
)

// Whoever asks for the cancellations after a revision is named all of them, or can
// tell from the base that some are missing: too old ones and too many are dropped.
func TestCancellationLogTellsWhatItHasDropped(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name        string
		every       time.Duration
		cancelled   int
		first, base uint64 // the first that is named, and the base
	}{
		{"few", time.Millisecond, 10, 1, 0},
		{"as many as may be", time.Millisecond, maxCancelled, 1, 0},
		{"too many", time.Millisecond, maxCancelled + 5, 6, 5},
		{"old ones", keepCancelled / 2, 10, 8, 7},
	} {
		var log cancellationLog
		for i := range test.cancelled {
			log.add(Cancellation{Job: fmt.Sprint(i), Revision: uint64(i + 1)}, now.Add(time.Duration(i)*test.every))
		}
		last := uint64(test.cancelled)
		named := log.after(0)
		if uint64(len(named)) != last-test.first+1 || named[0].Revision != test.first || log.base != test.base {
			t.Errorf("%s: %d named, from %d, base %d", test.name, len(named), named[0].Revision, log.base)
		}
		if named := log.after(last - 1); len(named) != 1 || named[0].Revision != last {
			t.Errorf("%s: after the last but one: %v", test.name, named)
		}
	}
}
