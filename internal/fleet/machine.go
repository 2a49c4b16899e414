package fleet

import (
	"cmp"
	"slices"
	"time"

	"heronwick/internal/placement"
	"heronwick/wire"
)

// Machine is a machine and what may be on it.
type Machine struct {
	Name     string
	Address  string
	Type     *wire.MachineType
	TypeName string
	Zone     string
	Spot     bool

	Incarnation        uint64
	Seq                uint64
	FencingToken       uint64    // highest token that its worker is known to have seen
	HeartbeatSeen      bool      // a heartbeat came, in this epoch
	LastHeartbeat      time.Time // when the newest heartbeat or answer came
	LastReply          time.Time // when a heartbeat was last answered by this controller
	IncarnationSeenAt  time.Time // when the incarnation was first seen: its lease began no later
	Notice             time.Time // when the cloud takes it away; zero: not known to
	expiredIncarnation uint64    // this incarnation's lease has surely run out
	heartbeats         uint64    // heartbeats taken

	Attempts     Attempts
	CachedImages map[string]CachedImage // what the machine has fetched, as far as known
}

// CachedImage is an image on a machine.
type CachedImage struct {
	GB   float64
	Used time.Time
}

// NewMachine makes a machine that nothing is known to be on.
func NewMachine(name string) *Machine {
	return &Machine{Name: name, CachedImages: map[string]CachedImage{}}
}

// Place returns where the machine stands and what it is.
func (m *Machine) Place() placement.Place {
	return placement.Place{Type: m.TypeName, Zone: m.Zone, Spot: m.Spot}
}

// Room is the machine's free room, as reported, less own placements since. sized
// tells whether all that may be on it is of known size; else nothing may be
// placed beside it.
func (m *Machine) Room() (free placement.Resources, sized bool) {
	if m.Type == nil {
		return placement.Resources{}, false
	}
	free, sized = placement.Capacity(m.Type), true
	for _, a := range m.Attempts.All() {
		if !a.Exited() {
			free, sized = free.Minus(a.Size), sized && a.Sized
		}
	}
	return free, sized
}

// Free is the machine's free room.
func (m *Machine) Free() placement.Resources {
	free, _ := m.Room()
	return free
}

// ActiveCount counts the attempts that may be on the machine.
func (m *Machine) ActiveCount() int {
	n := 0
	for _, a := range m.Attempts.All() {
		if !a.Exited() {
			n++
		}
	}
	return n
}

// Add books a new attempt. Nothing is sent before it is Durable.
func (m *Machine) Add(a *Attempt, now time.Time) {
	a.incarnation, a.Placed = m.Incarnation, now
	m.Attempts.Put(a)
}

