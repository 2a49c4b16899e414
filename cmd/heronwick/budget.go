package main

import (
	"slices"
	"time"

	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/state"
)

// How the state service's limits are divided: a member besides the leader has
// memberPart, a controller without a share, which only accepts and answers,
// otherPart. The leader has the rest: it also keeps the epoch and takes over
// what others leave.
const (
	memberPart = 0.3
	otherPart  = 0.1
)

// rates is this controller's part of the state service's limits.
func (c *controller) rates() (requests, writes float64) {
	epoch, leading, member := c.members.Current()
	part := otherPart
	switch {
	case leading:
		// What has ended uses nothing. One that starts is heard within a beat, and
		// until then asks for no more than the burst that the service allows.
		others := float64(max(0, len(epoch.Members)-1))
		without := max(0, float64(c.members.PeersAlive())-others)
		part = max(memberPart, 1-others*memberPart-without*otherPart)
	case member:
		part = memberPart
	}
	return c.settings.StateRPS * part, c.settings.StateWriteRPS * part
}

const (
	// balanceEvery is how often the controllers even out what they use of the
	// state service's limits; the peers hear of it with the next beat.
	balanceEvery = time.Second
	// shortAfter is how long something must have waited for the limits.
	shortAfter = 40 * time.Millisecond
	// lateAfter is how long a write that is more important than submissions must
	// have waited.
	lateAfter = 2 * time.Second
	// headroom is what a controller keeps beyond what it uses.
	headroom = 1.3
)

// spare is what this controller leaves of its part.
type spare struct {
	requests, writes float64
	short, late      bool
}

// balance works out what this controller leaves to the others
// and what they leave to it: the work is where the machines and the teams are,
// which is not as the parts are.
func (c *controller) balance() {
	requests, writes := c.rates()
	w := c.budget.Window()
	perSecond := headroom / balanceEvery.Seconds()
	c.spare.Store(&spare{
		requests: max(0, requests-perSecond*float64(w.Requests)-1), writes: max(0, writes-perSecond*float64(w.Writes)-1),
		short: w.Longest > shortAfter, late: c.committer.LongestWait(state.Safety) > lateAfter,
	})
	c.setRates()
}

// backgroundPart is which part of its writes a controller uses for what nobody
// waits for while another one is short of them.
const backgroundPart = 0.15

// submissionPart is which part of its writes a controller uses to accept jobs while
// another one is late with what was accepted.
const submissionPart = 0.15

// setRates sets this controller's budget: its part, and while it is short what
// the others leave, divided among those who are. While another one is late it
// accepts few jobs, and so leaves more.
func (c *controller) setRates() {
	requests, writes := c.rates()
	rates := state.Rates{Requests: requests, Writes: writes, Background: writes}
	peers := c.members.Peers()
	if mine := c.spare.Load(); mine != nil && mine.short {
		for _, p := range peers {
			sharers := 1.0
			for _, other := range peers {
				if other != p && other.Short {
					sharers++
				}
			}
			rates.Requests, rates.Writes = rates.Requests+p.SpareRequests/sharers, rates.Writes+p.SpareWrites/sharers
		}
	}
	rates.Submission = rates.Writes
	if slices.ContainsFunc(peers, func(p *peerpb.Status) bool { return p.Short }) {
		rates.Background = writes * backgroundPart
	}
	if slices.ContainsFunc(peers, func(p *peerpb.Status) bool { return p.Late }) {
		rates.Submission = writes * submissionPart
	}
	c.budget.SetRates(rates, c.settings.TxnOps)
}
