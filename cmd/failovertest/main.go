// Command failovertest forces handovers of single duties between real processes over loopback,
// and checks every action that a fake machine service accepts. It pauses and kills only
// processes that it started itself. See docs/duties.md.
package main

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kong"
	"golang.org/x/sync/errgroup"

	"heronwick/internal/dutyreport"
	"heronwick/internal/failovertest"
	"heronwick/internal/standin"
)

// arguments are the commands of the program.
type arguments struct {
	Run  runCommand  `cmd:"" default:"withargs" help:"Force handovers and report which actions were accepted (the default)."`
	Node nodeCommand `cmd:"" name:"member" hidden:"" help:"Run one controller; started by the other command."`
}

// runCommand forces handovers.
type runCommand struct {
	Handovers int           `help:"Number of handovers." default:"1000"`
	Groups    int           `help:"Number of groups of three controllers, which run in parallel." default:"8"`
	Lease     time.Duration `help:"Lease duration of the duties." default:"1s"`
	Pace      time.Duration `help:"Mean time between two actions of a controller." default:"20ms"`
	Seed      uint64        `help:"Seed for the choice of holders, freeze points and faults." default:"1"`
	Unfenced  bool          `help:"Turn duties off, to show the stale actions that they prevent."`
}

const (
	// machinesPerGroup is the capacity of each group's machine service.
	machinesPerGroup = 30
	// handoverTimeoutLeases is the timeout of a handover, as a multiple of the lease.
	handoverTimeoutLeases = 10
	// settleTime is how long each group has to complete open intents after its last handover.
	settleTime = 30 * time.Second
	// seedsPerGroup is how many seeds each group has for its nodes. Each run has as many for its
	// groups, so that no two groups and no two nodes have the same seed.
	seedsPerGroup = 1000
	// maxFindings is the maximum number of stale actions that are printed.
	maxFindings = 5
)

func main() {
	var args arguments
	command := kong.Parse(&args, kong.Name("failovertest"), kong.Description("Forced handovers of single duties over loopback."))
	command.FatalIfErrorf(command.Run())
}

// Run runs all groups in parallel and prints the sum of their results. With duties on it
// returns a checkFailedError if a check failed.
func (r *runCommand) Run() error {
	startedAt := time.Now()
	results := make([]failovertest.Result, r.Groups)
	var groups errgroup.Group
	for i := range r.Groups {
		groups.Go(func() (err error) {
			results[i], err = r.runGroup(r.Seed*seedsPerGroup + uint64(i))
			return err
		})
	}
	if err := groups.Wait(); err != nil {
		return err
	}
	var total failovertest.Result
	for _, result := range results {
		total.Add(result)
	}
	r.print(total, time.Since(startedAt))
	if !r.Unfenced && total.Checks.Stale+total.OpenIntents+total.TimedOut > 0 {
		return checkFailedError{Stale: total.Checks.Stale, OpenIntents: total.OpenIntents, TimedOut: total.TimedOut}
	}
	return nil
}

// checkFailedError reports that a failover test with duties on accepted stale actions, left
// intents open or had handovers that timed out.
type checkFailedError struct {
	Stale, OpenIntents, TimedOut int
}

// Error returns the number of failures of each kind.
func (e checkFailedError) Error() string {
	return fmt.Sprintf("failover check failed: %d stale actions, %d open intents, %d handovers timed out", e.Stale, e.OpenIntents, e.TimedOut)
}

// dutyLease returns the lease of the controllers' duties, or 0 if duties are off.
func (r *runCommand) dutyLease() time.Duration {
	if r.Unfenced {
		return 0
	}
	return r.Lease
}

// runGroup runs one group, which takes its share of the handovers.
func (r *runCommand) runGroup(seed uint64) (failovertest.Result, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	state := standin.NewState()
	checker := failovertest.NewChecker(state, machinesPerGroup, !r.Unfenced)
	nodes := &processGroup{checker: checker, lease: r.dutyLease(), actionInterval: r.Pace, seed: seed * seedsPerGroup}
	defer nodes.stop()
	coordinator := failovertest.Coordinator{
		State: state, Checker: checker, Seed: seed, Fenced: !r.Unfenced,
		Start:           func(name string) (failovertest.Controller, error) { return nodes.start(ctx, name) },
		HandoverTimeout: handoverTimeoutLeases * r.Lease, ActionInterval: r.Pace, SettleTime: settleTime,
	}
	return coordinator.Run(r.Handovers / r.Groups)
}

// print prints the result of all groups.
func (r *runCommand) print(total failovertest.Result, took time.Duration) {
	checks := total.Checks
	fmt.Printf("%d handovers in %v, lease %v, duties on: %v\n", total.Handovers, took.Round(time.Second), r.Lease, !r.Unfenced)
	fmt.Printf("accepted: %d machines rented, %d returned; late: %d, after a refusal: %d, stale: %d\n",
		checks.Rented, checks.Returned, checks.Late, checks.AfterRefusal, checks.Stale)
	fmt.Printf("intents left open: %d, handovers timed out: %d\n", total.OpenIntents, total.TimedOut)
	for point := range failovertest.NumFreezePoints {
		fmt.Printf("frozen %s: %d\n", point, total.FrozenAt[point])
	}
	fmt.Printf("handovers after a lease expiry: %v\n", dutyreport.QuantilesOf(total.AfterLeaseExpiry))
	fmt.Printf("handovers after a removal from the epoch: %v\n", dutyreport.QuantilesOf(total.AfterRemoval))
	for _, finding := range checks.Findings[:min(maxFindings, len(checks.Findings))] {
		fmt.Println("stale:", finding)
	}
}
