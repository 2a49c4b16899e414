package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	"heronwick/wire"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// errUsage is the error for wrong arguments.
var errUsage = errors.New("usage: review-harness CASE FOLDER")

// play is one case. It returns an error if the case could not run; what was broken is in
// the site. trouble is false if the case is played without its disruption.
type play func(s *site, trouble bool) error

// caseSettings are the settings and the play of a case.
type caseSettings struct {
	settings siteSettings
	play     play
}

func cases() map[string]caseSettings {
	return map[string]caseSettings{
		"slow-link": {slowLinkSettings(), playSlowLink},
		"repeat":    {slowLinkSettings(), playRepeat},
		"restart":   {restartSettings(), playRestart},
		"search":    {searchSettings(), playSearch},
		"low":       {lowSearchSettings(), playSearch},
	}
}

func main() {
	code, err := runCase(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
	}
	os.Exit(code)
}

// runCase plays a case and returns its exit code. The record is written to record.txt in
// the folder of the case.
func runCase(args []string) (code int, err error) {
	if len(args) != 2 {
		return exitFailed, errUsage
	}
	c, ok := cases()[args[0]]
	if !ok {
		return exitFailed, errUsage
	}
	rec, err := newRecorder(args[1] + "/record.txt")
	if err != nil {
		return exitFailed, err
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "heronwick-case-")
	if err != nil {
		return exitFailed, fmt.Errorf("making a temporary folder: %w", err)
	}
	if os.Getenv("CASE_KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs in", dir)
	}
	s := newSite(rec, c.settings)
	s.seed = 1
	if text := os.Getenv("SEED"); text != "" {
		if s.seed, err = strconv.ParseUint(text, 10, 64); err != nil {
			return exitFailed, fmt.Errorf("the seed: %w", err)
		}
	}
	if err := s.addControllers(3, dir); err != nil {
		return exitFailed, err
	}
	defer func() {
		for _, controller := range s.controllers {
			controller.kill()
		}
	}()
	for _, controller := range s.controllers {
		if err := controller.start(); err != nil {
			return exitFailed, err
		}
	}
	if err := s.waitReady(); err != nil {
		return exitFailed, err
	}
	err = c.play(s, os.Getenv("TROUBLE") != "0")
	broken := s.broken()
	for _, text := range broken {
		fmt.Println("broken:", text)
	}
	switch {
	case len(broken) > 0:
		return exitBroken, nil
	case err != nil:
		return exitFailed, err
	}
	fmt.Println("held")
	return exitHeld, nil
}

var errNotReady = errors.New("the controllers do not become ready")

// waitReady waits until all controllers are ready.
func (s *site) waitReady() error {
	return s.waitFor("all controllers ready", 20*time.Second, func() bool {
		for _, c := range s.controllers {
			if !c.ready() {
				return false
			}
		}
		return true
	})
}

// waitFor waits until a condition holds.
func (s *site) waitFor(what string, timeout time.Duration, condition func() bool) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("%w: %s", errNotReady, what)
}

// runningOn reports whether a task is on a machine.
func (s *site) runningOn(task string, w *worker) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[task][w.name]
}

// baobab is a machine type like that of the first deployment.
func baobab(name string, zones ...string) wire.MachineType {
	return wire.MachineType{Name: name, CPUs: 16, MemoryGB: 64, CacheGB: 30, FetchGBPerS: 0.25, Price: 1.17, SpotPrice: 0.36, BootS: 15, Zones: zones}
}

// nopal is a machine type like that of the second deployment.
func nopal(name string, zones ...string) wire.MachineType {
	return wire.MachineType{Name: name, CPUs: 16, MemoryGB: 128, CacheGB: 30, FetchGBPerS: 0.25, Price: 1.06, SpotPrice: 0.4, BootS: 50, Zones: zones}
}
