package cluster

import (
	"context"
	"testing"
	"time"

	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/job"
	"heronwick/wire"
)

// Replicate succeeds once every majority that can confirm an epoch includes a
// controller that knows the cancellation, or if there is only one member.
func TestReplicate(t *testing.T) {
	cancellation := job.Cancellation{Job: "wk-000001", Revision: 50, Outcome: job.Outcome{State: wire.JobCancelled, Tasks: 3}}
	withLeader(t, func(t *testing.T, c *leader) {
		expect := func(situation string, want bool) {
			t.Helper()
			start := time.Now()
			if err := c.Replicate(context.Background(), cancellation); (err == nil) != want || time.Since(start) > time.Second {
				t.Errorf("%s: got error %v after %v, want success %v within 1 s", situation, err, time.Since(start), want)
			}
		}
		expect("only one member", true)
		c.b.setStatus(1, true)
		c.d.setStatus(1, true)
		time.Sleep(3 * time.Second)
		expect("both peers answer", true)
		if toB, toD := c.b.received(), c.d.received(); len(toB) != 1 || len(toD) != 1 || toB[0].Job != cancellation.Job {
			t.Errorf("b received %v, d received %v, want the cancellation once each", toB, toD)
		}
		c.d.stopAnswering()
		expect("one peer answers", true)
		c.b.stopAnswering()
		expect("no peer answers", false)
		time.Sleep(5 * time.Second)
		expect("only one member again", true)
		c.b.setStatus(c.Token(), true)
		time.Sleep(3 * time.Second)
		c.b.stopAnswering()
		expect("the other member does not answer", false)
		c.b.updateStatus(func(s *peerpb.Status) { s.Token, s.Ready, s.JobsRevision = c.Token(), true, 50 })
		time.Sleep(1500 * time.Millisecond)
		c.b.stopAnswering()
		expect("the other member has reported the revision", true)
	})
}
