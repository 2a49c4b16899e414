// Package fleet knows the machines: their workers' sessions and reports, the
// commands they are sent, and which attempts of tasks may be on each.
//
// A Machine has no lock: its share's lock guards it.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"heronwick/internal/placement"
	"heronwick/wire"
)

// Key names one attempt of a task.
type Key struct {
	Task    string
	Attempt uint64
}

// Attempt is one attempt of a task that may be on a machine.
type Attempt struct {
	Key
	Job     string
	Index   int
	Team    string
	Rank    int
	Service bool
	Image   string
	ImageGB float64
	Size    placement.Resources
	Sized   bool // Size and Team are known

	State    wire.TaskState // "" until a report shows it
	Why      wire.ExitReason
	Durable  bool      // its record is in the store: the start may be sent
	Journal  string    // the journal that alone holds that record; "": none does
	Paged    bool      // its machine's page holds it
	Handled  bool      // it exited, and what follows from that is in the store
	Stop     bool      // it is to be stopped
	GraceS   float64   // for saving when stopped
	MustGoBy time.Time // cancelled: by then it must be gone; zero otherwise
	Placed   time.Time // when it was placed, or found
	Running  time.Time // when it was first seen running

	// Recovered: taken from a record at a takeover and not yet seen. Its
	// start is not repeated; the first report under the new token settles
	// whether it is there.
	Recovered bool

	// Counted: the share has it in its sums, for Zone.
	Counted bool
	Zone    string
	// Guest: its job belongs to another share, which asked under the epoch of
	// token Epoch to have it here.
	Guest bool
	Epoch uint64

	session    uint64
	shownIn    uint64 // number of the last report taken that showed it
	replied    uint64 // Seq of the report whose reply last held its start
	inReply    bool
	direct     int    // direct commands with its start that are under way
	doubt      uint64 // highest token of a direct start without answer
	startToken uint64 // highest token of any direct start
}

// Exited tells whether a report has shown the attempt's end.
func (a *Attempt) Exited() bool { return a.State == wire.TaskExited }

// EventKind says what a report or a proof told of an attempt.
type EventKind int

// The kinds of event.
const (
	Started EventKind = iota // it runs
	Exited                   // it has exited, see Why
	Lost                     // it is gone without a result
	Found                    // it is on the machine, though nothing recorded it
)

// Event is news of an attempt.
type Event struct {
	Kind    EventKind
	Attempt *Attempt
}

// Machine is a machine and what may be on it.
type Machine struct {
	Name     string
	Address  string
	Type     *wire.MachineType
	TypeName string
	Zone     string
	Spot     bool

	Session    uint64
	Seq        uint64
	Token      uint64    // highest token that its worker is known to have seen
	Reported   bool      // a report came, in this epoch
	LastReport time.Time // when the newest report or answer came
	LastAnswer time.Time // when a report was last answered by this controller
	SessionAt  time.Time // when the session was first seen: its lease began no later
	Notice     time.Time // when the cloud takes it away; zero: not known to
	lapsed     uint64    // this session's lease has surely run out
	reports    uint64    // reports taken

	Attempts Attempts
	Images   map[string]Held // what the machine has fetched, as far as known
}

// Held is an image on a machine.
type Held struct {
	GB   float64
	Used time.Time
}

