package cluster

import "heronwick/internal/cluster/peerpb"

// memberStatusesLocked returns the last status of each peer that is a member, even if
// the peer is not live.
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

// PeerCapacity is the total capacity of the machines of the other members.
type PeerCapacity struct {
	Machines int
	CPUs     float64 // all CPUs, including those in use
	FreeCPUs float64
}

// PeerCapacity returns the total capacity of the machines of the other members
// according to their last statuses.
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

// IdleMachines returns the number of idle machines of another controller, or 0 if its
// status is not known.
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
	Overloaded bool // it was recently short of processor time
}

// PeerLoads returns the loads of the other members that are live, by node.
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

// PeerUnplacedTasks returns the numbers of tasks, by job, that the other live members
// cannot place because their machines have no room.
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

// MaxWorkersHeardByPeer returns the largest number of workers, over the live peers,
// that recently sent their heartbeats to the peer instead of the leader.
func (c *Cluster) MaxWorkersHeardByPeer() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.maxWorkersHeardByPeerLocked(nil)
}

// maxWorkersHeardByPeerLocked is like MaxWorkersHeardByPeer, but does not count the
// peer except, which may be nil.
func (c *Cluster) maxWorkersHeardByPeerLocked(except *peer) int {
	most := 0
	for _, p := range c.livePeersLocked() {
		if p != except {
			most = max(most, int(p.workersHeard))
		}
	}
	return most
}

// PeersReachingStore returns the names of the live peers that recently reached the
// store directly.
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

// LivePeerCount returns the number of live peers.
func (c *Cluster) LivePeerCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.livePeersLocked())
}

// LivePeerStatuses returns the last status of each live peer.
func (c *Cluster) LivePeerStatuses() []*peerpb.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	var statuses []*peerpb.Status
	for _, p := range c.livePeersLocked() {
		statuses = append(statuses, p.status)
	}
	return statuses
}
