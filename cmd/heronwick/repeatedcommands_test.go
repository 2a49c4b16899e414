package main

import (
	"testing"
	"time"

	"heronwick/wire"
)

// Guards against a done task of a cancelled job that starts once more because a direct
// command that its worker has executed arrives again (rule ran_cancelled): a worker must
// not forget an attempt while it would still accept a copy of the attempt's start.
func TestRepeatedStartOfDoneTaskIsNotExecuted(t *testing.T) {
	const otherJob, arrayJob = 1, 2
	withCluster(t, 1, func(tc *testCluster) {
		tc.fleet.TaskDuration = func(task string) time.Duration {
			if task == taskID(arrayJob, 0) {
				return 2 * time.Second
			}
			return 0
		}
	}, func(tc *testCluster) {
		tc.expectAccepted(0, otherJob, service(1)) // keeps the machine in use
		tc.expectAccepted(0, arrayJob, withTasks(2))
		time.Sleep(15 * time.Second)
		tc.expectCancel(0, arrayJob, wire.JobCancelled)
		time.Sleep(27 * time.Second) // longer than the cancel timeout
		tc.fleet.RepeatCommands(machineName(1))
		time.Sleep(3 * time.Second)
		tc.expectStarts(taskID(arrayJob, 0), 1)
		tc.expectStarts(taskID(otherJob, 0), 1)
	})
}
