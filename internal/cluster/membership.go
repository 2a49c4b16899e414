package cluster

import (
	"context"
	"maps"
	"slices"
	"time"

	"heronwick/internal/cluster/peerpb"
)

// next copies the epoch and raises the token.
func (e *Epoch) next() Epoch {
	n := *e
	n.Token++
	n.Members, n.Teams = maps.Clone(e.Members), maps.Clone(e.Teams)
	if n.Members == nil {
		n.Members = map[string]Member{}
	}
	if n.Teams == nil {
		n.Teams = map[string]string{}
	}
	return n
}

// assignTeams gives every team an owner among the members. A team whose owner is a
// member moves only if that evens out the work by much: a move costs its tasks
// a second owner.
func (e *Epoch) assignTeams(weights map[string]float64) {
	load := map[string]float64{}
	for node := range e.Members {
		load[node] = 0
	}
	nodes := slices.Sorted(maps.Keys(load))
	teams := slices.Sorted(maps.Keys(weights))
	slices.SortStableFunc(teams, func(a, b string) int {
		switch {
		case weights[a] > weights[b]:
			return -1
		case weights[a] < weights[b]:
			return 1
		}
		return 0
	})
	least := func() string {
		return slices.MinFunc(nodes, func(a, b string) int {
			switch {
			case load[a] < load[b]:
				return -1
			case load[a] > load[b]:
				return 1
			}
			return 0
		})
	}
	var loose []string
	for _, t := range teams {
		if _, ok := load[e.Teams[t]]; !ok {
			loose = append(loose, t)
			continue
		}
		load[e.Teams[t]] += weights[t]
	}
	for _, t := range loose {
		// The leader takes the machines of a member that has gone, so it takes
		// its teams too: elsewhere all their tasks would run on another owner's machines.
		e.Teams[t] = e.Leader
		if _, ok := load[e.Leader]; !ok {
			e.Teams[t] = least()
		}
		load[e.Teams[t]] += weights[t]
	}
	// The smallest first: a move leaves the team's tasks on others' machines.
	slices.Reverse(teams)
	for _, t := range teams {
		from, to := e.Teams[t], least()
		// Worth it only if the receiver stays well below what the giver had.
		if from != to && load[to]+weights[t] < 0.75*load[from] {
			e.Teams[t] = to
			load[from] -= weights[t]
			load[to] += weights[t]
		}
	}
	for t := range e.Teams {
		if _, ok := weights[t]; !ok {
			delete(e.Teams, t)
		}
	}
}

// reconcileMembership keeps the members and the assignment of teams up to date. Only the
// leader does.
func (c *Cluster) reconcileMembership(ctx context.Context) {
	weights := c.opts.Weights()
	c.mu.Lock()
	if !c.leadsLocked() {
		c.mu.Unlock()
		return
	}
	now := time.Now()
	next, version := c.epoch.next(), c.version
	changed := false
	for node, p := range c.peers {
		member := next.Members[node].Incarnation
		alive := !p.lastSeen.IsZero() && now.Sub(p.lastSeen) < c.timeouts.deadAfter
		if alive && member != 0 && p.status.Cut && p.status.Incarnation == member && p.workersElsewhere(c) {
			p.excludedUntil = now.Add(exclusionPeriod)
		}
		// Only who knows this epoch is surely still there: the leader before,
		// say, was heard a moment before it ended.
		fit := alive && p.status.Ready && !p.status.Cut && p.token >= c.epoch.Token && now.After(p.excludedUntil)
		switch {
		case member != 0 && (!alive || p.incarnation != member || now.Before(p.excludedUntil)):
			delete(next.Members, node)
			changed = true
			c.opts.Log.Info("member gone", "member", node, "silent", now.Sub(p.lastSeen), "shunned", now.Before(p.excludedUntil))
			fallthrough
		case member == 0 && fit:
			if fit {
				next.Members[node] = Member{Incarnation: p.incarnation, Since: next.Token}
				changed = true
				c.opts.Log.Info("member joins", "member", node)
			}
		}
	}
	for _, node := range next.Teams {
		changed = changed || next.Members[node].Since == 0
	}
	for t := range weights {
		changed = changed || next.Teams[t] == ""
	}
	c.mu.Unlock()
	if !changed {
		return
	}
	next.assignTeams(weights)
	if err := c.compareAndSwapEpoch(ctx, next, version); err != nil {
		c.opts.Log.Info("changing the epoch failed", "err", err)
	}
}

// workersElsewhere tells whether the workers that a cut member cannot reach
// come to other controllers.
func (p *peer) workersElsewhere(c *Cluster) bool {
	heard := max(len(c.workersHeard), c.mostWorkersHeardLocked(p))
	return heard > int(p.status.Machines)/3
}

// Totals sums the machines, idle machines, CPUs and free CPUs of the other members.
func (c *Cluster) Totals() (machines, idle int, cpus, free float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for node, p := range c.peers {
		if c.epoch.Members[node].Since != 0 && p.status != nil {
			machines, idle = machines+int(p.status.Machines), idle+int(p.status.Idle)
			cpus, free = cpus+p.status.Cpus, free+p.status.FreeCpus
		}
	}
	return machines, idle, cpus, free
}

// Idle tells how many idle machines a member has.
func (c *Cluster) Idle(node string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[node]; p != nil && p.status != nil {
		return int(p.status.Idle)
	}
	return 0
}

// PeerLoad is what another member has to look after.
type PeerLoad struct {
	Machines   int
	Overloaded bool // it was short of processor time lately
}

// PeerLoads returns the loads of the other members that were heard from lately.
func (c *Cluster) PeerLoads() map[string]PeerLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	loads := map[string]PeerLoad{}
	for _, p := range c.heardPeersLocked() {
		if c.epoch.Members[p.node].Since != 0 {
			loads[p.node] = PeerLoad{Machines: int(p.status.Machines), Overloaded: p.status.Overloaded}
		}
	}
	return loads
}

// UnplacedWants returns the demand that finds no room on the other members' machines.
func (c *Cluster) UnplacedWants() []*peerpb.Want {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*peerpb.Want
	for _, p := range c.heardPeersLocked() {
		if c.epoch.Members[p.node].Since != 0 {
			all = append(all, p.status.Wants...)
		}
	}
	return all
}
