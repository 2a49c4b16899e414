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
	Arm(at FreezePoint)
	Frozen() bool
	// Resume lets it go on, or disarms it.
	Resume()
	// Kill ends it for good.
	Kill()
}

// Result is what a failover test has shown.
type Result struct {
	Handovers int
	Checks    CheckCounts
	// OpenIntents is how many intents were still open at the end.
	OpenIntents int
	// Took is how long handovers took, in seconds, from the choice of the successor until
	// it held the duties: after a lease expiry, and after the former holder was
	// removed from the epoch.
	AfterLeaseExpiry, AfterRemoval []float64
	// FrozenAt counts the handovers by the point at which the holder was frozen.
	FrozenAt [NumFreezePoints]int
	// TimedOut counts handovers that did not come about in time.
	TimedOut int
}

// Add adds the result of another group.
func (r *Result) Add(o Result) {
	r.Handovers, r.OpenIntents, r.TimedOut = r.Handovers+o.Handovers, r.OpenIntents+o.OpenIntents, r.TimedOut+o.TimedOut
	r.AfterLeaseExpiry, r.AfterRemoval = append(r.AfterLeaseExpiry, o.AfterLeaseExpiry...), append(r.AfterRemoval, o.AfterRemoval...)
	for point, count := range o.FrozenAt {
		r.FrozenAt[point] += count
	}
	v := &r.Checks
	v.Returned, v.Rented, v.Late = v.Returned+o.Checks.Returned, v.Rented+o.Checks.Rented, v.Late+o.Checks.Late
	v.AfterRefusal, v.Stale = v.AfterRefusal+o.Checks.AfterRefusal, v.Stale+o.Checks.Stale
	v.Findings = append(v.Findings, o.Checks.Findings...)
}

// Coordinator forces handovers of the duties between the nodes of one group.
type Coordinator struct {
	State           *standin.State
	Checker         *Checker
	Start           func(name string) Controller // of a name that was never used
	Seed            uint64
	Fenced          bool          // whether duties are on
	HandoverTimeout time.Duration // for one handover
	ActionInterval  time.Duration // between two actions of a controller
	SettleTime      time.Duration // at the end

	epoch       epoch
	random      *rand.Rand
	controllers map[string]Controller
	frozen      []string // resumed later
	result      Result
}

// nodesPerGroup is how many controllers run at once.
const nodesPerGroup = 3

// Run forces so many handovers and returns what they have shown.
func (c *Coordinator) Run(handovers int) Result {
	c.random = rand.New(rand.NewPCG(c.Seed, 3))
	c.epoch.Nodes, c.controllers = map[string]uint64{}, map[string]Controller{}
	for range nodesPerGroup {
		c.startNode()
	}
	c.elect(c.candidates("")[0], false)
	c.awaitHolder(c.epoch.Leader)
	for range handovers {
		c.handOver()
	}
	for _, name := range c.frozen {
		c.controllers[name].Resume()
	}
	c.epoch.Quiet = true
	c.elect(c.epoch.Leader, false)
	time.Sleep(c.SettleTime)
	c.result.Handovers, c.result.Checks = handovers, c.Checker.Counts()
	c.result.OpenIntents = len(c.State.Items(condemnedPrefix)) + len(c.State.Items(rentalPrefix))
	return c.result
}

// startNode starts a controller, which joins the epoch from the next one on.
func (c *Coordinator) startNode() {
	name := fmt.Sprintf("c%d", len(c.controllers)+1)
	c.controllers[name] = c.Start(name)
	c.epoch.Nodes[name] = 0
}

// candidates lists, in order, the nodes of the epoch that are neither name nor frozen.
func (c *Coordinator) candidates(name string) []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(c.epoch.Nodes)), func(member string) bool {
		return member == name || slices.Contains(c.frozen, member)
	})
}

// elect makes a controller the leader, and removes the former one if it is to. Who has
// been removed, or is new, belongs to the epoch after.
func (c *Coordinator) elect(name string, remove bool) {
	for member, since := range c.epoch.Nodes {
		if since == 0 && member != c.epoch.Leader {
			c.epoch.Nodes[member] = c.State.Version(epochKey) + 1
		}
	}
	if remove {
		c.epoch.Nodes[c.epoch.Leader] = 0
	}
	c.epoch.Leader = name
	c.State.Put(epochKey, c.epoch)
}

// handOver freezes the holder somewhere in an action, has another take over, and
// resumes or ends the former one.
func (c *Coordinator) handOver() {
	holder, at := c.epoch.Leader, FreezePoint(c.random.IntN(int(NumFreezePoints)))
	c.controllers[holder].Arm(at)
	if c.waitUntil(c.controllers[holder].Frozen) {
		c.result.FrozenAt[at]++
	} else {
		c.controllers[holder].Resume()
	}
	others := c.candidates(holder)
	next, removed := others[c.random.IntN(len(others))], c.random.IntN(2) == 0
	began := time.Now()
	c.elect(next, removed)
	switch held := c.awaitHolder(next); {
	case !held:
		c.result.TimedOut++
	case removed:
		c.result.AfterRemoval = append(c.result.AfterRemoval, time.Since(began).Seconds())
	default:
		c.result.AfterLeaseExpiry = append(c.result.AfterLeaseExpiry, time.Since(began).Seconds())
	}
	time.Sleep(time.Duration(c.random.Int64N(int64(20 * c.ActionInterval))))
	c.releaseFormerLeader(holder)
}

// releaseFormerLeader has the former holder go on, at once or after later handovers, or ends it.
func (c *Coordinator) releaseFormerLeader(holder string) {
	switch c.random.IntN(3) {
	case 0:
		c.controllers[holder].Resume()
	case 1:
		c.controllers[holder].Kill()
		delete(c.epoch.Nodes, holder)
		c.startNode()
	default:
		c.frozen = append(c.frozen, holder)
	}
	for len(c.frozen) > 1 {
		c.controllers[c.frozen[0]].Resume()
		c.frozen = c.frozen[1:]
	}
}

// awaitHolder waits until a controller holds the duties of the fleet.
func (c *Coordinator) awaitHolder(name string) bool {
	return !c.Fenced || c.waitUntil(func() bool {
		return holderOf(c.State, rentHolderKey) == name && holderOf(c.State, reclaimHolderKey) == name
	})
}

// pollInterval is how often what is waited for is looked at.
const pollInterval = 5 * time.Millisecond

// waitUntil waits until holds is true, for HandoverTimeout at most.
func (c *Coordinator) waitUntil(holds func() bool) bool {
	for until := time.Now().Add(c.HandoverTimeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(until) {
			return false
		}
	}
	return true
}
