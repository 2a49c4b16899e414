package preemption

import (
	"slices"
	"testing"
	"time"

	"heronwick/internal/fleet"
	"heronwick/internal/placement"
	"heronwick/wire"
)

var now = time.Unix(1000, 0)

// fullMachine returns a machine of two CPUs with tasks of one CPU each, of rank 2 and
// team "above". ran holds, for each task, how many seconds it has been running.
func fullMachine(name string, ran ...int) *fleet.Machine {
	m := fleet.NewMachine(name)
	m.Type = &wire.MachineType{CPUs: 2}
	for i, seconds := range ran {
		a := &fleet.Attempt{Key: fleet.Key{Task: wire.TaskID(name, i), Attempt: 1}, Team: "above", Rank: 2,
			Size: placement.Resources{CPUs: 1}, SizeKnown: true, RunningSince: now.Add(-time.Duration(seconds) * time.Second)}
		m.Add(a, now)
	}
	return m
}

// Choose selects the machine on which the least work is lost, and on it the tasks that
// lose the least.
func TestLeastWorkIsLost(t *testing.T) {
	old, young := fullMachine("old", 90, 60), fullMachine("young", 70, 50)
	machines := slices.Values([]*fleet.Machine{old, young})
	for cpus, cost := range map[float64]float64{1: imageFetchCostS + 51, 2: imageFetchCostS + 51 + 71} {
		plan := Choose(&Request{Size: placement.Resources{CPUs: cpus}, Rank: 1}, machines, now)
		if plan == nil || plan.Machine != young || plan.Cost != cost || len(plan.Victims) != int(cpus) || plan.Victims[0] != young.Attempts.All()[1] {
			t.Errorf("%v CPUs: got plan %+v, want the tasks on machine young that lose the least work, at a cost of %v", cpus, plan, cost)
		}
	}
	if plan := Choose(&Request{Size: placement.Resources{CPUs: 3}, Rank: 1}, machines, now); plan != nil {
		t.Errorf("got victims %v for a task that does not fit on the empty machine, want no plan", plan.Victims)
	}
}

// A task may preempt tasks of lower priority. Otherwise, only a task within its team's
// guarantee may preempt a task of another team that is above its guarantee, but no
// hosted task.
func TestMayPreempt(t *testing.T) {
	m := fullMachine("m", 1, 1)
	above := func(team string) bool { return team == "above" }
	below := func(string) bool { return false }
	for _, test := range []struct {
		name   string
		req    Request
		hosted bool
		want   bool
	}{
		{"higher priority", Request{Rank: 1}, true, true},
		{"equal priority", Request{Rank: 2, AboveGuarantee: above}, false, false},
		{"within guarantee", Request{Rank: 3, Guaranteed: true, AboveGuarantee: above}, false, true},
		{"within guarantee, hosted victim", Request{Rank: 3, Guaranteed: true, AboveGuarantee: above}, true, false},
		{"within guarantee, same team", Request{Rank: 3, Guaranteed: true, Team: "above", AboveGuarantee: above}, false, false},
		{"within guarantee, victim's team within guarantee", Request{Rank: 3, Guaranteed: true, AboveGuarantee: below}, false, false},
	} {
		victim := m.Attempts.All()[0]
		victim.Hosted = test.hosted
		if got := test.req.mayPreempt(victim); got != test.want {
			t.Errorf("%s: got %v, want the opposite", test.name, got)
		}
	}
}
