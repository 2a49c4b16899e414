package soak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"heronwick/internal/wait"
)

// Options configure a run.
type Options struct {
	Seed     uint64
	Duration time.Duration // of the faults; the run takes longer
	Workers  int           // number of machines at the start
	Troubles []string      // names of the faults to draw from; all if empty
	Program  string        // path of the built controller
	Dir      string        // directory for the record, the settings and the logs; it must exist
	// LimitFactor multiplies the teams' limits in the controllers' settings, but not those that
	// the checker judges by; 0 means 1. A factor above 1 plants a breach of the limits.
	LimitFactor float64
}

// ErrOptions means that a run's options are invalid.
var ErrOptions = errors.New("invalid options")

// Result is the result of a run.
type Result struct {
	Violations []string // of the rules, as described by the checker
	Jobs, Done int      // number of jobs accepted, and done at the end
	Faults     int      // number of faults injected
	Record     string   // path of the record
}

const (
	controllerCount = 3
	// settleTime is how long a run goes on after the last fault before it is judged.
	settleTime = 40 * time.Second
	// maxWait is how long a task may wait after that while a machine has room for it.
	maxWait = 90 * time.Second
	// knownTimeout is how long after that an accepted job may go unanswered.
	knownTimeout = 75 * time.Second
	// maxOverlap is the maximum number of faults at a time.
	maxOverlap = 3
	// streams of random numbers that a seed yields
	faultStream, jobStream, askStream = 1, 2, 3
)

// chosenTroubles returns the faults to draw from.
func (o *Options) chosenTroubles() ([]trouble, error) {
	if len(o.Troubles) == 0 {
		return troubles, nil
	}
	var chosen []trouble
	for _, name := range o.Troubles {
		i := slices.IndexFunc(troubles, func(t trouble) bool { return t.name == name })
		if i < 0 {
			return nil, fmt.Errorf("%w: unknown trouble %q, want one of %s", ErrOptions, name, strings.Join(Names(), ", "))
		}
		chosen = append(chosen, troubles[i])
	}
	return chosen, nil
}

// check returns an error if the options are invalid.
func (o *Options) check() error {
	switch info, err := os.Stat(o.Program); {
	case o.Seed == 0:
		return fmt.Errorf("%w: the seed must be above 0", ErrOptions)
	case o.Workers < 1 || o.Duration <= 0:
		return fmt.Errorf("%w: a run needs workers and a duration above 0", ErrOptions)
	case err != nil:
		return fmt.Errorf("%w: the controller's program: %w", ErrOptions, err)
	case info.IsDir() || info.Mode()&0o111 == 0:
		return fmt.Errorf("%w: %s is no program", ErrOptions, o.Program)
	}
	return nil
}

