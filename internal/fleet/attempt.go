package fleet

import (
	"time"

	"heronwick/internal/placement"
	"heronwick/wire"
)

// Key identifies one attempt of a task.
type Key struct {
	Task    string
	Attempt uint64
}

// Attempt is an attempt to run a task that may be on a machine.
type Attempt struct {
	Key
	Job       string
	Index     int // index of the task in the job
	Team      string
	Rank      int  // rank of the job's priority; 0 is the highest
	Service   bool // the job is a service
	Image     string
	ImageGB   float64
	Size      placement.Resources
	SizeKnown bool // Size and Team are set

	State         wire.TaskState  // empty until a heartbeat shows the attempt
	ExitReason    wire.ExitReason // set once the attempt has exited
	Recorded      bool            // the record is in the store, or the attempt was found on the machine; needed to send the start
	Journal       string          // key of the journal if only a journal contains the record; otherwise empty
	InBucket      bool            // the machine's bucket contains the record
	ExitProcessed bool            // the attempt exited and all consequences are in the store: the worker may forget it
	Stop          bool            // the attempt should be stopped
	GraceS        float64         // seconds that the task gets to save its progress when it is stopped
	ExitDeadline  time.Time       // when an attempt of a cancelled job must have exited; zero for any other attempt
	PlacedAt      time.Time       // when the attempt was placed, restored from a record or found
	RunningSince  time.Time       // when a heartbeat first showed it running; zero before that

	// RestoredFromRecord reports whether the attempt was read from a record at a
	// takeover. Its start is not sent again: the first heartbeat under the new fencing
	// token shows whether the attempt is on the machine.
	RestoredFromRecord bool

	// CountedInUsage reports whether the scheduler counts the attempt in the usage of
	// its team and among the attempts of its job, there under Zone.
	CountedInUsage bool
	Zone           string
	// Hosted reports whether the job belongs to another scheduler, which requested the
	// placement in the epoch with the fencing token Epoch.
	Hosted bool
	Epoch  uint64
	// SettledAt is when the owner of a hosted attempt last requested its state.
	SettledAt time.Time

	incarnation       uint64 // incarnation of the worker that the attempt was placed on
	lastSeenHeartbeat uint64 // Machine.heartbeatsApplied at the last heartbeat that showed the attempt
	beforeRestart     bool   // only heartbeats from before the last restart of the worker have shown the attempt
	forgetSent        bool   // the worker was told to forget the attempt
	start             sentStart
}

// Exited reports whether a heartbeat has shown that the attempt exited.
func (a *Attempt) Exited() bool { return a.State == wire.TaskExited }

// SetJobDetails copies the details of the job that the attempt needs, and sets the rank
// of the job's priority.
func (a *Attempt) SetJobDetails(j *wire.Job, rank int) {
	a.Team, a.Rank, a.Service = j.Team, rank, j.Kind == wire.KindService
	a.Image, a.ImageGB = j.Image, j.ImageGB
	a.Size, a.SizeKnown = placement.TaskResources(j), true
	if j.CheckpointS > 0 {
		a.GraceS = saveGraceSeconds(j)
	}
}

// saveGraceSeconds returns the grace period for a task to save its progress: the time
// that the job's owner has specified, plus a margin.
func saveGraceSeconds(j *wire.Job) float64 { return j.SaveS*1.25 + 0.5 }

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events.
const (
	Started EventKind = iota // the attempt is running
	Exited                   // the attempt has exited, see Attempt.ExitReason
	Lost                     // the attempt is gone without a result
	Found                    // the attempt is on the machine, but in no record
)

// Evidence is what proves that an attempt is gone.
type Evidence string

// The kinds of evidence.
const (
	unproven        Evidence = ""
	Forgotten       Evidence = "its worker has forgotten it"
	RestartFenced   Evidence = "its worker has restarted and cannot start it again"
	StartExcluded   Evidence = "its worker does not have it and cannot start it any more"
	NewIncarnation  Evidence = "its worker has a new incarnation"
	LeaseExpired    Evidence = "the lease of its worker has expired"
	MachineReleased Evidence = "its machine was released"
)

// Event is a change in the state of an attempt.
type Event struct {
	Kind     EventKind
	Attempt  *Attempt
	Evidence Evidence // of a Lost event
}

// NeverSent reports whether the start of the attempt has never been sent to a worker.
func (a *Attempt) NeverSent() bool {
	return a.State == "" && !a.RestoredFromRecord && !a.start.sent
}
