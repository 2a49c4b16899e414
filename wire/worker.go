package wire

// Paths between workers and controllers.
const (
	PathReport   = "/checkin"
	PathCommands = "/orders"
	PathStatus   = "/show"
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

// Why says how a task exited.
type Why string

// The ways in which a task exits.
const (
	WhyDone    Why = "done"
	WhyStopped Why = "stopped"
	WhyError   Why = "error"
	WhyNoRoom  Why = "no_room"
	WhyBusy    Why = "busy"
	WhyUnknown Why = "unknown"
	WhyPeers   Why = "peers" // a gang's: a peer has gone
	WhyAlone   Why = "alone" // a gang's: its peers did not come
)

// TaskReport is one task in a worker's report.
type TaskReport struct {
	Task    string    `json:"feather"`
	Attempt uint64    `json:"hop"`
	State   TaskState `json:"stance"`
	Why     Why       `json:"cause,omitempty"`
	Saved   bool      `json:"kept,omitempty"`
}

// Report is what a worker tells of itself. The message with the larger
// (Session, Seq) is the newer one.
type Report struct {
	Machine string       `json:"perch"`
	Address string       `json:"address"`
	Type    string       `json:"breed"`
	Zone    string       `json:"marsh"`
	Spot    bool         `json:"drift"`
	Session uint64       `json:"wading"`
	Seq     uint64       `json:"call"`
	Token   uint64       `json:"crest"`
	NoticeS *float64     `json:"flush_s"`
	Tasks   []TaskReport `json:"feathers"`
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

// ReportReply answers a report with 200.
type ReportReply struct {
	Token    uint64    `json:"crest"`
	Commands []Command `json:"signals"`
}

// Redirect answers a report with 421 and names the controller to report to.
type Redirect struct {
	ReportTo string `json:"heronry,omitempty"`
}

// CommandRequest carries commands straight to a worker.
type CommandRequest struct {
	Token    uint64    `json:"crest"`
	Session  uint64    `json:"wading"`
	Commands []Command `json:"signals"`
}
