package main

import (
	"strings"
	"testing"
	"time"

	"heronwick/wire"
)

// jobWatch is the prefix under which controllers watch the jobs.
const jobWatch = "jobs/"

// joiningOwner is a cluster in which a controller that joins becomes the owner of the red
// team, whose machines all belong to the leader.
type joiningOwner struct {
	*testCluster
	leader, next int
}

// withJoiningOwner runs scenario once the red team uses its whole quota for job 1 and has job 3
// waiting, and the next owner has read the active jobs but has not joined yet. Job 5 is done;
// the records still name its task.
func withJoiningOwner(t *testing.T, scenario func(j *joiningOwner)) {
	withCluster(t, 14, shortJob5, func(tc *testCluster) {
		j := &joiningOwner{testCluster: tc, leader: tc.leader()}
		j.next = (j.leader + 1) % len(tc.nodes)
		tc.crashAllExcept(j.leader)
		time.Sleep(20 * time.Second)
		tc.expectAccepted(j.leader, 1, withTeam(redTeam), service(redTeamTasks))
		tc.expectAccepted(j.leader, 2, service(12), with(fieldCPUs, 4)) // the lighter red team moves
		time.Sleep(3 * time.Second)
		tc.expectAccepted(j.leader, 3, withTeam(redTeam), withTasks(redTeamTasks))
		tc.expectAccepted(j.leader, 5, withTasks(1))
		time.Sleep(3 * time.Second)
		tc.expectState(j.leader, 5, wire.JobDone)
		tc.start(j.next)
		for !tc.nodes[j.next].current.Load().jobs.Ready() {
			time.Sleep(time.Millisecond)
		}
		scenario(j)
	})
}

// shortJob5 is a prepare function for withCluster that lets tasks run until they are stopped,
// except for those of job 5.
func shortJob5(tc *testCluster) {
	tc.fleet.TaskDuration = func(task string) time.Duration {
		if strings.HasPrefix(task, jobID(5)) {
			return time.Second
		}
		return 0
	}
}

// redTeamTasks is the number of tasks of 2 CPUs that the red team's quota allows.
const redTeamTasks = redTeamCPUs / 2

// waitUntilMember waits until the next owner has joined.
func (j *joiningOwner) waitUntilMember() {
	for !j.nodes[j.next].current.Load().members.View().Member {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a new owner of a team that starts tasks before it counts a job of which its
// watch has not told it yet, though the records that it has read name tasks of it (rule quota).
func TestQuotaHoldsWhenNextOwnerLearnsOfJobLate(t *testing.T) {
	withJoiningOwner(t, func(j *joiningOwner) {
		store, node := j.state, j.nodes[j.next].name
		store.DelayWatch(node, jobWatch, 800*time.Millisecond)
		time.Sleep(time.Second)
		j.expectAccepted(j.leader, 4, withTeam(redTeam), withPriority(wire.PriorityProd), service(redTeamTasks))
		j.expectCancel(j.leader, 1, wire.JobCancelled)
		j.waitUntilMember()
		store.DelayNodeResponses(node, 300*time.Millisecond)
		time.Sleep(5 * time.Second)
		j.expectRunning(redTeamTasks + 12)
		expectOwner(t, j, redTeam)
	})
}

// Guards against a new owner of a team that never counts a job which ends while it reads the
// records, though the job's tasks may still be on machines that hang (rule quota).
func TestQuotaHoldsWhenJobEndsDuringNextOwnersRead(t *testing.T) {
	withJoiningOwner(t, func(j *joiningOwner) {
		j.fleet.SetCloudOutage(true) // the machines that hang cannot be returned
		running := j.fleet.Checker.Running()
		for index := range redTeamTasks {
			j.fleet.Pause(running[taskID(1, index)], true)
		}
		j.waitUntilMember()
		j.state.DelayNodeResponses(j.nodes[j.next].name, 300*time.Millisecond)
		time.Sleep(time.Second) // the records are read, and the outcome of job 5 is being read
		j.expectCancel(j.leader, 1, wire.JobCancelled)
		time.Sleep(7 * time.Second)
		expectOwner(t, j, redTeam)
	})
}

// expectOwner expects that the next owner has become the owner of a team.
func expectOwner(t *testing.T, j *joiningOwner, team string) {
	t.Helper()
	if owner := j.nodes[j.leader].current.Load().members.View().Epoch.Teams[team]; owner != j.nodes[j.next].name {
		t.Errorf("got %s as the owner of team %s, want %s: the test shows nothing", owner, team, j.nodes[j.next].name)
	}
}
