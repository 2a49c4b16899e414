package queue

import (
	"log/slog"
	"strconv"
	"testing"

	"heronwick/internal/config"
	"heronwick/internal/fleet"
	"heronwick/internal/job"
	"heronwick/internal/placement"
	"heronwick/internal/quota"
	"heronwick/wire"
)

// newTeams returns teams that use nothing yet.
func newTeams(settings ...config.Team) *Teams {
	teams := &Teams{quota.NewLedger(settings, slog.New(slog.DiscardHandler))}
	teams.SetBasis(quota.Basis{Token: 1, Assignment: 1, Revision: 1})
	return teams
}

// attemptKey returns the key of the n-th attempt of a test.
func attemptKey(n int) fleet.Key { return fleet.Key{Task: "wk-1/" + strconv.Itoa(n), Attempt: 1} }

// teamJob returns a job of team "ours" with tasks of the given sizes in CPUs and GPUs.
func teamJob(cpus, gpus float64) *Job {
	return &Job{Record: &job.Record{Job: wire.Job{ID: "wk-1", Team: "ours"}}, Size: placement.Resources{CPUs: cpus, GPUs: gpus}}
}

// Guards against a team that is refused the last task within its limit, or gets one beyond
// it, because floating-point sums of decimal amounts are off, before and after a long time
// of tasks that start and end.
func TestLimitIsExactForDecimalAmounts(t *testing.T) {
	const rounds, tasksPerRound = 1000, 1000 // a million tasks, a thousand at a time
	keys := make([]fleet.Key, tasksPerRound)
	for i := range keys {
		keys[i] = attemptKey(i)
	}
	for _, test := range []struct {
		size, limit float64
		tasks       int // that fit within the limit
	}{
		{0.1, 0.3, 3}, {0.1, 1, 10}, {0.7, 2.1, 3}, {1.1, 3.3, 3}, {0.3, 0.9, 3}, {1e-6, 3e-6, 3},
		{1.0 / 3, 1, 3}, {2.0 / 3, 2, 3}, {0.1, 0.29999, 2}, {4.35, 8.69, 1}, {0.1, 30000, 300_000},
	} {
		teams := newTeams(config.Team{Name: "ours", CPUsMax: test.limit, GPUsMax: test.limit})
		cpuJob, gpuJob := teamJob(test.size, 0), teamJob(0, test.size)
		check := func(when string) {
			t.Helper()
			for _, j := range []*Job{cpuJob, gpuJob} {
				if !teams.MayStart(j, test.tasks) || teams.MayStart(j, test.tasks+1) {
					t.Errorf("tasks of %v, limit %v, %s: got %d within the limit %v and one more %v, want true and false", test.size, test.limit,
						when, test.tasks, teams.MayStart(j, test.tasks), teams.MayStart(j, test.tasks+1))
				}
			}
		}
		check("at once")
		amounts := []float64{test.size, 0.1, 0.2, 0.7, 1.0 / 3, 2.35}
		for round := range rounds {
			for i, key := range keys {
				n := round + i
				teams.Count(key, "ours", placement.Resources{CPUs: amounts[n%len(amounts)], GPUs: amounts[(n+1)%len(amounts)]})
			}
			for _, key := range keys {
				teams.Release(key, "ours", quota.Exited)
			}
		}
		check("after a million tasks")
		for i := range test.tasks - 1 {
			teams.Count(attemptKey(i), "ours", cpuJob.Size)
		}
		if !teams.MayStart(cpuJob, 1) || teams.MayStart(cpuJob, 2) {
			t.Errorf("tasks of %v, limit %v, all but the last added: got the last within the limit %v and one more %v, want true and false",
				test.size, test.limit, teams.MayStart(cpuJob, 1), teams.MayStart(cpuJob, 2))
		}
	}
}

// A guarantee includes a sum of decimal amounts that equals it, and a team at its guarantee
// is not above it.
func TestGuaranteeIsExactForDecimalAmounts(t *testing.T) {
	teams := newTeams(config.Team{Name: "ours", CPUs: 0.3})
	j := teamJob(0.1, 0)
	for i := range 2 {
		teams.Count(attemptKey(i), "ours", j.Size)
	}
	if !teams.Guaranteed(j) {
		t.Error("got the third task of 0.1 CPUs beyond a guarantee of 0.3, want it within")
	}
	teams.Count(attemptKey(2), "ours", j.Size)
	if teams.AboveGuarantee("ours") || teams.Guaranteed(j) {
		t.Errorf("got 0.3 CPUs above the guarantee %v, a fourth task within %v, want false and false", teams.AboveGuarantee("ours"), teams.Guaranteed(j))
	}
	if teams.Count(attemptKey(3), "ours", j.Size); !teams.AboveGuarantee("ours") {
		t.Error("got 0.4 CPUs within a guarantee of 0.3, want them above")
	}
}

// Amounts beyond any fleet count as very large, not as negative.
func TestHugeAmountsDoNotOverflow(t *testing.T) {
	teams := newTeams(config.Team{Name: "ours", CPUsMax: 1e12}, config.Team{Name: "small", CPUsMax: 10})
	if !teams.MayStart(teamJob(4, 0), 100_000) {
		t.Error("got 400,000 CPUs beyond a limit of 1e12, want them within")
	}
	huge := teamJob(1e12, 0)
	huge.Record.Job.Team = "small"
	if teams.MayStart(huge, 100_000) {
		t.Error("got tasks of 1e12 CPUs within a limit of 10, want them beyond")
	}
}