// ApplyHeartbeat takes a heartbeat, or the answer to a direct command. It returns false
// for one that is older than what is known already, and for one that claims
// a incarnation whose lease has surely expired: it was under way for long. A worker
// never shows a lower token than before: such a heartbeat is from before, maybe from
// an earlier incarnation of the machine, which had counted further (ran_twice).
func (m *Machine) ApplyHeartbeat(r *wire.Heartbeat, now time.Time) ([]Event, bool) {
	if r.FencingToken < m.FencingToken || r.Incarnation <= m.expiredIncarnation || r.Incarnation < m.Incarnation || r.Incarnation == m.Incarnation && r.Seq <= m.Seq {
		return nil, false
	}
	var events []Event
	if r.Incarnation > m.Incarnation {
		// The worker's lease ran out: it killed what it had.
		events = m.removeLost(func(a *Attempt) bool { return a.incarnation < r.Incarnation })
	}
	if r.Incarnation > m.Incarnation {
		m.IncarnationSeenAt = now
	}
	m.Incarnation, m.Seq = r.Incarnation, r.Seq
	m.FencingToken = max(m.FencingToken, r.FencingToken)
	m.HeartbeatSeen, m.LastHeartbeat = true, now
	m.Address, m.TypeName, m.Zone, m.Spot = r.Address, r.Type, r.Zone, r.Spot
	m.Notice = time.Time{}
	if r.NoticeS != nil {
		m.Notice = now.Add(time.Duration(*r.NoticeS * float64(time.Second)))
	}
	m.heartbeats++
	for _, t := range r.Tasks {
		key := Key{t.Task, t.Attempt}
		a := m.Attempts.Get(key)
		if a == nil {
			job, index, ok := wire.SplitTaskID(t.Task)
			if !ok {
				continue
			}
			a = &Attempt{Key: key, Job: job, Index: index, Durable: true, incarnation: r.Incarnation, Placed: now, State: t.State, Why: t.Reason, lastShownIn: m.heartbeats}
			if t.State == wire.TaskRunning {
				a.Running = now
			}
			m.Attempts.Put(a)
			events = append(events, Event{Found, a})
			continue
		}
		a.lastShownIn = m.heartbeats
		if a.Exited() {
			continue
		}
		a.State, a.Why = t.State, t.Reason
		switch {
		case t.State == wire.TaskExited:
			events = append(events, Event{Exited, a})
		case t.State == wire.TaskRunning && a.Running.IsZero():
			a.Running = now
			m.noteImage(a, now)
			events = append(events, Event{Started, a})
		}
	}
	events = append(events, m.removeLost(func(a *Attempt) bool { return a.lastShownIn != m.heartbeats && m.surelyAbsent(a) })...)
	return events, true
}

// surelyAbsent judges an attempt that the newest heartbeat does not show.
func (m *Machine) surelyAbsent(a *Attempt) bool {
	if a.State != "" {
		return true // it was there and is forgotten
	}
	if !a.Stop && !a.Restored {
		return false // its start goes out again
	}
	// A direct start without answer may still be carried out, for as long as
	// its token is the highest that the worker has seen.
	if a.directStarts > 0 || a.unansweredToken > 0 && a.unansweredToken >= m.FencingToken {
		return false
	}
	// A start in a reply is carried out before the next heartbeat or never.
	return !a.startInReply || m.Seq > a.repliedSeq
}

// removeLost removes the attempts that match, and tells of those whose end was not
// known.
func (m *Machine) removeLost(match func(*Attempt) bool) []Event {
	var events []Event
	for _, a := range m.Attempts.removeIf(match) {
		if !a.Exited() {
			events = append(events, Event{Lost, a})
		}
	}
	return events
}

// Idle tells whether nothing is on the machine and nothing can still come.
func (m *Machine) Idle() bool { return m.Attempts.Len() == 0 }

// MarkReleased takes the proof that nothing is on the machine any more: it was
// returned.
func (m *Machine) MarkReleased() []Event {
	return m.removeLost(func(*Attempt) bool { return true })
}

// MarkLeaseExpired takes the proof that the lease of the current incarnation has run out.
// A heartbeat of that incarnation that comes later was under way for long, and what
// it shows is no more.
func (m *Machine) MarkLeaseExpired() []Event {
	m.expiredIncarnation = max(m.expiredIncarnation, m.Incarnation)
	return m.MarkReleased()
}

// noteImage notes that the machine has fetched an attempt's image, and forgets the
// least recently used ones beyond what it caches.
func (m *Machine) noteImage(a *Attempt, now time.Time) {
	if a.Image == "" {
		return
	}
	m.CachedImages[a.Image] = CachedImage{GB: a.ImageGB, Used: now}
	if m.Type == nil {
		return
	}
	for {
		sum, oldest := 0.0, ""
		for name, h := range m.CachedImages {
			sum += h.GB
			if oldest == "" || h.Used.Before(m.CachedImages[oldest].Used) {
				oldest = name
			}
		}
		if sum <= m.Type.CacheGB || len(m.CachedImages) <= 1 {
			return
		}
		delete(m.CachedImages, oldest)
	}
}

// HasImage tells whether the machine is known to have the image.
func (m *Machine) HasImage(image string) bool {
	_, ok := m.CachedImages[image]
	return ok
}

