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
	Job       string
	Index     int // of the task in the job
	Team      string
	Rank      int  // of the job's priority, 0 being the highest
	Service   bool // the job is a service
	Image     string
	ImageGB   float64
	Size      placement.Resources
	SizeKnown bool // Size and Team are known

	State         wire.TaskState  // "" until a heartbeat shows it
	ExitReason    wire.ExitReason // once it has exited
	Recorded      bool            // its record is in the store: the start may be sent
	Journal       string          // key of the journal that alone holds that record; "": none does
	InBucket      bool            // its machine's bucket holds it
	ExitProcessed bool            // it exited, and what follows from that is in the store
	Stop          bool            // it is to be stopped
	GraceS        float64         // seconds for saving when it is stopped
	ExitDeadline  time.Time       // cancelled: it must be gone by then; zero otherwise
	PlacedAt      time.Time       // when it was placed, or found
	RunningSince  time.Time       // when it was first seen running

	// Unconfirmed reports that it was read from a record at a takeover and has not
	// been seen since. Its start is not sent again; the first heartbeat under the
	// new token shows whether it is there.
	Unconfirmed bool

	// CountedInUsage reports that the scheduler's sums include it, under Zone.
	CountedInUsage bool
	Zone           string
	// Hosted reports that its job belongs to another scheduler, which had it placed
	// here under the epoch of token Epoch.
	Hosted bool
	Epoch  uint64

	incarnation     uint64 // of the worker that it was sent to
	lastShownIn     uint64 // number of the last applied heartbeat that showed it
	repliedSeq      uint64 // Seq of the heartbeat whose reply last held its start
	startInReply    bool   // a reply has held its start
	directStarts    int    // direct requests with its start that are in flight
	unansweredToken uint64 // highest token of a direct start without answer
	maxStartToken   uint64 // highest token of any direct start
}

// Exited reports whether a heartbeat has shown that the attempt exited.
func (a *Attempt) Exited() bool { return a.State == wire.TaskExited }

// SetJobDetails takes over what an attempt has of its job, and the rank of the job's
// priority.
func (a *Attempt) SetJobDetails(j *wire.Job, rank int) {
	a.Team, a.Rank, a.Service = j.Team, rank, j.Kind == wire.KindService
	a.Image, a.ImageGB = j.Image, j.ImageGB
	a.Size, a.SizeKnown = placement.TaskResources(j), true
	if j.CheckpointS > 0 {
		a.GraceS = saveGrace(j)
	}
}

// saveGrace leaves a task a little more than its owner says it needs to save.
func saveGrace(j *wire.Job) float64 { return j.SaveS*1.25 + 0.5 }

// EventKind says what has become known of an attempt.
type EventKind int

// The kinds of event.
const (
	Started EventKind = iota // it is running
	Exited                   // it has exited, see ExitReason
	Lost                     // it is gone without a result
	Found                    // it is on the machine, though no record says so
)

// Event is a change of an attempt.
type Event struct {
	Kind    EventKind
	Attempt *Attempt
}

// NeverSent reports whether no message has ever held the attempt's start.
func (a *Attempt) NeverSent() bool {
	return a.State == "" && !a.Unconfirmed && !a.startInReply && a.directStarts == 0 && a.maxStartToken == 0
}
