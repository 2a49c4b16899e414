package fleet

import (
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
	InBucket bool      // its machine's bucket holds it
	Handled  bool      // it exited, and what follows from that is in the store
	Stop     bool      // it is to be stopped
	GraceS   float64   // for saving when stopped
	MustGoBy time.Time // cancelled: by then it must be gone; zero otherwise
	Placed   time.Time // when it was placed, or found
	Running  time.Time // when it was first seen running

	// Restored: taken from a record at a takeover and not yet seen. Its
	// start is not repeated; the first heartbeat under the new token settles
	// whether it is there.
	Restored bool

	// Counted: the scheduler has it in its sums, for Zone.
	Counted bool
	Zone    string
	// Guest: its job belongs to another scheduler, which asked under the epoch of
	// token Epoch to have it here.
	Guest bool
	Epoch uint64

	incarnation     uint64
	lastShownIn     uint64 // number of the last heartbeat taken that showed it
	repliedSeq      uint64 // Seq of the heartbeat whose reply last held its start
	startInReply    bool
	directStarts    int    // direct commands with its start that are under way
	unansweredToken uint64 // highest token of a direct start without answer
	maxStartToken   uint64 // highest token of any direct start
}

// Exited tells whether a heartbeat has shown the attempt's end.
func (a *Attempt) Exited() bool { return a.State == wire.TaskExited }

// EventKind says what a heartbeat or a proof told of an attempt.
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

// NeverSent tells whether no message has ever held the attempt's start.
func (a *Attempt) NeverSent() bool {
	return a.State == "" && !a.Restored && !a.startInReply && a.directStarts == 0 && a.maxStartToken == 0
}
