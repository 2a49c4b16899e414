// Command soak runs randomized fault tests of the built controller over loopback, see package
// soak. It exits with 1 if a rule was broken and with 2 if it cannot run.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"golang.org/x/sync/errgroup"

	"heronwick/internal/soak"
)

// The exit codes other than 0.
const (
	exitBrokenRule = 1
	exitCannotRun  = 2
)

// arguments are the flags of the program.
type arguments struct {
	Seed     uint64        `help:"First seed, above 0." default:"1"`
	Seeds    int           `help:"Number of seeds, counted on from the first." default:"1"`
	Parallel int           `help:"Number of runs at a time." default:"1"`
	Duration time.Duration `help:"How long each run injects faults." default:"60s"`
	Workers  int           `help:"Number of machines at the start." default:"12"`
	Trouble  []string      `help:"Faults to draw from; by default all. Names: ${troubles}."`
	Program  string        `help:"The built controller." default:"target/heronwick"`
	Dir      string        `help:"Directory for records, settings and logs; by default a new temporary one."`
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("soak"), kong.Description("Randomized fault tests of whole controllers over loopback."),
		kong.Vars{"troubles": fmt.Sprint(soak.Names())}, kong.Exit(func(code int) {
			if code != 0 {
				code = exitCannotRun
			}
			os.Exit(code)
		}))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := args.run(ctx)
	stop()
	os.Exit(code)
}

// run runs all seeds and returns the exit code.
func (a *arguments) run(ctx context.Context) (code int) {
	if a.Seeds < 1 || a.Parallel < 1 {
		fmt.Fprintln(os.Stderr, "soak: --seeds and --parallel must be above 0")
		return exitCannotRun
	}
	dir, err := a.directory()
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return exitCannotRun
	}
	codes := make([]int, a.Seeds)
	var runs errgroup.Group
	runs.SetLimit(a.Parallel)
	for i := range a.Seeds {
		runs.Go(func() error {
			codes[i] = a.runSeed(ctx, a.Seed+uint64(i), dir)
			return nil
		})
	}
	_ = runs.Wait()
	for _, c := range codes {
		code = max(code, c)
	}
	return code
}

// directory returns the directory for the runs, which it creates.
func (a *arguments) directory() (string, error) {
	if a.Dir == "" {
		return os.MkdirTemp("", "soak-")
	}
	return a.Dir, os.MkdirAll(a.Dir, 0o750)
}

// runSeed runs one seed, prints its result and returns its exit code.
func (a *arguments) runSeed(ctx context.Context, seed uint64, dir string) (code int) {
	dir = filepath.Join(dir, fmt.Sprintf("seed-%d", seed))
	err := os.MkdirAll(dir, 0o750)
	var result soak.Result
	if err == nil {
		result, err = soak.Run(ctx, soak.Options{Seed: seed, Duration: a.Duration, Workers: a.Workers, Troubles: a.Trouble, Program: a.Program, Dir: dir})
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "soak: seed %d: %v\n", seed, err)
		if errors.Is(err, context.Canceled) {
			fmt.Fprintln(os.Stderr, "soak: interrupted")
		}
		return exitCannotRun
	}
	fmt.Printf("seed %d: %d faults, %d jobs, %d done, %d violations, record %s\n",
		seed, result.Faults, result.Jobs, result.Done, len(result.Violations), result.Record)
	for _, violation := range result.Violations {
		fmt.Println("  " + violation)
	}
	if len(result.Violations) > 0 {
		return exitBrokenRule
	}
	return 0
}
