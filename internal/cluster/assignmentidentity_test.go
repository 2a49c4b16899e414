package cluster

import (
	"encoding/json"
	"testing"
	"time"

	"heronwick/internal/cluster/peerpb"
)

// Guards against ran_twice: an epoch with the members and teams of an earlier one has another
// assignment if others lay between, and the same one only if its writer left it unchanged.
func TestAssignmentIsNamedByItsWriter(t *testing.T) {
	withLeader(t, func(t *testing.T, c *leader) {
		first := c.View()
		if err := c.AdvanceEpoch(t.Context()); err != nil {
			t.Fatal(err)
		}
		incremented := c.View().Epoch
		if incremented.Token == first.Epoch.Token || incremented.Assignment != first.Epoch.Assignment {
			t.Errorf("token %d incremented: got assignment %+v, want it unchanged from %+v", incremented.Token, incremented.Assignment, first.Epoch.Assignment)
		}
		if incremented.Assignment.Version != first.Condition.Version {
			t.Errorf("got version %d of the assignment, want %d, that of the epoch that began it", incremented.Assignment.Version, first.Condition.Version)
		}
		c.b.setStatus(incremented.Token, true)
		time.Sleep(2 * time.Second)
		joined := c.View().Epoch
		if len(joined.Members) != 2 || joined.Assignment.Previous != first.Epoch.Assignment.Token {
			t.Fatalf("a member joined: got epoch %+v, want an assignment that succeeds %+v", joined, first.Epoch.Assignment)
		}
		c.b.updateStatus(func(s *peerpb.Status) { s.Incarnation, s.Token, s.Ready = 8, 0, false })
		time.Sleep(2 * time.Second)
		left := c.View().Epoch
		if len(left.Members) != 1 || left.Assignment.Succeeds(first.Epoch.Assignment) || !left.Assignment.Succeeds(joined.Assignment) {
			t.Errorf("the member left: got epoch %+v, want an assignment that succeeds only %+v", left, joined.Assignment)
		}
	})
}

// An epoch without an assignment, from a version of the software that knows none, counts as
// a new assignment that succeeds no known one.
func TestEpochWithoutAssignmentChangesIt(t *testing.T) {
	var epoch Epoch
	if err := json.Unmarshal([]byte(`{"token":9,"leader":"a","incarnation":1,"members":{},"teams":{}}`), &epoch); err != nil {
		t.Fatal(err)
	}
	epoch.Assignment = epoch.assignmentAt(70)
	if epoch.Assignment != (Assignment{Token: 9, Version: 70}) || epoch.Assignment.Succeeds(Assignment{Token: 8, Version: 60}) {
		t.Errorf("got assignment %+v, want one of its own that succeeds no other", epoch.Assignment)
	}
	next := epoch.next()
	if assignment := next.assignmentAt(80); assignment != epoch.Assignment {
		t.Errorf("got assignment %+v after an increment of the token, want %+v", assignment, epoch.Assignment)
	}
}
