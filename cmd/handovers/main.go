// Command handovers forces handovers of single duties between real processes over
// loopback and judges every action that a stand-in machine service accepts. It freezes
// and ends only processes that it has started itself. See docs/duties.md.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kong"
	"golang.org/x/sync/errgroup"

	"heronwick/internal/handover"
	"heronwick/internal/standin"
)

type arguments struct {
	Run    runCommand    `cmd:"" default:"withargs" help:"Force handovers and tell what was accepted (the default)."`
	Member memberCommand `cmd:"" hidden:"" help:"One controller; started by the other command."`
}

// runCommand forces handovers.
type runCommand struct {
	Handovers int           `help:"How many handovers." default:"1000"`
	Groups    int           `help:"Groups of three controllers that run side by side." default:"8"`
	Lease     time.Duration `help:"Lease of the duties." default:"1s"`
	Pace      time.Duration `help:"Time between two actions of a controller." default:"20ms"`
	Seed      uint64        `help:"Chooses holders, points, and what becomes of requests." default:"1"`
	Unfenced  bool          `help:"Duties off: what they are there for."`
}

func main() {
	var args arguments
	command := kong.Parse(&args, kong.Name("handovers"), kong.Description("Forced handovers of single duties over loopback."))
	command.FatalIfErrorf(command.Run())
}

// Run implements kong's interface of a command.
func (r *runCommand) Run() error {
	began := time.Now()
	results := make([]handover.Result, r.Groups)
	var g errgroup.Group
	for i := range r.Groups {
		g.Go(func() (err error) {
			results[i], err = r.group(i)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	r.print(results, time.Since(began))
	total := sum(results)
	if !r.Unfenced && (total.Verdict.Stale > 0 || total.Undone > 0 || total.Missed > 0) {
		return fmt.Errorf("%d stale actions, %d undone, %d missed", total.Verdict.Stale, total.Undone, total.Missed)
	}
	return nil
}

// lease is that of the controllers.
func (r *runCommand) lease() time.Duration {
	if r.Unfenced {
		return 0
	}
	return r.Lease
}

// group runs one group's part of the handovers.
func (r *runCommand) group(i int) (handover.Result, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	state := standin.NewState()
	judge := handover.NewJudge(state, 30, !r.Unfenced)
	seed := r.Seed*1000 + uint64(i)
	processes, err := newProcesses(ctx, state, judge, r, seed)
	if err != nil {
		return handover.Result{}, err
	}
	defer processes.end()
	d := handover.Director{State: state, Judge: judge, Controllers: processes, Seed: seed, Fenced: !r.Unfenced,
		Patience: 10 * r.Lease, Pace: r.Pace, Settle: 30 * time.Second}
	result := d.Run(r.Handovers / r.Groups)
	return result, processes.failed()
}

// sum adds results up.
func sum(results []handover.Result) (total handover.Result) {
	total.Took, total.Frozen = map[bool][]time.Duration{}, map[handover.Point]int{}
	for _, r := range results {
		total.Handovers, total.Undone, total.Missed = total.Handovers+r.Handovers, total.Undone+r.Undone, total.Missed+r.Missed
		total.Verdict.Returned, total.Verdict.Rented = total.Verdict.Returned+r.Verdict.Returned, total.Verdict.Rented+r.Verdict.Rented
		total.Verdict.Late, total.Verdict.AfterRefusal = total.Verdict.Late+r.Verdict.Late, total.Verdict.AfterRefusal+r.Verdict.AfterRefusal
		total.Verdict.Stale += r.Verdict.Stale
		total.Verdict.Findings = append(total.Verdict.Findings, r.Verdict.Findings...)
		for removed, took := range r.Took {
			total.Took[removed] = append(total.Took[removed], took...)
		}
		for point, count := range r.Frozen {
			total.Frozen[point] += count
		}
	}
	return total
}

func (r *runCommand) print(results []handover.Result, took time.Duration) {
	total := sum(results)
	fmt.Printf("%d handovers in %v, lease %v, duties on: %v\n", total.Handovers, took.Round(time.Second), r.Lease, !r.Unfenced)
	fmt.Printf("accepted: %d machines rented, %d returned; late: %d, after a refusal: %d, stale: %d\n",
		total.Verdict.Rented, total.Verdict.Returned, total.Verdict.Late, total.Verdict.AfterRefusal, total.Verdict.Stale)
	fmt.Printf("left undone: %d, handovers missed: %d\n", total.Undone, total.Missed)
	for point := range handover.Points {
		fmt.Printf("frozen %s: %d\n", point, total.Frozen[point])
	}
	for _, removed := range []bool{false, true} {
		times := total.Took[removed]
		if len(times) == 0 {
			continue
		}
		slices.Sort(times)
		at := func(part float64) time.Duration {
			return times[min(len(times)-1, int(part*float64(len(times))))].Round(time.Millisecond)
		}
		fmt.Printf("handover, former holder's membership over: %v: median %v, 99%% %v, worst %v of %d\n", removed, at(0.5), at(0.99), at(1), len(times))
	}
	for _, finding := range total.Verdict.Findings[:min(5, len(total.Verdict.Findings))] {
		fmt.Println("stale:", finding)
	}
}

// newLog logs errors alone.
func newLog() *slog.Logger {
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError}))
}
