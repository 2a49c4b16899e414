package autoscale

import (
	"slices"
	"testing"
	"time"
)

// While there are jobs, idle machines are returned one at a time and only after
// maxIdleTime. Without jobs, all idle machines beyond the reserve are returned after
// maxIdleTimeWithoutJobs.
func TestSurplusIdle(t *testing.T) {
	now := time.Unix(10_000, 0)
	idle := func(since ...time.Duration) (machines []IdleMachine) {
		for _, d := range since {
			machines = append(machines, IdleMachine{Name: d.String(), Since: now.Add(-d)})
		}
		return machines
	}
	for _, test := range []struct {
		idle []IdleMachine
		jobs bool
		want []string
	}{
		{idle(maxIdleTime+1, maxIdleTime+2), true, nil}, // no more than the reserve
		{idle(maxIdleTime+1, maxIdleTime+2, maxIdleTime), true, []string{(maxIdleTime + 2).String()}},
		{idle(maxIdleTime, maxIdleTime, maxIdleTime), true, nil},
		{idle(maxIdleTimeWithoutJobs, maxIdleTimeWithoutJobs+1, maxIdleTimeWithoutJobs+2, maxIdleTimeWithoutJobs+3), false, []string{(maxIdleTimeWithoutJobs + 3).String(), (maxIdleTimeWithoutJobs + 2).String()}},
		{idle(maxIdleTimeWithoutJobs, maxIdleTimeWithoutJobs, maxIdleTimeWithoutJobs), false, nil},
	} {
		if got := SurplusIdle(slices.Clone(test.idle), 2, func() bool { return test.jobs }, now); !slices.Equal(got, test.want) {
			t.Errorf("idle machines %v, jobs %v: got surplus %v, want %v", test.idle, test.jobs, got, test.want)
		}
	}
}
