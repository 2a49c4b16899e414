package failovertest

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"heronwick/internal/standin"
)

// Controller is a node under test, in this process or in a process of its own.
type Controller interface {
	// Arm makes it freeze when it next reaches a point.
	Arm(at FreezePoint)
	// Frozen reports whether it is frozen.
	Frozen() bool
	// Resume lets it go on, or disarms it.
	Resume()
	// Kill ends it for good.
	Kill()
}

// Coordinator forces handovers of the duties between the nodes of one group.
type Coordinator struct {
	State   *standin.State
	Checker *Checker
	// Start starts a controller of a name that was never used.
	Start           func(name string) (Controller, error)
	Seed            uint64        // of the choices of holders, freeze points and pauses
	Fenced          bool          // duties are on
	HandoverTimeout time.Duration // the longest wait for a freeze, and for a handover
	ActionInterval  time.Duration // mean time between two actions of a controller
	SettleTime      time.Duration // after the last handover, to complete open intents

	epoch       epoch
	random      *rand.Rand
	controllers map[string]Controller
	frozen      []string // earlier leaders that are resumed after later handovers
	result      Result
}

const (
	// nodesPerGroup is how many controllers run at once.
	nodesPerGroup = 3
	// maxFrozen is how many earlier leaders stay frozen during a handover.
	maxFrozen = 1
	// maxPause is the longest pause after a handover, in action intervals.
	maxPause = 20
	// pollInterval is how often a condition that is waited for is checked.
	pollInterval = 5 * time.Millisecond
)

// Run forces handovers and returns what they have shown. It fails only if a controller
// cannot be started.
func (c *Coordinator) Run(handovers int) (Result, error) {
	c.random = rand.New(rand.NewPCG(c.Seed, 3))
	c.epoch.Nodes, c.controllers = map[string]uint64{}, map[string]Controller{}
	for range nodesPerGroup {
		if err := c.startNode(); err != nil {
			return Result{}, err
		}
	}
	c.elect(c.candidates("")[0], false)
	c.awaitHolder(c.epoch.Leader)
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

// settle resumes every controller and gives them time to complete what was begun.
func (c *Coordinator) settle() {
	for _, name := range c.frozen {
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

// candidates lists, in order, the nodes of the epoch that are not frozen, without excluded.
func (c *Coordinator) candidates(excluded string) []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(c.epoch.Nodes)), func(member string) bool {
		return member == excluded || slices.Contains(c.frozen, member)
	})
}

// elect writes an epoch in which a controller is the leader. Nodes that are new, or were
// removed in an earlier epoch, become members; the previous leader is removed if remove is
// set.
func (c *Coordinator) elect(leader string, remove bool) {
	for member, since := range c.epoch.Nodes {
		if since == 0 && member != c.epoch.Leader {
			c.epoch.Nodes[member] = c.State.Version(epochKey) + 1
		}
	}
	if remove {
		c.epoch.Nodes[c.epoch.Leader] = 0
	}
	c.epoch.Leader = leader
	c.State.Put(epochKey, c.epoch)
}

// handOver freezes the holder at a random point of an action, has another controller take
// over, and then releases the previous leader.
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
	began := time.Now()
	c.elect(next, remove)
	held := c.awaitHolder(next)
	c.result.addHandover(held, remove, time.Since(began))
	time.Sleep(time.Duration(c.random.Int64N(int64(maxPause * c.ActionInterval))))
	return c.releasePreviousLeader(holder)
}

// What becomes of a previous leader, one in three each.
const (
	resumeAtOnce = iota
	killForGood
	resumeLater
	numReleases
)

// releasePreviousLeader resumes the previous leader, at once or after a later handover, or
// replaces it by a new controller.
func (c *Coordinator) releasePreviousLeader(holder string) error {
	switch c.random.IntN(numReleases) {
	case resumeAtOnce:
		c.controllers[holder].Resume()
	case killForGood:
		c.controllers[holder].Kill()
		delete(c.epoch.Nodes, holder)
		if err := c.startNode(); err != nil {
			return err
		}
	case resumeLater:
		c.frozen = append(c.frozen, holder)
	}
	for len(c.frozen) > maxFrozen {
		c.controllers[c.frozen[0]].Resume()
		c.frozen = c.frozen[1:]
	}
	return nil
}

// awaitHolder waits until a controller holds the duties for the fleet, and returns false
// if it does not in time. With duties off there is nothing to wait for.
func (c *Coordinator) awaitHolder(name string) bool {
	return !c.Fenced || c.waitUntil(func() bool {
		return holderOf(c.State, rentHolderKey) == name && holderOf(c.State, reclaimHolderKey) == name
	})
}

// waitUntil waits until a condition is true, and returns false if it is not within
// HandoverTimeout.
func (c *Coordinator) waitUntil(condition func() bool) bool {
	for deadline := time.Now().Add(c.HandoverTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}
