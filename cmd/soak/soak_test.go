package main

import (
	"context"
	"errors"
	"fmt"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"heronwick/internal/soak"
)

// buildController builds the controller and returns the path of the program.
func buildController(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "heronwick")
	if output, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", program, "heronwick/cmd/heronwick").CombinedOutput(); err != nil {
		t.Fatalf("building the controller: %v\n%s", err, output)
	}
	return program
}

// Guards against broken rules when faults of all kinds meet, with real processes.
func TestControllersKeepRulesUnderFaults(t *testing.T) {
	program := buildController(t)
	for seed := uint64(1); seed <= 2; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			result, err := soak.Run(context.Background(), soak.Options{
				Seed: seed, Duration: 25 * time.Second, Workers: 12, Program: program, Dir: t.TempDir(),
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d faults, %d jobs, %d done", result.Faults, result.Jobs, result.Done)
			if len(result.Violations) > 0 {
				t.Errorf("rules violated: %q", result.Violations)
			}
		})
	}
}

// Guards against a soak that does not notice when teams exceed their limits: the controllers are told
// higher ones than the checker judges by.
func TestPlantedBreachOfLimitsIsReported(t *testing.T) {
	t.Parallel()
	result, err := soak.Run(context.Background(), soak.Options{
		Seed: 3, Duration: 5 * time.Second, Workers: 12, Program: buildController(t), Dir: t.TempDir(),
		Troubles: []string{"links-slow"}, LimitFactor: 2,
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, resource := range []string{"CPUs", "GPUs"} {
		breach := func(violation string) bool {
			return strings.HasPrefix(violation, "quota:") && strings.HasSuffix(violation, resource)
		}
		if !slices.ContainsFunc(result.Violations, breach) {
			t.Errorf("got violations %q, want a breach of a limit on %s among them", result.Violations, resource)
		}
	}
}

// Invalid options are an error of their own, and nothing is started.
func TestInvalidOptionsAreRejected(t *testing.T) {
	valid := soak.Options{Seed: 1, Duration: time.Second, Workers: 1, Program: "/bin/sh", Dir: t.TempDir()}
	for name, change := range map[string]func(o *soak.Options){
		"no seed":         func(o *soak.Options) { o.Seed = 0 },
		"unknown trouble": func(o *soak.Options) { o.Troubles = []string{"nonsense"} },
		"missing program": func(o *soak.Options) { o.Program = "/nonexistent" },
		"no program":      func(o *soak.Options) { o.Program = t.TempDir() },
		"no workers":      func(o *soak.Options) { o.Workers = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			options := valid
			change(&options)
			if _, err := soak.Run(context.Background(), options); !errors.Is(err, soak.ErrOptions) {
				t.Errorf("got error %v, want ErrOptions", err)
			}
		})
	}
}