// forgettable tells whether the worker may be told to forget an attempt that
// has exited. A start of it that still arrives later would run it once more;
// if it is done, the worker would only repeat its result.
func (m *Machine) forgettable(a *Attempt) bool {
	if !a.Exited() || !a.Handled || a.directStarts > 0 || a.unansweredToken > 0 && a.unansweredToken >= m.FencingToken {
		return false
	}
	return a.Why == wire.ExitDone || a.maxStartToken < m.FencingToken
}

// commands lists what the worker should be told now: what makes room first.
func (m *Machine) commands() []wire.Command {
	var stops, forgets, starts []wire.Command
	for _, a := range m.Attempts.All() {
		c := wire.Command{Task: a.Task, Attempt: a.Attempt}
		switch {
		case m.forgettable(a):
			c.Op = wire.OpForget
			forgets = append(forgets, c)
		case a.Exited():
		case a.State != "" && a.Stop:
			if a.State == wire.TaskSaving && a.GraceS > 0 {
				continue
			}
			grace := a.GraceS
			c.Op, c.GraceS = wire.OpStop, &grace
			stops = append(stops, c)
		case a.State == "" && a.Durable && !a.Stop && !a.Restored && a.incarnation == m.Incarnation:
			c.Op = wire.OpStart
			starts = append(starts, c)
		}
	}
	slices.SortFunc(starts, func(a, b wire.Command) int { return cmp.Compare(a.Task, b.Task) })
	return append(append(stops, forgets...), starts...)
}

// Reply returns the commands for the reply to the newest heartbeat.
func (m *Machine) Reply() []wire.Command {
	commands := m.commands()
	if len(commands) > wire.MaxCommands {
		commands = commands[:wire.MaxCommands]
	}
	for _, c := range commands {
		if c.Op == wire.OpStart {
			a := m.Attempts.Get(Key{c.Task, c.Attempt})
			a.startInReply, a.repliedSeq = true, m.Seq
		}
	}
	return commands
}

// DirectRequest returns what to send straight to the worker, nil if there is
// nothing. DirectRequestDone must follow.
func (m *Machine) DirectRequest(token uint64) *wire.CommandRequest {
	commands := m.commands()
	if len(commands) == 0 {
		return nil
	}
	if len(commands) > wire.MaxCommands {
		commands = commands[:wire.MaxCommands]
	}
	for _, c := range commands {
		if c.Op == wire.OpStart {
			a := m.Attempts.Get(Key{c.Task, c.Attempt})
			a.directStarts++
			a.maxStartToken = max(a.maxStartToken, token)
		}
	}
	return &wire.CommandRequest{FencingToken: token, Incarnation: m.Incarnation, Commands: commands}
}

// DirectRequestDone ends what DirectRequest began. Without an answer the commands may still
// be carried out, while token and incarnation match.
func (m *Machine) DirectRequestDone(req *wire.CommandRequest, answered bool) {
	for _, c := range req.Commands {
		a := m.Attempts.Get(Key{c.Task, c.Attempt})
		if c.Op != wire.OpStart || a == nil {
			continue
		}
		a.directStarts--
		if !answered {
			a.unansweredToken = max(a.unansweredToken, req.FencingToken)
		}
	}
}

// maxLeftovers is how many exited attempts may stay in a worker's heartbeats
// for want of a higher token.
const maxLeftovers = 30

// NeedsHigherFencingToken tells whether something can only be settled once the worker has
// seen a higher token than this one.
func (m *Machine) NeedsHigherFencingToken(token uint64) bool {
	leftovers := 0
	for _, a := range m.Attempts.All() {
		if a.unansweredToken >= token && (a.Stop && a.State == "" || a.Exited()) {
			return true
		}
		if a.Exited() && a.Handled && a.Why != wire.ExitDone && a.maxStartToken >= token {
			leftovers++
		}
	}
	return leftovers > maxLeftovers
}
