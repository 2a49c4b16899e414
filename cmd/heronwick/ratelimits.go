package main

import (
	"slices"
	"time"

	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/state"
)

// How the rate limits of the key-value store are divided: a member besides the
// leader has memberFraction, a controller that is no member, and so only accepts
// jobs and answers users, nonMemberFraction. The leader has the rest: it also keeps
// the epoch and takes over what others leave.
const (
	memberFraction    = 0.3
	nonMemberFraction = 0.1
)

const (
	// balanceInterval is how often the controllers balance what they use of the
	// rate limits; the peers hear of it with the next heartbeat.
	balanceInterval = time.Second
	// shortWaitThreshold is how long a request must have waited for the rate limits for
	// this controller to count as short of them.
	shortWaitThreshold = 40 * time.Millisecond
	// lateWriteThreshold is how long a write that is more important than submissions must
	// have waited for this controller to count as late.
	lateWriteThreshold = 2 * time.Second
	// headroomFactor is how many times what it uses a controller keeps.
	headroomFactor = 1.3
)

const (
	// backgroundFraction is the fraction of its writes that a controller uses for
	// background work while a peer is short of them.
	backgroundFraction = 0.15
	// submissionFraction is the fraction of its writes that a controller uses to
	// accept jobs while a peer is late with what was accepted.
	submissionFraction = 0.15
)

// baseRates is this controller's part of the rate limits of the key-value store.
type baseRates struct {
	requests, writes float64 // a second
}

// baseRates returns this controller's part of the rate limits.
func (c *controller) baseRates() baseRates {
	view := c.members.View()
	fraction := nonMemberFraction
	switch {
	case view.Leader:
		// What has ended uses nothing. One that starts is heard within a heartbeat's
		// interval, and until then asks for no more than the burst that the store allows.
		members := float64(max(0, len(view.Epoch.Members)-1))
		nonMembers := max(0, float64(c.members.LivePeerCount())-members)
		fraction = max(memberFraction, 1-members*memberFraction-nonMembers*nonMemberFraction)
	case view.Member:
		fraction = memberFraction
	}
	return baseRates{requests: c.settings.StateRequestRate * fraction, writes: c.settings.StateWriteRate * fraction}
}

// unusedRates is what this controller leaves of its part of the rate limits, a
// second, and whether that part is too little.
type unusedRates struct {
	requests, writes float64
	short, late      bool
}

// balanceRates measures what this controller leaves to its peers and takes what
// they leave to it: the work is where the machines and the teams are, which is not
// as the limits are divided.
func (c *controller) balanceRates() {
	base := c.baseRates()
	usage := c.budget.TotalUsage()
	perSecond := headroomFactor / balanceInterval.Seconds()
	c.unusedRates.Store(&unusedRates{
		requests: max(0, base.requests-perSecond*float64(usage.Requests)-1),
		writes:   max(0, base.writes-perSecond*float64(usage.Writes)-1),
		short:    usage.LongestWait > shortWaitThreshold,
		late:     c.committer.LongestWait(state.Safety) > lateWriteThreshold,
	})
	c.setRates()
}

// setRates sets the rates of this controller's budget: its part, and while it is
// short also what the peers leave. While a peer is late this controller accepts few
// jobs, and so leaves more.
func (c *controller) setRates() {
	base := c.baseRates()
	rates := state.Rates{Requests: base.requests, Writes: base.writes, BackgroundWrites: base.writes}
	peers := c.members.LivePeerStatuses()
	if unused := c.unusedRates.Load(); unused != nil && unused.short {
		addUnusedRates(&rates, peers)
	}
	rates.SubmissionWrites = rates.Writes
	if slices.ContainsFunc(peers, func(p *peerpb.Status) bool { return p.Short }) {
		rates.BackgroundWrites = base.writes * backgroundFraction
	}
	if slices.ContainsFunc(peers, func(p *peerpb.Status) bool { return p.Late }) {
		rates.SubmissionWrites = base.writes * submissionFraction
	}
	c.budget.SetRates(rates, c.settings.MaxTxnOps)
}

// addUnusedRates adds this controller's part of what the peers leave, which is
// divided equally among the controllers that are short.
func addUnusedRates(rates *state.Rates, peers []*peerpb.Status) {
	for _, p := range peers {
		claimants := 1.0
		for _, other := range peers {
			if other != p && other.Short {
				claimants++
			}
		}
		rates.Requests += p.SpareRequests / claimants
		rates.Writes += p.SpareWrites / claimants
	}
}

// logUsageInterval is how often the use of the key-value store is logged.
const logUsageInterval = 10 * time.Second

// logUsage logs, for each priority, what was used of the rate limits and how long
// requests waited for them.
func (c *controller) logUsage() {
	for priority, usage := range c.budget.UsageByPriority() {
		if usage.Requests > 0 {
			c.log.Info("state use", "work", state.Priority(priority), "requests", usage.Requests, "writes", usage.Writes,
				"mean_wait", usage.TotalWait/time.Duration(usage.Requests), "longest_wait", usage.LongestWait)
		}
	}
}
