package review

import "testing"

// A task must not run twice after an epoch that its owner has never seen.
func TestCaseUnseenEpoch(t *testing.T) { runCase(t, "4/run.sh") }

// A moved task must not run twice when its start is repeated at a machine that is back.
func TestCaseMovedStartCopy(t *testing.T) { runCase(t, "5/run.sh") }

// No task of a cancelled job must start when its start is repeated at a machine that is back.
func TestCaseCancelledStartCopy(t *testing.T) { runCase(t, "6/run.sh") }