// NewMachine makes a machine that nothing is known to be on.
func NewMachine(name string) *Machine {
	return &Machine{Name: name, Images: map[string]Held{}}
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

// Live counts the attempts that may be on the machine.
func (m *Machine) Live() int {
	n := 0
	for _, a := range m.Attempts.All() {
		if !a.Exited() {
			n++
		}
	}
	return n
}

// Unsent tells whether no message has ever held the attempt's start.
func (a *Attempt) Unsent() bool {
	return a.State == "" && !a.Recovered && !a.inReply && a.direct == 0 && a.startToken == 0
}

// Add books a new attempt. Nothing is sent before it is Durable.
func (m *Machine) Add(a *Attempt, now time.Time) {
	a.session, a.Placed = m.Session, now
	m.Attempts.Put(a)
}

// Apply takes a report, or the answer to a direct command. It returns false
// for one that is older than what is known already, and for one that claims
// a session whose lease has surely lapsed: it was under way for long. A worker
// never shows a lower token than before: such a report is from before, maybe from
// a former life of the machine, which had counted further (ran_twice).
func (m *Machine) Apply(r *wire.Heartbeat, now time.Time) ([]Event, bool) {
	if r.FencingToken < m.Token || r.Incarnation <= m.lapsed || r.Incarnation < m.Session || r.Incarnation == m.Session && r.Seq <= m.Seq {
		return nil, false
	}
	var events []Event
	if r.Incarnation > m.Session {
		// The worker's lease ran out: it killed what it had.
		events = m.lose(func(a *Attempt) bool { return a.session < r.Incarnation })
	}
	if r.Incarnation > m.Session {
		m.SessionAt = now
	}
	m.Session, m.Seq = r.Incarnation, r.Seq
	m.Token = max(m.Token, r.FencingToken)
	m.Reported, m.LastReport = true, now
	m.Address, m.TypeName, m.Zone, m.Spot = r.Address, r.Type, r.Zone, r.Spot
	m.Notice = time.Time{}
	if r.NoticeS != nil {
		m.Notice = now.Add(time.Duration(*r.NoticeS * float64(time.Second)))
	}
	m.reports++
	for _, t := range r.Tasks {
		key := Key{t.Task, t.Attempt}
		a := m.Attempts.Get(key)
		if a == nil {
			job, index, ok := wire.SplitTaskID(t.Task)
			if !ok {
				continue
			}
			a = &Attempt{Key: key, Job: job, Index: index, Durable: true, session: r.Incarnation, Placed: now, State: t.State, Why: t.Reason, shownIn: m.reports}
			if t.State == wire.TaskRunning {
				a.Running = now
			}
			m.Attempts.Put(a)
			events = append(events, Event{Found, a})
			continue
		}
		a.shownIn = m.reports
		if a.Exited() {
			continue
		}
		a.State, a.Why = t.State, t.Reason
		switch {
		case t.State == wire.TaskExited:
			events = append(events, Event{Exited, a})
		case t.State == wire.TaskRunning && a.Running.IsZero():
			a.Running = now
			m.hold(a, now)
			events = append(events, Event{Started, a})
		}
	}
	events = append(events, m.lose(func(a *Attempt) bool { return a.shownIn != m.reports && m.surelyAbsent(a) })...)
	return events, true
}

// surelyAbsent judges an attempt that the newest report does not show.
func (m *Machine) surelyAbsent(a *Attempt) bool {
	if a.State != "" {
		return true // it was there and is forgotten
	}
	if !a.Stop && !a.Recovered {
		return false // its start goes out again
	}
	// A direct start without answer may still be carried out, for as long as
	// its token is the highest that the worker has seen.
	if a.direct > 0 || a.doubt > 0 && a.doubt >= m.Token {
		return false
	}
	// A start in a reply is carried out before the next report or never.
	return !a.inReply || m.Seq > a.replied
}

// lose removes the attempts that match, and tells of those whose end was not
// known.
func (m *Machine) lose(match func(*Attempt) bool) []Event {
	var events []Event
	for _, a := range m.Attempts.removeIf(match) {
		if !a.Exited() {
			events = append(events, Event{Lost, a})
		}
	}
	return events
}

// Quiet tells whether nothing is on the machine and nothing can still come.
func (m *Machine) Quiet() bool { return m.Attempts.Len() == 0 }

// Gone takes the proof that nothing is on the machine any more: it was
// returned.
func (m *Machine) Gone() []Event {
	return m.lose(func(*Attempt) bool { return true })
}

// Lapsed takes the proof that the lease of the current session has run out.
// A report of that session that comes later was under way for long, and what
// it shows is no more.
func (m *Machine) Lapsed() []Event {
	m.lapsed = max(m.lapsed, m.Session)
	return m.Gone()
}

// hold notes that the machine has fetched an attempt's image, and forgets the
// least recently used ones beyond what it caches.
func (m *Machine) hold(a *Attempt, now time.Time) {
	if a.Image == "" {
		return
	}
	m.Images[a.Image] = Held{GB: a.ImageGB, Used: now}
	if m.Type == nil {
		return
	}
	for {
		sum, oldest := 0.0, ""
		for name, h := range m.Images {
			sum += h.GB
			if oldest == "" || h.Used.Before(m.Images[oldest].Used) {
				oldest = name
			}
		}
		if sum <= m.Type.CacheGB || len(m.Images) <= 1 {
			return
		}
		delete(m.Images, oldest)
	}
}

// HoldsImage tells whether the machine is known to have the image.
func (m *Machine) HoldsImage(image string) bool {
	_, ok := m.Images[image]
	return ok
}

// forgettable tells whether the worker may be told to forget an attempt that
// has exited. A start of it that still arrives later would run it once more;
// if it is done, the worker would only repeat its result.
func (m *Machine) forgettable(a *Attempt) bool {
	if !a.Exited() || !a.Handled || a.direct > 0 || a.doubt > 0 && a.doubt >= m.Token {
		return false
	}
	return a.Why == wire.ExitDone || a.startToken < m.Token
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
		case a.State == "" && a.Durable && !a.Stop && !a.Recovered && a.session == m.Session:
			c.Op = wire.OpStart
			starts = append(starts, c)
		}
	}
	slices.SortFunc(starts, func(a, b wire.Command) int { return cmp.Compare(a.Task, b.Task) })
	return append(append(stops, forgets...), starts...)
}

// Reply returns the commands for the reply to the newest report.
func (m *Machine) Reply() []wire.Command {
	commands := m.commands()
	if len(commands) > wire.MaxCommands {
		commands = commands[:wire.MaxCommands]
	}
	for _, c := range commands {
		if c.Op == wire.OpStart {
			a := m.Attempts.Get(Key{c.Task, c.Attempt})
			a.inReply, a.replied = true, m.Seq
		}
	}
	return commands
}

// Direct returns what to send straight to the worker, nil if there is
// nothing. DirectDone must follow.
func (m *Machine) Direct(token uint64) *wire.CommandRequest {
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
			a.direct++
			a.startToken = max(a.startToken, token)
		}
	}
	return &wire.CommandRequest{FencingToken: token, Incarnation: m.Session, Commands: commands}
}

// DirectDone ends what Direct began. Without an answer the commands may still
// be carried out, while token and session match.
func (m *Machine) DirectDone(req *wire.CommandRequest, answered bool) {
	for _, c := range req.Commands {
		a := m.Attempts.Get(Key{c.Task, c.Attempt})
		if c.Op != wire.OpStart || a == nil {
			continue
		}
		a.direct--
		if !answered {
			a.doubt = max(a.doubt, req.FencingToken)
		}
	}
}

// maxLeftovers is how many exited attempts may stay in a worker's reports
// for want of a higher token.
const maxLeftovers = 30

// WantsToken tells whether something can only be settled once the worker has
// seen a higher token than this one.
func (m *Machine) WantsToken(token uint64) bool {
	leftovers := 0
	for _, a := range m.Attempts.All() {
		if a.doubt >= token && (a.Stop && a.State == "" || a.Exited()) {
			return true
		}
		if a.Exited() && a.Handled && a.Why != wire.ExitDone && a.startToken >= token {
			leftovers++
		}
	}
	return leftovers > maxLeftovers
}
