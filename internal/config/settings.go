package config

import "time"

// Settings is the checked content of the settings file.
type Settings struct {
	Node       string // name of this controller
	Zone       string // where it runs
	Listen     string // host:port for users and workers
	PeerListen string // host:port for the other controllers
	Peers      []Peer // the other controllers
	CloudAddr  string // host:port of the cloud
	StateAddr  string // host:port of the key-value store

	Zones      []string // of the cluster, at least one
	Teams      []Team   // empty: any team may submit jobs, without limits
	Objectives []Objective

	HeartbeatInterval time.Duration // how often a worker sends a heartbeat
	LeaseDuration     time.Duration // how long a worker's lease lasts without a renewal
	CancelTimeout     time.Duration // within which a cancelled job's tasks must be gone

	// The limits of the key-value store: the lower of those that hold now and of
	// those that are announced, which come into force at any moment without notice.

	StateRequestRate float64 // requests a second
	StateWriteRate   float64 // writes a second
	MaxValueBytes    int     // size of a value
	MaxTxnOps        int     // operations in a transaction

	CloudRequestRate float64       // requests a second that the cloud accepts
	CloudListLag     time.Duration // by how much the cloud's list of machines usually lags

	Cores          int     // whole cores that the process may use at once
	CoreShare      float64 // of a core's time that the process has
	MemoryBytes    int64   // of memory that the process may use
	MaxConnections int     // sockets that the process may have open

	// DutyLease is the lease of single duties; 0: they are off. It is an operator's
	// flag, not part of the file.
	DutyLease time.Duration
}

// Peer is another controller.
type Peer struct {
	Node string
	Zone string
	Addr string // host:port for controllers
}

// Team has guaranteed resources (CPUs, GPUs) and limits on what its tasks may use
// at any time (CPUsMax, GPUsMax); 0 means none.
type Team struct {
	Name    string
	CPUs    float64
	CPUsMax float64
	GPUs    float64
	GPUsMax float64
}

// Objective is a service level that the users expect: that a fraction of what is
// measured takes no longer than a duration.
type Objective struct {
	Kind     string // what is measured, for example "finished" or "wait"
	Class    string // of the jobs that it is measured on; empty: all
	Within   time.Duration
	Fraction float64 // 0 to 1
}

// unimpededCoreShare is the share of a core from which on a controller answers
// its peers without delay, also while it takes over from another.
const unimpededCoreShare = 0.15

// maxTimeoutFactor bounds how long others wait for a slow controller.
const maxTimeoutFactor = 3

// TimeoutFactor returns how many times longer than usual a controller with this share
// of a core may be busy with much work at once, a takeover for example: 1 to 3.
func (s *Settings) TimeoutFactor() float64 {
	if s.CoreShare <= 0 {
		return 1
	}
	return min(maxTimeoutFactor, max(1, unimpededCoreShare/s.CoreShare))
}
