package wire

// Paths for the requests between workers and controllers: heartbeats, direct commands
// and worker status.
const (
	PathHeartbeat = "/checkin"
	PathCommands  = "/orders"
	PathStatus    = "/show"
)

// MaxCommands is the maximum number of commands in one message. It keeps messages to a
// worker smaller than 64 KiB.
const MaxCommands = 400

// TaskState is the state of a task on its machine, as reported by the machine's worker.
type TaskState string

// The states of a task.
const (
	TaskFetching TaskState = "fetching"
	TaskWaiting  TaskState = "gathering" // task of a gang that waits for the other tasks
	TaskRunning  TaskState = "running"
	TaskSaving   TaskState = "saving"
	TaskExited   TaskState = "ended"
)

// ExitReason is the reason why a task exited.
type ExitReason string

// The exit reasons.
const (
	ExitDone           ExitReason = "done"
	ExitStopped        ExitReason = "stopped"
	ExitError          ExitReason = "error"
	ExitNoCapacity     ExitReason = "no_room"
	ExitBusy           ExitReason = "busy"
	ExitUnknown        ExitReason = "unknown"
	ExitPeerLost       ExitReason = "peers" // task of a gang: another task was lost
	ExitGangIncomplete ExitReason = "alone" // task of a gang: the other tasks did not start in time
)

// TaskStatus is the status of one attempt of a task in a worker's heartbeat. Reason is set
// if the attempt has exited. Checkpointed reports whether a stopped task has saved its
// progress.
type TaskStatus struct {
	Task         string     `json:"feather"`
	Attempt      uint64     `json:"hop"`
	State        TaskState  `json:"stance"`
	Reason       ExitReason `json:"cause,omitempty"`
	Checkpointed bool       `json:"kept,omitempty"`
}

// Heartbeat is a worker's periodic report on its machine and tasks. The newer of two
// heartbeats is the one with the larger (Incarnation, Seq). NoticeS is the time in seconds
// until the cloud takes a spot machine away, or nil if the cloud has given no notice.
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

// The kinds of commands.
const (
	OpStart  Op = "launch"
	OpStop   Op = "halt"
	OpForget Op = "forget"
)

// Command instructs a worker to start, stop or forget one attempt of a task. GraceS is the
// time in seconds that a stopped task has to save its progress.
type Command struct {
	Op      Op       `json:"signal"`
	Task    string   `json:"feather"`
	Attempt uint64   `json:"hop"`
	GraceS  *float64 `json:"settle_s,omitempty"`
}

// HeartbeatReply is the leader's reply to a heartbeat (HTTP 200): its fencing token and
// the commands for the worker.
type HeartbeatReply struct {
	FencingToken uint64    `json:"crest"`
	Commands     []Command `json:"signals"`
}

// NotLeaderReply is the reply to a heartbeat that was sent to a controller other than the
// leader (HTTP 421). Leader is empty if the leader is not known.
type NotLeaderReply struct {
	Leader string `json:"heronry,omitempty"`
}

// CommandRequest sends commands directly to a worker instead of in the reply to a
// heartbeat. A worker with a different incarnation, or one that has seen a higher fencing
// token, rejects the request (HTTP 409).
type CommandRequest struct {
	FencingToken uint64    `json:"crest"`
	Incarnation  uint64    `json:"wading"`
	Commands     []Command `json:"signals"`
}
