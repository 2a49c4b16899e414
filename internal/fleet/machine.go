package fleet

import (
	"time"

	"heronwick/internal/placement"
	"heronwick/wire"
)

// Machine is a machine of the fleet and the attempts that may be on it. It has no lock
// of its own: the lock of the scheduler that owns the machine guards it.
type Machine struct {
	Name     string
	Address  string
	Type     *wire.MachineType
	TypeName string
	Zone     string
	Spot     bool

	Incarnation       uint64    // newest known incarnation of the worker
	Seq               uint64    // sequence number of the newest heartbeat or response to a direct request
	HeartbeatSeq      uint64    // sequence number of the newest unsolicited heartbeat in this incarnation
	FencingToken      uint64    // highest fencing token that the worker is known to have seen
	HeartbeatSeen     bool      // a heartbeat was received in this epoch
	LastHeartbeat     time.Time // when the newest heartbeat or response to a direct request was received
	LastReply         time.Time // when this controller last replied to a heartbeat
	IncarnationSeenAt time.Time // when the incarnation was first seen; its lease started no later than that
	ReclaimAt         time.Time // when the cloud will reclaim the machine; zero if no reclaim was announced

	Attempts     Attempts
	CachedImages map[string]CachedImage // images known to be on the machine, by name

	expiredIncarnation uint64 // newest incarnation whose lease is certain to have expired
	restartFence       uint64 // lowest fencing token that ends the last restart of the worker that was detected; 0 if there was none
	doubt              doubt
	heartbeatsApplied  uint64 // number of heartbeats applied
	heartbeatDue       bool   // a heartbeat was requested since the last reply, or that reply contained starts
	refusedRequests    []Key  // heartbeat requests that the newest heartbeat shows
}

// NewMachine returns a machine without attempts.
func NewMachine(name string) *Machine {
	return &Machine{Name: name, CachedImages: map[string]CachedImage{}}
}

// Pool returns the pool that the machine belongs to: its type, zone and spot flag.
func (m *Machine) Pool() placement.Pool {
	return placement.Pool{Type: m.TypeName, Zone: m.Zone, Spot: m.Spot}
}

// FreeResources returns the machine's capacity minus the sizes of its attempts that have
// not exited. known reports whether all those sizes are known; otherwise no other
// attempt may be placed on the machine. If Type is not known, it returns no resources
// and false.
func (m *Machine) FreeResources() (free placement.Resources, known bool) {
	if m.Type == nil {
		return placement.Resources{}, false
	}
	free, known = placement.Capacity(m.Type), true
	for _, a := range m.Attempts.All() {
		if !a.Exited() {
			free = free.Minus(a.Size)
			known = known && a.SizeKnown
		}
	}
	return free, known
}

// Free is FreeResources without the report whether all sizes are known.
func (m *Machine) Free() placement.Resources {
	free, _ := m.FreeResources()
	return free
}

// ActiveCount returns the number of attempts that have not exited.
func (m *Machine) ActiveCount() int {
	n := 0
	for _, a := range m.Attempts.All() {
		if !a.Exited() {
			n++
		}
	}
	return n
}

// Add adds a new attempt. Its start is not sent until it is Recorded.
func (m *Machine) Add(a *Attempt, now time.Time) {
	a.incarnation, a.PlacedAt = m.Incarnation, now
	m.Attempts.Put(a)
}

// removeLost removes the attempts for which proof returns evidence that they are gone, and
// returns a Lost event for each of them that was not known to have exited.
func (m *Machine) removeLost(proof func(*Attempt) Evidence) []Event {
	var events []Event
	m.Attempts.removeIf(func(a *Attempt) bool {
		evidence := proof(a)
		if evidence != unproven && !a.Exited() {
			events = append(events, Event{Kind: Lost, Attempt: a, Evidence: evidence})
		}
		return evidence != unproven
	})
	return events
}

// Idle reports whether no attempt is on the machine or can still start on it.
func (m *Machine) Idle() bool { return m.Attempts.Len() == 0 }

// MarkReleased removes all attempts because the machine was returned to the cloud.
func (m *Machine) MarkReleased() []Event {
	return m.removeLost(func(*Attempt) Evidence { return MachineReleased })
}

// MarkLeaseExpired removes the attempts of the current incarnation and earlier ones because
// its lease is certain to have expired. Heartbeats of this incarnation that arrive later
// were delayed and are ignored as outdated. If the worker has restarted, or may have, only
// the incarnations up to the one that it was in since then have ended: it may reach the
// later ones again, and starts in replies there.
func (m *Machine) MarkLeaseExpired() []Event {
	ended := m.Incarnation
	if m.Doubted() {
		ended = min(ended, m.doubt.incarnation)
	}
	m.expiredIncarnation = max(m.expiredIncarnation, ended)
	return m.removeLost(func(a *Attempt) Evidence {
		if a.incarnation <= ended {
			return LeaseExpired
		}
		return unproven
	})
}
