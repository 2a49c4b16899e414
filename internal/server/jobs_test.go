package server

import (
	"testing"

	"heronwick/internal/config"
	"heronwick/wire"
)

// Guards against a submission that is refused because the amounts of its tasks add up to
// more than its team's limit in floating point only, and against one beyond the limit that
// is accepted.
func TestSubmissionAtTeamLimit(t *testing.T) {
	s := newTestServer(func(opts *Options) {
		opts.Settings.Teams = []config.Team{{Name: "ours", CPUsMax: 0.3, GPUsMax: 2.1}}
	})
	for _, test := range []struct {
		kind       wire.Kind
		tasks      int
		cpus, gpus float64
		accepted   bool
	}{
		{wire.KindService, 3, 0.1, 0.7, true},
		{wire.KindService, 4, 0.1, 0, false},
		{wire.KindService, 4, 0, 0.7, false},
		{wire.KindService, 3, 0.1001, 0, false},
		{wire.KindArray, 1000, 0.3, 2.1, true},
		{wire.KindArray, 1000, 0.31, 0, false},
		{wire.KindService, 100_000, 1e12, 0, false},
	} {
		job := wire.Job{ID: "wk-1", Team: "ours", Kind: test.kind, Tasks: test.tasks, CPUs: test.cpus, GPUs: test.gpus}
		if err := s.checkTeam(&job); (err == nil) != test.accepted {
			t.Errorf("%+v: got error %v, want it accepted: %v", test, err, test.accepted)
		}
	}
}
