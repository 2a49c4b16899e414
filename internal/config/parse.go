package config

import (
	"fmt"
	"math"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// The minimum values with which a controller can work.
const (
	minInterval         = 0.01 // seconds
	minCloudRequestRate = 0.01
	minCoreShare        = 0.001
	minMemoryMB         = 16
	minMaxConnections   = 32
)

// The minimum limits of the key-value store that heronwick's records and transactions can
// comply with.
const (
	minStateRequestRate = 0.1
	MinValueKB          = 1
	MinTxnOps           = 4
)

// Load reads and validates the settings file at path. The error joins a *KeyError for
// every missing or invalid key.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading settings: %w", err)
	}
	return Parse(text)
}

// Parse parses and validates the text of a settings file, with the same errors as Load.
// It ignores unknown keys.
func Parse(text []byte) (*Settings, error) {
	var f file
	if err := toml.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("settings are not valid TOML: %w", err)
	}
	var c checker
	s := &Settings{}
	s.setAddresses(&c, &f)
	s.setWorkerTimes(&c, &f.Cluster.Workers)
	s.setCloudLimits(&c, &f.Cluster.Cloud)
	s.setMachineLimits(&c, &f.Cluster.Limits)
	s.setStateLimits(&c, &f.Cluster.State)
	s.setZones(&c, f.Cluster.Zones)
	s.setPeers(&c, f.Seeds)
	s.checkSize(&c, f.Cluster.Size)
	s.checkNodeNames(&c)
	s.setTeams(&c, f.Cluster.Teams)
	s.setObjectives(f.Cluster.Objectives)
	if err := c.err(); err != nil {
		return nil, err
	}
	return s, nil
}

// setAddresses sets the name, the zone and the addresses of this controller, and the
// addresses of the cloud and of the key-value store.
func (s *Settings) setAddresses(c *checker, f *file) {
	s.Node = c.text("node", f.Node)
	s.Zone = c.text("location", f.Location)
	s.Listen = c.address("bind", f.Bind)
	s.PeerListen = c.address("peer_bind", f.PeerBind)
	s.CloudAddr = c.address("outside.cloud", f.Outside.Cloud)
	s.StateAddr = c.address("outside.state", f.Outside.State)
}

func (s *Settings) setWorkerTimes(c *checker, f *fileWorkers) {
	s.HeartbeatInterval = c.seconds("cluster.workers.report_s", f.ReportS, minInterval)
	s.LeaseDuration = c.seconds("cluster.workers.lease_s", f.LeaseS, minInterval)
	s.CancelTimeout = c.seconds("cluster.workers.cancel_s", f.CancelS, minInterval)
}

func (s *Settings) setCloudLimits(c *checker, f *fileCloud) {
	s.CloudRequestRate = c.number("cluster.cloud.rps", f.RPS, minCloudRequestRate)
	s.CloudListLag = c.seconds("cluster.cloud.list_lag_s", f.ListLagS, 0)
}

func (s *Settings) setMachineLimits(c *checker, f *fileLimits) {
	s.CoreShare = c.number("cluster.machine_limits.core_share", f.CoreShare, minCoreShare)
	s.Cores = max(1, int(math.Ceil(s.CoreShare)))
	s.MemoryBytes = int64(c.number("cluster.machine_limits.ram_mb", f.RAMMB, minMemoryMB) * (1 << 20))
	s.MaxConnections = int(c.integer("cluster.machine_limits.max_connections", f.MaxConnections, minMaxConnections))
}

// setStateLimits sets the limits of the key-value store. An announced limit that is lower
// than the current one applies from the start, so that it does not matter when the
// announced limits come into force.
func (s *Settings) setStateLimits(c *checker, f *fileState) {
	const key, nextKey = "cluster.state.", "cluster.state.next."
	s.StateRequestRate = c.number(key+"rps", f.RPS, minStateRequestRate)
	s.StateWriteRate = c.number(key+"write_rps", f.WriteRPS, minStateRequestRate)
	valueKB := c.number(key+"value_kb", f.ValueKB, MinValueKB)
	s.MaxTxnOps = int(c.integer(key+"txn_ops", f.TxnOps, MinTxnOps))

	next := &f.Next
	if next.RPS != nil {
		s.StateRequestRate = min(s.StateRequestRate, c.number(nextKey+"rps", next.RPS, minStateRequestRate))
	}
	if next.WriteRPS != nil {
		s.StateWriteRate = min(s.StateWriteRate, c.number(nextKey+"write_rps", next.WriteRPS, minStateRequestRate))
	}
	if next.ValueKB != nil {
		valueKB = min(valueKB, c.number(nextKey+"value_kb", next.ValueKB, MinValueKB))
	}
	if next.TxnOps != nil {
		s.MaxTxnOps = min(s.MaxTxnOps, int(c.integer(nextKey+"txn_ops", next.TxnOps, MinTxnOps)))
	}
	s.MaxValueBytes = int(valueKB * 1024)
}

func (s *Settings) setZones(c *checker, zones []string) {
	if len(zones) == 0 {
		c.add("cluster.zones", "is missing")
	}
	s.Zones = zones
}

func (s *Settings) setPeers(c *checker, seeds []filePeer) {
	for i, seed := range seeds {
		key := fmt.Sprintf("seeds[%d].", i)
		s.Peers = append(s.Peers, Peer{
			Node: c.text(key+"node", &seed.Node),
			Zone: seed.Location,
			Addr: c.address(key+"endpoint", &seed.Endpoint),
		})
	}
}

// checkSize checks that the cluster size equals the number of seeds plus this controller.
func (s *Settings) checkSize(c *checker, size *int64) {
	const key = "cluster.size"
	if n := c.integer(key, size, 1); n > 0 && int(n) != len(s.Peers)+1 {
		c.add(key, fmt.Sprintf("is %d, but there are %d seeds", n, len(s.Peers)))
	}
}

// checkNodeNames checks that the names of the controllers are unique.
func (s *Settings) checkNodeNames(c *checker) {
	seen := map[string]bool{s.Node: true}
	for _, peer := range s.Peers {
		if seen[peer.Node] {
			c.add("seeds", fmt.Sprintf("node %q appears twice", peer.Node))
		}
		seen[peer.Node] = true
	}
}

func (s *Settings) setTeams(c *checker, teams []fileTeam) {
	for i, team := range teams {
		key := fmt.Sprintf("cluster.teams[%d].", i)
		c.text(key+"name", &team.Name)
		c.number(key+"cpus", &team.CPUs, 0)
		c.number(key+"cpus_max", &team.CPUsMax, 0)
		c.number(key+"gpus", &team.GPUs, 0)
		c.number(key+"gpus_max", &team.GPUsMax, 0)
		s.Teams = append(s.Teams, Team(team))
	}
}

func (s *Settings) setObjectives(objectives []fileObjective) {
	for _, objective := range objectives {
		s.Objectives = append(s.Objectives, Objective{
			Kind:     objective.Kind,
			Class:    objective.Class,
			Within:   seconds(objective.WithinS),
			Fraction: objective.Share,
		})
	}
}

// seconds converts a number of seconds to a time.Duration.
func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
