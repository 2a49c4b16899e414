package cluster

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// A controller logs at its start if the epoch with all configured teams is larger
// than a value of the store may be, because then no leader can be elected.
func TestOversizedEpochIsLoggedAtStart(t *testing.T) {
	for _, test := range []struct {
		teams, maxValue int
		logged          bool
	}{
		{40, 2 << 10, false},
		{80, 2 << 10, true},
		{80, 16 << 10, false},
	} {
		var log bytes.Buffer
		opts := Options{Node: "perch-0", Peers: map[string]PeerClient{"perch-1": nil, "perch-2": nil}, MaxValueBytes: test.maxValue,
			LeaseDuration: 10 * time.Second, CancelTimeout: time.Minute, Log: slog.New(slog.NewTextHandler(&log, nil))}
		for i := range test.teams {
			opts.Teams = append(opts.Teams, fmt.Sprintf("a-usual-team-%d", i))
		}
		New(opts)
		if logged := strings.Contains(log.String(), "epoch does not fit"); logged != test.logged {
			t.Errorf("%d teams, value limit %d bytes: got log %q, want a warning: %v", test.teams, test.maxValue, log.String(), test.logged)
		}
	}
}
