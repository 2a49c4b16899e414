package queue

import (
	"testing"

	"heronwick/internal/config"
	"heronwick/wire"
)

// A task whose attempt was removed is queued again, ahead of the tasks that were
// never placed, unless it is done.
func TestNextTask(t *testing.T) {
	j := newTestJob("wk-1", 4, wire.PriorityNormal)
	for range 3 {
		index, _ := j.NextTask()
		j.Dequeue()
		j.AttemptAdded(index, "z")
	}
	j.Done.Add(0)
	j.AttemptRemoved(0, "z")
	j.AttemptRemoved(1, "z")
	for _, want := range []int{1, 3} {
		if index, ok := j.NextTask(); !ok || index != want {
			t.Errorf("got next task %d (%v), want %d", index, ok, want)
		}
		j.Dequeue()
		j.AttemptAdded(want, "z")
	}
	if index, ok := j.NextTask(); ok || j.Pending() != 0 || j.Zones["z"] != 3 {
		t.Errorf("got next task %d, %d pending tasks, %d attempts in the zone; want no next task, 0 pending, 3 attempts", index, j.Pending(), j.Zones["z"])
	}
}

// A team may use more than its guarantee, up to its limit.
func TestTeams(t *testing.T) {
	teams := newTeams(config.Team{Name: "ours", CPUs: 1, CPUsMax: 2})
	j := newTestJob("wk-1", 9, wire.PriorityNormal)
	for used, want := range []struct{ guaranteed, within, above bool }{{true, true, false}, {false, true, false}, {false, false, true}} {
		if guaranteed, within, above := teams.Guaranteed(j), teams.MayStart(j, 1), teams.AnyAboveGuarantee(); guaranteed != want.guaranteed ||
			within != want.within || above != want.above {
			t.Errorf("%d CPUs used: got guaranteed %v, within limit %v, above guarantee %v", used, guaranteed, within, above)
		}
		teams.Count(attemptKey(used), "ours", j.Size)
	}
}
