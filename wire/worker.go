package wire

// Paths between workers and controllers: heartbeats, direct commands and
// worker status.
const (
	PathHeartbeat = "/checkin"
	PathCommands  = "/orders"
	PathStatus    = "/show"
)

// MaxCommands keeps a line to a worker below 64 KiB.
const MaxCommands = 400

// TaskState is what a worker says of a task on its machine.
type TaskState string

// The states of a task.
const (
	TaskFetching TaskState = "fetching"
	TaskWaiting  TaskState = "gathering" // a gang's, for its peers
	TaskRunning  TaskState = "running"
	TaskSaving   TaskState = "saving"
	TaskExited   TaskState = "ended"
)

// ExitReason says why a task exited.
type ExitReason string

// The exit reasons.
const (
	ExitDone           ExitReason = "done"
	ExitStopped        ExitReason = "stopped"
	ExitError          ExitReason = "error"
	ExitNoCapacity     ExitReason = "no_room"
	ExitBusy           ExitReason = "busy"
	ExitUnknown        ExitReason = "unknown"
	ExitPeerLost       ExitReason = "peers" // a gang's: a peer has gone
	ExitGangIncomplete ExitReason = "alone" // a gang's: its peers did not come
)

// TaskStatus is the status of one task in a worker's heartbeat.
type TaskStatus struct {
	Task         string     `json:"feather"`
	Attempt      uint64     `json:"hop"`
	State        TaskState  `json:"stance"`
	Reason       ExitReason `json:"cause,omitempty"`
	Checkpointed bool       `json:"kept,omitempty"`
}

// Heartbeat is a worker's periodic report of its machine and tasks. Of two
// heartbeats the one with the larger (Incarnation, Seq) is the newer one.
// NoticeS is the spot preemption notice in seconds, nil when none was given.
type Heartbeat struct {
	Machine      string       `json:"perch"`
	Address      string       `json:"address"`
	Type         string       `json:"breed"`
	Zone         string       `json:"marsh"`
	Spot         bool         `json:"drift"`
	Incarnation  uint64       `json:"wading"`
	Seq          uint64       `json:"call"`
	FencingToken uint64       `json:"crest"`
	NoticeS      *float64     `json:"flush_s"`
	Tasks        []TaskStatus `json:"feathers"`
}

// Op is what a command asks of a worker.
type Op string

// The commands.
const (
	OpStart  Op = "launch"
	OpStop   Op = "halt"
	OpForget Op = "forget"
)

// Command asks a worker to do something to one attempt of a task.
type Command struct {
	Op      Op       `json:"signal"`
	Task    string   `json:"feather"`
	Attempt uint64   `json:"hop"`
	GraceS  *float64 `json:"settle_s,omitempty"`
}

// HeartbeatReply is the leader's answer to a heartbeat (HTTP 200): its
// fencing token and the commands for the worker.
type HeartbeatReply struct {
	FencingToken uint64    `json:"crest"`
	Commands     []Command `json:"signals"`
}

// NotLeaderReply answers a heartbeat sent to a controller that is not the
// leader (HTTP 421) and names the leader, when known.
type NotLeaderReply struct {
	Leader string `json:"heronry,omitempty"`
}

// CommandRequest carries commands straight to a worker.
type CommandRequest struct {
	FencingToken uint64    `json:"crest"`
	Incarnation  uint64    `json:"wading"`
	Commands     []Command `json:"signals"`
}
