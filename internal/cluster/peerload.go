package cluster

import "heronwick/internal/cluster/peerpb"

// memberStatusesLocked returns the last status of each peer that is a member,
// whether it was heard from lately or not.
func (c *Cluster) memberStatusesLocked() []*peerpb.Status {
	var statuses []*peerpb.Status
	for node, p := range c.peers {
		if c.nodeIsMemberLocked(node) && p.status != nil {
			statuses = append(statuses, p.status)
		}
	}
	return statuses
}

func (c *Cluster) nodeIsMemberLocked(node string) bool { return c.epoch.Members[node].Since != 0 }

// PeerCapacity is what the machines of the other members have together.
type PeerCapacity struct {
	Machines int
	CPUs     float64 // used or not
	FreeCPUs float64
}

// PeerCapacity returns what the machines of the other members have together, by
// the last status of each.
func (c *Cluster) PeerCapacity() PeerCapacity {
	c.mu.Lock()
	defer c.mu.Unlock()
	var capacity PeerCapacity
	for _, status := range c.memberStatusesLocked() {
		capacity.Machines += int(status.Machines)
		capacity.CPUs += status.Cpus
		capacity.FreeCPUs += status.FreeCpus
	}
	return capacity
}

// IdleMachines returns how many idle machines another controller has, 0 if its status is
// not known.
func (c *Cluster) IdleMachines(node string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[node]; p != nil && p.status != nil {
		return int(p.status.Idle)
	}
	return 0
}

// PeerLoad is the load of another member.
type PeerLoad struct {
	Machines   int
	Overloaded bool // it was short of processor time lately
}

// PeerLoads returns the loads of the other members that were heard from lately,
// by node.
func (c *Cluster) PeerLoads() map[string]PeerLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	loads := map[string]PeerLoad{}
	for _, p := range c.livePeersLocked() {
		if c.nodeIsMemberLocked(p.node) {
			loads[p.node] = PeerLoad{Machines: int(p.status.Machines), Overloaded: p.status.Overloaded}
		}
	}
	return loads
}

// PeerUnplacedTasks returns the tasks for which the other members' machines have no
// room.
func (c *Cluster) PeerUnplacedTasks() []*peerpb.Want {
	c.mu.Lock()
	defer c.mu.Unlock()
	var wants []*peerpb.Want
	for _, p := range c.livePeersLocked() {
		if c.nodeIsMemberLocked(p.node) {
			wants = append(wants, p.status.Wants...)
		}
	}
	return wants
}

// MaxWorkersHeardByPeer returns the largest number of workers that lately sent their
// heartbeats to one peer instead of the leader.
func (c *Cluster) MaxWorkersHeardByPeer() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.maxWorkersHeardByPeerLocked(nil)
}

// maxWorkersHeardByPeerLocked returns the largest number of workers that lately sent
// their heartbeats to one peer other than the given one.
func (c *Cluster) maxWorkersHeardByPeerLocked(except *peer) int {
	most := 0
	for _, p := range c.livePeersLocked() {
		if p != except {
			most = max(most, int(p.workersHeard))
		}
	}
	return most
}

// PeersReachingStore returns the peers that lately reached the store.
func (c *Cluster) PeersReachingStore() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var nodes []string
	for _, p := range c.livePeersLocked() {
		if p.stateOK {
			nodes = append(nodes, p.node)
		}
	}
	return nodes
}

// LivePeerCount counts the peers that were heard from lately.
func (c *Cluster) LivePeerCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.livePeersLocked())
}

// LivePeerStatuses returns the status of each peer that was heard from lately.
func (c *Cluster) LivePeerStatuses() []*peerpb.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	var statuses []*peerpb.Status
	for _, p := range c.livePeersLocked() {
		statuses = append(statuses, p.status)
	}
	return statuses
}
