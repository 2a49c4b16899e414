package main

import (
	"slices"
	"time"

	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/state"
)

// Fractions of the key-value store's rate limits. Each member other than the leader gets
// memberFraction. A controller that is not a member only accepts jobs and serves users,
// and gets nonMemberFraction. The leader gets the rest, because it also maintains the
// epoch and takes over the jobs and machines of failed members.
const (
	memberFraction    = 0.3
	nonMemberFraction = 0.1
)

const (
	// balanceInterval is the time between two measurements of the unused rates. The
	// peers receive them with the next heartbeat.
	balanceInterval = time.Second
	// shortWaitThreshold is the wait of a request for the rate limits above which this
	// controller reports that its rates are too low.
	shortWaitThreshold = 40 * time.Millisecond
	// lateWriteThreshold is the wait of a write with a higher priority than submissions
	// above which this controller reports that its writes are late.
	lateWriteThreshold = 2 * time.Second
	// headroomFactor times its current usage is what a controller keeps for itself.
	headroomFactor = 1.3
)

const (
	// backgroundFraction is the fraction of its write rate that a controller uses for
	// background work while a peer's rates are too low.
	backgroundFraction = 0.15
	// submissionFraction is the fraction of its write rate that a controller uses to
	// accept jobs while a peer is late with writes for jobs already accepted.
	submissionFraction = 0.15
)

// baseRates is a controller's share of the key-value store's rate limits.
type baseRates struct {
	requests, writes float64 // per second
}

// baseRates returns this controller's current share of the rate limits.
func (c *controller) baseRates() baseRates {
	view := c.members.View()
	fraction := nonMemberFraction
	switch {
	case view.Leader:
		// Only live controllers get a share, since a stopped one sends no requests. A
		// starting one is not counted until its first heartbeat, that is for one heartbeat
		// interval at most, and until then sends no more than the burst that the store allows.
		members := float64(max(0, len(view.Epoch.Members)-1))
		nonMembers := max(0, float64(c.members.LivePeerCount())-members)
		fraction = max(memberFraction, 1-members*memberFraction-nonMembers*nonMemberFraction)
	case view.Member:
		fraction = memberFraction
	}
	return baseRates{requests: c.settings.StateRequestRate * fraction, writes: c.settings.StateWriteRate * fraction}
}

// unusedRates is the part of its share of the rate limits, per second, that this
// controller does not use, and whether its share is too low (short) or its writes are
// late.
type unusedRates struct {
	requests, writes float64
	short, late      bool
}

// balanceRates measures which rates this controller can leave to its peers and adds the
// rates that they leave to it if it needs them. The load of a controller depends on the
// machines and teams that it owns, so it does not match the fixed shares.
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

// setRates sets the rates of this controller's budget: its own share, and if that is too
// low also a part of the peers' unused rates. While a peer's writes are late, this
// controller accepts fewer jobs, so that it leaves more to the peer.
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

// addUnusedRates adds this controller's part of the peers' unused rates. Each peer's
// unused rates are divided equally among the controllers whose own share is too low.
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

// logUsageInterval is the time between two logs of the usage of the key-value store.
const logUsageInterval = 10 * time.Second

// logUsage logs, for each priority, how many requests and writes were sent and how long
// requests waited for the rate limits.
func (c *controller) logUsage() {
	for priority, usage := range c.budget.UsageByPriority() {
		if usage.Requests > 0 {
			c.log.Info("key-value store usage", "priority", state.Priority(priority), "requests", usage.Requests, "writes", usage.Writes,
				"mean_wait", usage.TotalWait/time.Duration(usage.Requests), "longest_wait", usage.LongestWait)
		}
	}
}
