package autoscale

import (
	"slices"
	"testing"
	"time"
)

// While there are jobs, idle machines are returned one by one and late; without
// any, all beyond the reserve, soon.
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
		{idle(keepWarm+1, keepWarm+2), true, nil}, // the reserve
		{idle(keepWarm+1, keepWarm+2, keepWarm), true, []string{(keepWarm + 2).String()}},
		{idle(keepWarm, keepWarm, keepWarm), true, nil},
		{idle(keepUnused, keepUnused+1, keepUnused+2, keepUnused+3), false, []string{(keepUnused + 3).String(), (keepUnused + 2).String()}},
		{idle(keepUnused, keepUnused, keepUnused), false, nil},
	} {
		if got := SurplusIdle(slices.Clone(test.idle), 2, func() bool { return test.jobs }, now); !slices.Equal(got, test.want) {
			t.Errorf("of %v with jobs %v: %v, want %v", test.idle, test.jobs, got, test.want)
		}
	}
}
