package fleet

import (
	"time"

	"heronwick/internal/placement"
	"heronwick/wire"
)

// Machine is a machine of the fleet and the attempts that may be on it. It has no
// lock: that of the scheduler that owns the machine guards it.
type Machine struct {
	Name     string
	Address  string
	Type     *wire.MachineType
	TypeName string
	Zone     string
	Spot     bool

	Incarnation       uint64    // of its worker, as are Seq and FencingToken
	Seq               uint64    // of the newest heartbeat
	FencingToken      uint64    // highest token that the worker is known to have seen
	HeartbeatSeen     bool      // a heartbeat came, in this epoch
	LastHeartbeat     time.Time // when the newest heartbeat or answer came
	LastReply         time.Time // when a heartbeat was last answered by this controller
	IncarnationSeenAt time.Time // when the incarnation was first seen: its lease began no later
	ReclaimAt         time.Time // when the cloud takes it away; zero: not known

	Attempts     Attempts
	CachedImages map[string]CachedImage // by name, those that are known to be on the machine

	expiredIncarnation uint64 // newest incarnation whose lease has surely expired
	heartbeats         uint64 // number of heartbeats applied
}

// NewMachine makes a machine without any known attempt.
func NewMachine(name string) *Machine {
	return &Machine{Name: name, CachedImages: map[string]CachedImage{}}
}

// Pool returns the machine's type, zone and kind.
func (m *Machine) Pool() placement.Pool {
	return placement.Pool{Type: m.TypeName, Zone: m.Zone, Spot: m.Spot}
}

// FreeResources returns the machine's capacity less what its attempts take. sized reports
// whether the sizes of all of them are known; otherwise no other attempt may be
// placed on the machine. Without a known Type there is no room.
func (m *Machine) FreeResources() (free placement.Resources, sized bool) {
	if m.Type == nil {
		return placement.Resources{}, false
	}
	free, sized = placement.Capacity(m.Type), true
	for _, a := range m.Attempts.All() {
		if !a.Exited() {
			free = free.Minus(a.Size)
			sized = sized && a.SizeKnown
		}
	}
	return free, sized
}

// Free returns the machine's free resources, see FreeResources.
func (m *Machine) Free() placement.Resources {
	free, _ := m.FreeResources()
	return free
}

// ActiveCount counts the attempts that have not exited.
func (m *Machine) ActiveCount() int {
	n := 0
	for _, a := range m.Attempts.All() {
		if !a.Exited() {
			n++
		}
	}
	return n
}

// Add books a new attempt. Its start is not sent before it is Durable.
func (m *Machine) Add(a *Attempt, now time.Time) {
	a.incarnation, a.PlacedAt = m.Incarnation, now
	m.Attempts.Put(a)
}

// removeLost removes the attempts that match and returns an event for each one that
// was not known to have exited.
func (m *Machine) removeLost(match func(*Attempt) bool) []Event {
	var events []Event
	for _, a := range m.Attempts.removeIf(match) {
		if !a.Exited() {
			events = append(events, Event{Lost, a})
		}
	}
	return events
}

// Idle reports whether no attempt is on the machine or can still arrive.
func (m *Machine) Idle() bool { return m.Attempts.Len() == 0 }

// MarkReleased removes all attempts, since the machine was returned to the cloud.
func (m *Machine) MarkReleased() []Event {
	return m.removeLost(func(*Attempt) bool { return true })
}

// MarkLeaseExpired removes all attempts, since the lease of the current incarnation
// has surely expired. A heartbeat of that incarnation that arrives later was
// delayed, and what it shows is outdated.
func (m *Machine) MarkLeaseExpired() []Event {
	m.expiredIncarnation = max(m.expiredIncarnation, m.Incarnation)
	return m.MarkReleased()
}
