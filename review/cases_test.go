// Package review holds the cases of an independent review. They are not part of the
// default test run: each test plays its script only if REVIEW_CASES is set.
package review

import (
	"errors"
	"os"
	"os/exec"
	"testing"
)

// runCase plays the script of a case, after the build of the deploy file and build.sh. It
// fails if the script reports a broken rule.
func runCase(t *testing.T, script string) {
	t.Helper()
	if os.Getenv("REVIEW_CASES") == "" {
		t.Skip("REVIEW_CASES is not set")
	}
	output, err := exec.Command(script).CombinedOutput()
	t.Logf("%s", output)
	var exit *exec.ExitError
	switch {
	case errors.As(err, &exit) && exit.ExitCode() == 1:
		t.Error("the rule was broken")
	case err != nil:
		t.Skipf("the case could not run: %v", err)
	}
}

// A task must not run twice when a link is slow.
func TestCaseSlowLink(t *testing.T) { runCase(t, "1/run.sh") }

// A task must not run twice when a machine is back at once while the cloud is away.
func TestCaseMachineBackAtOnce(t *testing.T) { runCase(t, "2/run.sh") }

// No task of a cancelled job must start when a command is repeated.
func TestCaseRepeatedStart(t *testing.T) { runCase(t, "3/run.sh") }
