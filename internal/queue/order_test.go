package queue

import (
	"testing"
	"time"

	"heronwick/internal/job"
	"heronwick/wire"
)

// newTestJob returns a ready job of a team without a guarantee. Each of its tasks
// takes an eighth of a machine.
func newTestJob(id string, tasks int, priority wire.Priority) *Job {
	r := &job.Record{Job: wire.Job{ID: id, Team: "ours", Kind: wire.KindArray, Priority: priority, Tasks: tasks, CPUs: 1}}
	j := NewJob(r, nil, map[string]*wire.MachineType{"m": {Name: "m", CPUs: 8, MemoryGB: 32}})
	j.SetReadiness(job.Readiness{EffectivePriority: job.EffectivePriority{Rank: priority.Rank()}, Ready: true})
	return j
}

// Among jobs that can still finish in time, the least remaining work comes first;
// late jobs come last, except those that have not started for too long.
func TestSort(t *testing.T) {
	now := time.Now()
	newJob := func(id string, tasks int, age time.Duration, priority wire.Priority) *Job {
		j := newTestJob(id, tasks, priority)
		j.EligibleAt = now.Add(-age)
		return j
	}
	jobs := []*Job{
		newJob("wk-1", 9, 0, wire.PriorityNormal),
		newJob("wk-2", 2, 0, wire.PriorityNormal),
		newJob("wk-3", 1, 2*time.Minute, wire.PriorityNormal),
		newJob("wk-4", 50, 0, wire.PriorityProd),
		newJob("wk-5", 99, time.Hour, wire.PriorityNormal),
	}
	entries := Sort(jobs, newTeams(), now)
	for i, want := range []string{"wk-4", "wk-5", "wk-2", "wk-1", "wk-3"} {
		if jobs[i].Record.Job.ID != want {
			t.Errorf("position %d: got %s, want %s", i, jobs[i].Record.Job.ID, want)
		}
		if entries[i].Job != jobs[i] {
			t.Errorf("position %d: the entry belongs to %s, want the job at the same position", i, entries[i].Job.Record.Job.ID)
		}
	}
}
