package scheduler

import (
	"fmt"
	"testing"
	"time"

	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/fleet"
	"heronwick/internal/placement"
	"heronwick/wire"
)

// One controller rents machines for all. Tasks that wait at other schedulers count in
// full, not only the few that this one is currently requested to place, and the
// reserve is filled at once. Before, only two machines per second were rented while
// thousands of tasks waited.
func TestRentsForAllQueuedTasks(t *testing.T) {
	s, p := newLargeScheduler(40)
	for _, m := range s.machines {
		m.Add(&fleet.Attempt{Key: fleet.Key{Task: m.Name + "/0", Attempt: 1}, SizeKnown: true, Size: placement.Resources{CPUs: 16}}, time.Now())
	}
	for i := range 20 {
		id := fmt.Sprintf("wk-%d", i)
		p.add(id, "theirs", wire.PriorityNormal, 50, 8)
		p.wants = append(p.wants, &peerpb.Want{Job: id, Tasks: 4})
	}
	count := func() (n int) {
		for _, r := range s.rentRequestsLocked(time.Now()) {
			n += r.Count
		}
		return n
	}
	if n := count(); n < 40 {
		t.Errorf("got %d machines rented for 80 tasks that take half of one each, want at least 40", n)
	}
	p.wants = nil
	if n := count(); n != 10 {
		t.Errorf("got %d machines rented as the reserve for 40 full machines, want 10", n)
	}
}
