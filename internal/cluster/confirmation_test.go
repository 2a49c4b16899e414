package cluster

import (
	"testing"
	"time"

	"heronwick/internal/cluster/peerpb"
)

// During an outage of the store, a majority of controllers that knows no newer epoch
// confirms the current one. A peer that has not read the epoch since it started does
// not count, because it may have known a newer epoch before its restart.
func TestMajorityConfirmsDuringStoreOutage(t *testing.T) {
	for _, test := range []struct {
		name  string
		token uint64
		want  bool
	}{
		{"peer knows the epoch", 1, true},
		{"peer has not read the epoch", 0, false},
		{"peer knows a newer epoch", 9, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			withLeader(t, func(t *testing.T, c *leader) {
				c.service.SetOutage(true)
				c.b.setStatus(test.token, false)
				time.Sleep(10 * time.Second)
				if got := c.CanAnswerHeartbeats(); got != test.want {
					t.Errorf("can answer heartbeats: %v, want %v", got, test.want)
				}
			})
		})
	}
}

// A peer's response confirms the epoch only if this controller then knows every
// cancellation that was confirmed to a user before. This is the invariant of
// docs/design.md, "Cancelled means known".
func TestConfirmationRequiresKnownCancellations(t *testing.T) {
	cancelled := []*peerpb.Cancelled{{Job: "wk-000001", Revision: 50, Tasks: 3, Team: "red", Cpus: 2}}
	for _, test := range []struct {
		name         string
		updateStatus func(*peerpb.Status)
		want         bool
		learns       bool // this controller applies the cancellation
	}{
		{"peer sends all cancellations", func(s *peerpb.Status) { s.Cancelled = cancelled }, true, true},
		{"peer has not read the jobs since it started", func(s *peerpb.Status) { s.JobsRead, s.JobsBase = false, 0 }, false, false},
		{"peer cannot send cancellations from before its start", func(s *peerpb.Status) { s.JobsBase = 60 }, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			withLeader(t, func(t *testing.T, c *leader) {
				c.service.SetOutage(true)
				c.b.setStatus(1, false)
				c.b.updateStatus(test.updateStatus)
				time.Sleep(10 * time.Second)
				if got := c.CanAnswerHeartbeats(); got != test.want {
					t.Errorf("can answer heartbeats: %v, want %v", got, test.want)
				}
				if known := c.cancellations.KnownCancellations(0).Recent; len(known) > 0 != test.learns {
					t.Errorf("got known cancellations %v, want the peer's cancellation known: %v", known, test.learns)
				}
				c.service.SetOutage(false)
				time.Sleep(5 * time.Second)
				if !c.CanAnswerHeartbeats() {
					t.Error("cannot answer heartbeats although all cancellations could be read from the store")
				}
			})
		})
	}
}

// A response of the store confirms the epoch only if all cancellations in the store
// have been read too.
func TestStoreConfirmsOnlyWithCancellations(t *testing.T) {
	withLeader(t, func(t *testing.T, c *leader) {
		c.cancellations.setFailing(true)
		time.Sleep(10 * time.Second)
		if c.CanAnswerHeartbeats() {
			t.Error("can answer heartbeats although the cancellations in the store could not be read")
		}
		c.cancellations.setFailing(false)
		time.Sleep(2 * time.Second)
		if !c.CanAnswerHeartbeats() {
			t.Error("cannot answer heartbeats although all cancellations could be read from the store")
		}
	})
}

// The confirmation TTL is reduced if otherwise a worker lease could not expire
// within the cancel timeout after it. If even the minimum TTL is too long, that is
// reported.
func TestConfirmationTTLLeavesTimeForLeaseExpiry(t *testing.T) {
	for _, test := range []struct {
		lease, cancelIn, ttl time.Duration
		fits                 bool
	}{
		{16 * time.Second, 36 * time.Second, 4 * time.Second, true},
		{26500 * time.Millisecond, 46500 * time.Millisecond, 6625 * time.Millisecond, true},
		{20 * time.Second, 24 * time.Second, 3480 * time.Millisecond, true},
		{20 * time.Second, 22 * time.Second, minConfirmationTTL, false},
		{20 * time.Second, 10 * time.Second, minConfirmationTTL, false},
		{4 * time.Second, 20 * time.Second, time.Second, true},
	} {
		if ttl, fits := confirmationTTLFor(test.lease, test.cancelIn); ttl != test.ttl || fits != test.fits {
			t.Errorf("lease %v, cancel in %v: %v %v, want %v %v", test.lease, test.cancelIn, ttl, fits, test.ttl, test.fits)
		}
	}
}