// Run runs one soak. The error is an ErrOptions if the options are invalid; broken rules are
// part of the result and no error.
func Run(ctx context.Context, o Options) (result Result, err error) {
	chosen, err := o.chosenTroubles()
	if err != nil {
		return Result{}, err
	}
	if err := o.check(); err != nil {
		return Result{}, err
	}
	result.Record = filepath.Join(o.Dir, fmt.Sprintf("seed-%d.log", o.Seed))
	file, err := os.Create(result.Record)
	if err != nil {
		return Result{}, fmt.Errorf("creating the record: %w", err)
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	nodes := make([]string, controllerCount)
	for i := range nodes {
		nodes[i] = fmt.Sprintf("perch-%d", i)
	}
	record := newRecord(file)
	record.event("seed %d, %v, %d workers", o.Seed, o.Duration, o.Workers)
	s := newSite(ctx, o.Seed, record, nodes, o.Workers, taskDuration)
	defer s.close()
	if err := s.addControllers(nodes, o.Program, o.Dir, cmp.Or(o.LimitFactor, 1)); err != nil {
		return Result{}, err
	}
	s.users = &users{site: s, random: rand.New(rand.NewPCG(o.Seed, jobStream))}
	for _, c := range s.controllers {
		if err := c.start(ctx); err != nil {
			return Result{}, err
		}
	}
	r := &run{site: s, options: o, troubles: chosen, users: s.users}
	r.play(ctx)
	if err := r.judge(&result); err != nil {
		return Result{}, err
	}
	for _, violation := range result.Violations {
		record.event("violation: %s", violation)
	}
	return result, ctx.Err()
}

// run is a soak in progress.
type run struct {
	site     *site
	options  Options
	troubles []trouble
	users    *users
	faults   int
}

// play lets users submit and ask while faults are injected, and until some time after.
func (r *run) play(ctx context.Context) {
	userCtx, stopUsers := context.WithCancel(ctx)
	var userGroup sync.WaitGroup
	interval := jobInterval * 10 / time.Duration(max(10, r.options.Workers))
	submitCtx, stopSubmitting := context.WithCancel(userCtx)
	userGroup.Go(func() { r.users.submit(submitCtx, interval) })
	for i := range r.site.controllers {
		random := rand.New(rand.NewPCG(r.options.Seed, askStream+uint64(i)))
		userGroup.Go(func() { r.users.ask(userCtx, random) })
	}
	r.injectFaults(ctx)
	wait.Sleep(ctx, settleTime/2)
	stopSubmitting()
	wait.Sleep(ctx, settleTime/2)
	stopUsers()
	userGroup.Wait()
}

// injectFaults injects faults until the duration is over, up to maxOverlap at a time, and
// then ends them all.
func (r *run) injectFaults(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.options.Seed, faultStream))
	wait.Sleep(ctx, 5*time.Second+randomDuration(random, 3*time.Second))
	var ends []func()
	until := time.Now().Add(r.options.Duration)
	for time.Now().Before(until) && ctx.Err() == nil {
		t := r.troubles[random.IntN(len(r.troubles))]
		r.site.record.event("begin %s", t.name)
		end := t.begin(r.site, random)
		r.faults++
		ends = append(ends, func() {
			r.site.record.event("end %s", t.name)
			end()
		})
		wait.Sleep(ctx, randomDuration(random, 5*time.Second))
		for len(ends) > 0 && (len(ends) >= maxOverlap || random.IntN(3) == 0) {
			i := random.IntN(len(ends))
			ends[i]()
			ends = slices.Delete(ends, i, i+1)
		}
	}
	for _, end := range ends {
		end()
	}
	for _, c := range r.site.controllers {
		r.site.startLogged(c)
	}
}

// judge completes the result after the run.
func (r *run) judge(result *Result) error {
	unanswered, done := r.users.checkKnown(time.Now().Add(knownTimeout))
	waiting := r.waitingBesideRoom()
	result.Violations = r.site.checker.Violations()
	for _, task := range waiting {
		result.Violations = append(result.Violations, "waiting: "+task+" has waited beside room")
	}
	for _, id := range unanswered {
		result.Violations = append(result.Violations, "forgotten: "+id+" is answered by no controller")
	}
	result.Jobs, result.Done, result.Faults = len(r.users.jobs), done, r.faults
	if result.Done == 0 {
		result.Violations = append(result.Violations, "nothing_ran: no job is done")
	}
	for _, c := range r.site.controllers {
		lines, err := c.violatedInvariants()
		if err != nil {
			return err
		}
		for _, line := range lines {
			result.Violations = append(result.Violations, "invariant: "+line)
		}
	}
	return nil
}

// waitingBesideRoom returns the tasks that wait for maxWait while a machine has room for them.
func (r *run) waitingBesideRoom() []string {
	waiting := r.site.fleet.PlaceableTasks()
	for deadline := time.Now().Add(maxWait); len(waiting) > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Second)
		placeable := r.site.fleet.PlaceableTasks()
		waiting = slices.DeleteFunc(waiting, func(task string) bool { return !slices.Contains(placeable, task) })
	}
	return waiting
}
