// Package config reads and checks the settings file that the platform hands
// over. Everything else in heronwick uses the checked values, with the
// standard library's time types.
package config

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Settings is the checked content of the settings file.
type Settings struct {
	Node   string
	Zone   string
	Listen string
	Peer   string
	Peers  []Peer
	Cloud  string
	State  string

	Zones      []string
	Teams      []Team
	Objectives []Objective

	ReportEvery time.Duration // how often a worker reports
	LeaseFor    time.Duration // how long a worker lives on its last answered report
	CancelIn    time.Duration // by when a cancelled job's tasks must be gone

	// The state service's limits: the lower of those that hold now and of those
	// that are announced, which come into force at any moment without notice.
	StateRPS      float64
	StateWriteRPS float64
	ValueBytes    int
	TxnOps        int

	CloudRPS float64
	ListLag  time.Duration

	Cores          int     // whole cores that the process may use at once
	CoreShare      float64 // of a core's time that the process has
	MemoryBytes    int64
	MaxConnections int

	// DutyLease is the lease of single duties; 0: they are off. An operator's flag,
	// not part of the file.
	DutyLease time.Duration
}

// Peer is another controller.
type Peer struct {
	Node string
	Zone string
	Addr string
}

// Team has a guarantee and a limit; 0 means none.
type Team struct {
	Name    string
	CPUs    float64
	CPUsMax float64
	GPUs    float64
	GPUsMax float64
}

// Objective is what the users expect of a class of jobs.
type Objective struct {
	Kind   string
	Class  string
	Within time.Duration
	Share  float64
}

// file mirrors the settings file. Pointers tell what is missing.
type file struct {
	Node     *string    `toml:"node"`
	Location *string    `toml:"location"`
	Bind     *string    `toml:"bind"`
	PeerBind *string    `toml:"peer_bind"`
	Seeds    []filePeer `toml:"seeds"`
	Outside  struct {
		Cloud *string `toml:"cloud"`
		State *string `toml:"state"`
	} `toml:"outside"`
	Cluster struct {
		Size       *int64          `toml:"size"`
		Zones      []string        `toml:"zones"`
		Teams      []fileTeam      `toml:"teams"`
		Objectives []fileObjective `toml:"objectives"`
		Workers    struct {
			ReportS *float64 `toml:"report_s"`
			LeaseS  *float64 `toml:"lease_s"`
			CancelS *float64 `toml:"cancel_s"`
		} `toml:"workers"`
		State struct {
			RPS      *float64 `toml:"rps"`
			WriteRPS *float64 `toml:"write_rps"`
			ValueKB  *float64 `toml:"value_kb"`
			TxnOps   *int64   `toml:"txn_ops"`
			Next     struct {
				RPS      *float64 `toml:"rps"`
				WriteRPS *float64 `toml:"write_rps"`
				ValueKB  *float64 `toml:"value_kb"`
				TxnOps   *int64   `toml:"txn_ops"`
			} `toml:"next"`
		} `toml:"state"`
		Cloud struct {
			RPS      *float64 `toml:"rps"`
			ListLagS *float64 `toml:"list_lag_s"`
		} `toml:"cloud"`
		Limits struct {
			CoreShare      *float64 `toml:"core_share"`
			RAMMB          *float64 `toml:"ram_mb"`
			MaxConnections *int64   `toml:"max_connections"`
		} `toml:"machine_limits"`
	} `toml:"cluster"`
}

type filePeer struct {
	Node     string `toml:"node"`
	Location string `toml:"location"`
	Endpoint string `toml:"endpoint"`
}

type fileTeam struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

type fileObjective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// Load reads and checks the settings file at path. The error names every key
// that is missing or wrong.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading settings: %w", err)
	}
	return Parse(text)
}

