package wire

// Paths between workers and controllers: heartbeats, direct commands and
// worker status.
const (
	PathHeartbeat = "/checkin"
	PathCommands  = "/orders"
	PathStatus    = "/show"
)

// MaxCommands is the largest number of commands in one message. It keeps messages
// to a worker below 64 KiB.
const MaxCommands = 400

// TaskState is the state of a task on its machine, as its worker reports it.
type TaskState string

// The states of a task.
const (
	TaskFetching TaskState = "fetching"
	TaskWaiting  TaskState = "gathering" // a task of a gang: for the others
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
	ExitPeerLost       ExitReason = "peers" // a task of a gang: another one was lost
	ExitGangIncomplete ExitReason = "alone" // a task of a gang: the others did not start in time
)

// TaskStatus is the status of one attempt of a task in a worker's heartbeat.
// Reason is set once it has exited; Checkpointed reports that a stopped task has
// saved its progress.
type TaskStatus struct {
	Task         string     `json:"feather"`
	Attempt      uint64     `json:"hop"`
	State        TaskState  `json:"stance"`
	Reason       ExitReason `json:"cause,omitempty"`
	Checkpointed bool       `json:"kept,omitempty"`
}

// Heartbeat is a worker's periodic report of its machine and tasks. Of two
// heartbeats the one with the larger (Incarnation, Seq) is the newer one.
// NoticeS is the time in seconds until the cloud takes a spot machine away, nil
// when it has given no notice.
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

// Op is the kind of a command.
type Op string

// The kinds of command.
const (
	OpStart  Op = "launch"
	OpStop   Op = "halt"
	OpForget Op = "forget"
)

// Command tells a worker to start, stop or forget one attempt of a task. GraceS is
// how many seconds a stopped task has to save its progress.
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

// CommandRequest sends commands to a worker directly, not in the reply to a
// heartbeat. A worker of another incarnation, or one that has seen a higher fencing
// token, rejects it (HTTP 409).
type CommandRequest struct {
	FencingToken uint64    `json:"crest"`
	Incarnation  uint64    `json:"wading"`
	Commands     []Command `json:"signals"`
}
