package failovertest

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"heronwick/internal/standin"
)

// Controller is a controller under test, in this process or in a process of its own.
type Controller interface {
	// Arm makes the controller freeze the next time it reaches a point.
	Arm(at FreezePoint)
	// Frozen reports whether the controller is frozen.
	Frozen() bool
	// Resume lets a frozen controller continue, or disarms one that is not frozen.
	Resume()
	// Kill ends the controller permanently.
	Kill()
}

// Coordinator forces handovers of the duties between the nodes of one group.
type Coordinator struct {
	State   *standin.State
	Checker *Checker
	// Start starts a controller under a name that has not been used before.
	Start           func(name string) (Controller, error)
	Seed            uint64        // for the random choice of holders, freeze points and pauses
	Fenced          bool          // duties are on
	HandoverTimeout time.Duration // maximum wait for a freeze, and for a handover
	ActionInterval  time.Duration // mean time between two actions of a controller
	SettleTime      time.Duration // for open intents to be completed after the last handover

	epoch         epoch
	random        *rand.Rand
	controllers   map[string]Controller
	frozenLeaders []string // previous leaders that are resumed after later handovers
	result        Result
}

const (
	// nodesPerGroup is how many controllers run at once.
	nodesPerGroup = 3
	// maxFrozenLeaders is how many previous leaders may stay frozen during a handover.
	maxFrozenLeaders = 1
	// maxPauseIntervals is the longest pause after a handover, as a multiple of the action
	// interval.
	maxPauseIntervals = 20
	// pollInterval is how often waitUntil checks its condition.
	pollInterval = 5 * time.Millisecond
)

// Run forces handovers and returns the result. It returns an error only if a controller cannot
// be started.
func (c *Coordinator) Run(handovers int) (Result, error) {
	c.random = rand.New(rand.NewPCG(c.Seed, 3))
	c.epoch.Nodes, c.controllers = map[string]uint64{}, map[string]Controller{}
	for range nodesPerGroup {
		if err := c.startNode(); err != nil {
			return Result{}, err
		}
	}
	c.elect(c.candidates("")[0], false)
	c.waitForHolder(c.epoch.Leader)
	for range handovers {
		if err := c.handOver(); err != nil {
			return Result{}, err
		}
	}
	c.settle()
	c.result.Handovers, c.result.Checks = handovers, c.Checker.Counts()
	c.result.OpenIntents = len(c.State.Items(returnPrefix)) + len(c.State.Items(rentalPrefix))
	return c.result, nil
}

// settle resumes all controllers and gives them time to complete open intents.
func (c *Coordinator) settle() {
	for _, name := range c.frozenLeaders {
		c.controllers[name].Resume()
	}
	c.epoch.Quiet = true
	c.elect(c.epoch.Leader, false)
	time.Sleep(c.SettleTime)
}

// startNode starts a controller, which becomes a member with the next epoch.
func (c *Coordinator) startNode() error {
	name := fmt.Sprintf("c%d", len(c.controllers)+1)
	controller, err := c.Start(name)
	if err != nil {
		return fmt.Errorf("starting controller %s: %w", name, err)
	}
	c.controllers[name] = controller
	c.epoch.Nodes[name] = 0
	return nil
}

// candidates returns the nodes of the epoch in sorted order, except those that are frozen and
// the excluded one.
func (c *Coordinator) candidates(excluded string) []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(c.epoch.Nodes)), func(node string) bool {
		return node == excluded || slices.Contains(c.frozenLeaders, node)
	})
}

// elect writes an epoch with the given leader. Nodes that are new or were removed in an
// earlier epoch become members. If remove is set, the previous leader is removed.
func (c *Coordinator) elect(leader string, remove bool) {
	for node, since := range c.epoch.Nodes {
		if since == 0 && node != c.epoch.Leader {
			c.epoch.Nodes[node] = c.State.Version(epochKey) + 1
		}
	}
	if remove {
		c.epoch.Nodes[c.epoch.Leader] = 0
	}
	c.epoch.Leader = leader
	c.State.Put(epochKey, c.epoch)
}

// handOver freezes the holder at a random point of an action and elects another controller.
// After a random pause it resumes or replaces the previous leader, or leaves it frozen for
// now.
func (c *Coordinator) handOver() error {
	holder, at := c.epoch.Leader, FreezePoint(c.random.IntN(int(NumFreezePoints)))
	c.controllers[holder].Arm(at)
	if c.waitUntil(c.controllers[holder].Frozen) {
		c.result.FrozenAt[at]++
	} else {
		c.controllers[holder].Resume()
	}
	others := c.candidates(holder)
	next, remove := others[c.random.IntN(len(others))], c.random.IntN(2) == 0
	startedAt := time.Now()
	c.elect(next, remove)
	held := c.waitForHolder(next)
	c.result.addHandover(held, remove, time.Since(startedAt))
	time.Sleep(time.Duration(c.random.Int64N(int64(maxPauseIntervals * c.ActionInterval))))
	return c.resumeOrReplaceLeader(holder)
}

// What happens to a previous leader: one of these outcomes, with equal probability.
const (
	resumeImmediately = iota
	killAndReplace
	resumeLater
	numLeaderOutcomes
)

// resumeOrReplaceLeader resumes the previous leader, immediately or after a later handover, or
// kills it and starts a new controller.
func (c *Coordinator) resumeOrReplaceLeader(holder string) error {
	switch c.random.IntN(numLeaderOutcomes) {
	case resumeImmediately:
		c.controllers[holder].Resume()
	case killAndReplace:
		c.controllers[holder].Kill()
		delete(c.epoch.Nodes, holder)
		if err := c.startNode(); err != nil {
			return err
		}
	case resumeLater:
		c.frozenLeaders = append(c.frozenLeaders, holder)
	}
	for len(c.frozenLeaders) > maxFrozenLeaders {
		c.controllers[c.frozenLeaders[0]].Resume()
		c.frozenLeaders = c.frozenLeaders[1:]
	}
	return nil
}

// waitForHolder waits until a controller holds the duties of the fleet, and returns false if
// this takes longer than HandoverTimeout. With duties off it returns true immediately.
func (c *Coordinator) waitForHolder(name string) bool {
	return !c.Fenced || c.waitUntil(func() bool {
		return holderOf(c.State, rentHolderKey) == name && holderOf(c.State, reclaimHolderKey) == name
	})
}

// waitUntil waits until a condition is true, and returns false if this takes longer than
// HandoverTimeout.
func (c *Coordinator) waitUntil(condition func() bool) bool {
	for deadline := time.Now().Add(c.HandoverTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}
