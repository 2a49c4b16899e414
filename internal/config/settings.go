package config

import "time"

// Settings contains the validated values of the settings file.
type Settings struct {
	Node       string // name of this controller
	Zone       string // zone in which this controller runs
	Listen     string // host:port at which this controller serves users and workers
	PeerListen string // host:port at which this controller serves the other controllers
	Peers      []Peer // the other controllers
	CloudAddr  string // host:port of the cloud
	StateAddr  string // host:port of the key-value store

	Zones      []string // zones of the cluster, at least one
	Teams      []Team   // if empty, any team may submit jobs, without limits
	Objectives []Objective

	HeartbeatInterval time.Duration // time between two heartbeats of a worker
	LeaseDuration     time.Duration // duration of a worker's lease without a renewal
	CancelTimeout     time.Duration // time within which the tasks of a cancelled job must be gone

	// The limits of the key-value store: for each, the lower of the current and the
	// announced limit, since the announced limits can come into force at any time and
	// without notice.

	StateRequestRate float64 // requests per second
	StateWriteRate   float64 // writes per second
	MaxValueBytes    int     // size of a value
	MaxTxnOps        int     // operations in a transaction

	CloudRequestRate float64       // requests per second that the cloud accepts
	CloudListLag     time.Duration // usual lag of the cloud's list of machines

	Cores          int     // number of cores that the process may use concurrently
	CoreShare      float64 // processor time available to the process, in cores
	MemoryBytes    int64   // memory that the process may use
	MaxConnections int     // number of sockets that the process may have open

	// DutyLease is the duration of the lease of single duties, or 0 if they are
	// disabled. It comes from a command-line flag, not from the settings file.
	DutyLease time.Duration
}

// Peer is another controller.
type Peer struct {
	Node string
	Zone string
	Addr string // host:port at which it serves other controllers
}

// Team has guaranteed resources (CPUs, GPUs) and limits on the resources that its tasks
// may use at any time (CPUsMax, GPUsMax). 0 means no guarantee or no limit.
type Team struct {
	Name    string
	CPUs    float64
	CPUsMax float64
	GPUs    float64
	GPUsMax float64
}

// Objective is a service level objective: Fraction of the measured durations must not
// exceed Within.
type Objective struct {
	Kind     string // the measured duration, for example "finished" or "wait"
	Class    string // class of the measured jobs; empty for all jobs
	Within   time.Duration
	Fraction float64 // from 0 to 1
}

// fullSpeedCoreShare is the minimum share of a core with which a controller answers its
// peers without delay, even while it takes over from another controller.
const fullSpeedCoreShare = 0.15

// maxTimeoutFactor bounds how much longer controllers wait for a slow controller.
const maxTimeoutFactor = 3

// TimeoutFactor returns the factor, from 1 to maxTimeoutFactor, by which the timeouts
// between controllers are extended. Controllers with a small share of a core are busy for
// longer with bursts of work, such as a takeover.
func (s *Settings) TimeoutFactor() float64 {
	if s.CoreShare <= 0 {
		return 1
	}
	return min(maxTimeoutFactor, max(1, fullSpeedCoreShare/s.CoreShare))
}