// Parse checks the text of a settings file. Unknown keys are ignored.
func Parse(text []byte) (*Settings, error) {
	var f file
	if err := toml.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("settings are not valid TOML: %w", err)
	}
	c := checker{}
	s := &Settings{
		Node:           c.text("node", f.Node),
		Zone:           c.text("location", f.Location),
		Listen:         c.address("bind", f.Bind),
		Peer:           c.address("peer_bind", f.PeerBind),
		Cloud:          c.address("outside.cloud", f.Outside.Cloud),
		State:          c.address("outside.state", f.Outside.State),
		Zones:          f.Cluster.Zones,
		ReportEvery:    c.seconds("cluster.workers.report_s", f.Cluster.Workers.ReportS, 0.01),
		LeaseFor:       c.seconds("cluster.workers.lease_s", f.Cluster.Workers.LeaseS, 0.01),
		CancelIn:       c.seconds("cluster.workers.cancel_s", f.Cluster.Workers.CancelS, 0.01),
		CloudRPS:       c.number("cluster.cloud.rps", f.Cluster.Cloud.RPS, 0.01),
		ListLag:        c.seconds("cluster.cloud.list_lag_s", f.Cluster.Cloud.ListLagS, 0),
		Cores:          max(1, int(math.Ceil(c.number("cluster.machine_limits.core_share", f.Cluster.Limits.CoreShare, 0.001)))),
		MemoryBytes:    int64(c.number("cluster.machine_limits.ram_mb", f.Cluster.Limits.RAMMB, 16) * (1 << 20)),
		MaxConnections: int(c.integer("cluster.machine_limits.max_connections", f.Cluster.Limits.MaxConnections, 32)),
	}
	s.takeStateLimits(&c, &f)
	if f.Cluster.Limits.CoreShare != nil {
		s.CoreShare = *f.Cluster.Limits.CoreShare
	}
	if len(s.Zones) == 0 {
		c.add("cluster.zones", "is missing")
	}
	for i, p := range f.Seeds {
		key := fmt.Sprintf("seeds[%d].", i)
		s.Peers = append(s.Peers, Peer{Node: c.text(key+"node", &p.Node), Zone: p.Location, Addr: c.address(key+"endpoint", &p.Endpoint)})
	}
	if size := c.integer("cluster.size", f.Cluster.Size, 1); size > 0 && int(size) != len(s.Peers)+1 {
		c.add("cluster.size", fmt.Sprintf("is %d, but there are %d seeds", size, len(s.Peers)))
	}
	seen := map[string]bool{s.Node: true}
	for _, p := range s.Peers {
		if seen[p.Node] {
			c.add("seeds", fmt.Sprintf("node %q appears twice", p.Node))
		}
		seen[p.Node] = true
	}
	for i, t := range f.Cluster.Teams {
		key := fmt.Sprintf("cluster.teams[%d].", i)
		c.text(key+"name", &t.Name)
		for name, v := range map[string]float64{"cpus": t.CPUs, "cpus_max": t.CPUsMax, "gpus": t.GPUs, "gpus_max": t.GPUsMax} {
			c.number(key+name, &v, 0)
		}
		s.Teams = append(s.Teams, Team(t))
	}
	for _, o := range f.Cluster.Objectives {
		s.Objectives = append(s.Objectives, Objective{Kind: o.Kind, Class: o.Class,
			Within: time.Duration(o.WithinS * float64(time.Second)), Share: o.Share})
	}
	if len(c.errs) > 0 {
		return nil, fmt.Errorf("settings: %w", errors.Join(c.errs...))
	}
	return s, nil
}

// The least limits of the state service that the records can be kept within.
const (
	leastRate    = 0.1
	leastValueKB = 1
	leastTxnOps  = 4
)

// takeStateLimits takes the state service's limits. Those that are announced
// count from the start where they are lower, so that nothing depends on when
// they come into force.
func (s *Settings) takeStateLimits(c *checker, f *file) {
	now, next := &f.Cluster.State, &f.Cluster.State.Next
	const key, nextKey = "cluster.state.", "cluster.state.next."
	s.StateRPS = c.number(key+"rps", now.RPS, leastRate)
	s.StateWriteRPS = c.number(key+"write_rps", now.WriteRPS, leastRate)
	valueKB := c.number(key+"value_kb", now.ValueKB, leastValueKB)
	s.TxnOps = int(c.integer(key+"txn_ops", now.TxnOps, leastTxnOps))
	if next.RPS != nil {
		s.StateRPS = min(s.StateRPS, c.number(nextKey+"rps", next.RPS, leastRate))
	}
	if next.WriteRPS != nil {
		s.StateWriteRPS = min(s.StateWriteRPS, c.number(nextKey+"write_rps", next.WriteRPS, leastRate))
	}
	if next.ValueKB != nil {
		valueKB = min(valueKB, c.number(nextKey+"value_kb", next.ValueKB, leastValueKB))
	}
	if next.TxnOps != nil {
		s.TxnOps = min(s.TxnOps, int(c.integer(nextKey+"txn_ops", next.TxnOps, leastTxnOps)))
	}
	s.ValueBytes = int(valueKB * 1024)
}

// amplyCore is the share of a core from which on a controller answers its peers
// without delay, also while it takes over what another had.
const amplyCore = 0.15

// Slowness is how many times longer than usual a controller with this share of a
// core may be busy with what comes at once, a takeover for example: 1 to 3.
func (s *Settings) Slowness() float64 {
	if s.CoreShare <= 0 {
		return 1
	}
	return min(3, max(1, amplyCore/s.CoreShare))
}

// checker collects what is wrong, so that an operator sees all of it at once.
type checker struct {
	errs []error
}

func (c *checker) add(key, reason string) {
	c.errs = append(c.errs, fmt.Errorf("%s %s", key, reason))
}

func (c *checker) text(key string, v *string) string {
	if v == nil || *v == "" {
		c.add(key, "is missing")
		return ""
	}
	return *v
}

func (c *checker) address(key string, v *string) string {
	s := c.text(key, v)
	if s == "" {
		return ""
	}
	if _, _, err := net.SplitHostPort(s); err != nil {
		c.add(key, fmt.Sprintf("must be host:port, not %q", s))
	}
	return s
}

func (c *checker) number(key string, v *float64, low float64) float64 {
	if v == nil {
		c.add(key, "is missing")
		return 0
	}
	if math.IsNaN(*v) || *v < low || *v > 1e12 {
		c.add(key, fmt.Sprintf("must be at least %v, not %v", low, *v))
		return 0
	}
	return *v
}

func (c *checker) integer(key string, v *int64, low int64) int64 {
	if v == nil {
		c.add(key, "is missing")
		return 0
	}
	if *v < low {
		c.add(key, fmt.Sprintf("must be at least %d, not %d", low, *v))
		return 0
	}
	return *v
}

func (c *checker) seconds(key string, v *float64, low float64) time.Duration {
	n := c.number(key, v, low)
	if n > 1e6 {
		c.add(key, "must be at most 1000000")
		return 0
	}
	return time.Duration(n * float64(time.Second))
}
