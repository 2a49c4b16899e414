package standin

import (
	"maps"
	"slices"

	"heronwick/wire"
)

// Headroom is the free resources of a machine and the tasks placed on it.
type Headroom struct {
	Location
	CPUs, MemoryGB float64
	GPUs           float64
	Tasks          []string
}

// PlaceableTasks returns, for each job that can run, its first unplaced task if one of the
// given machines has room for it. All tasks on the machines must belong to submitted jobs.
func (c *Checker) PlaceableTasks(machines []Headroom) (placeable []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	placed, usedByTeam := map[string]bool{}, map[string]teamUse{}
	for _, machine := range machines {
		for _, task := range machine.Tasks {
			placed[task] = true
			job := &c.jobs[jobOf(task)].job
			used := usedByTeam[job.Team]
			used.add(job, 1)
			usedByTeam[job.Team] = used
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		task, together := j.nextTasks(placed)
		if together == 0 || !j.isReady() {
			continue
		}
		used := usedByTeam[j.job.Team]
		used.add(&j.job, together)
		if cpus, gpus := c.withinQuota(j.job.Team, used); cpus && gpus && c.hasRoomLocked(j, machines, together) {
			placeable = append(placeable, task)
		}
	}
	return placeable
}

// isReady reports whether the job's tasks may run: the job is accepted and has not ended, all
// jobs that it depends on are done, and no user has requested the cancellation of the job or
// of one that it depends on.
func (j *trackedJob) isReady() bool {
	blocked := slices.ContainsFunc(j.dependencies, func(dependency *trackedJob) bool { return !dependency.isDone() })
	return j.accepted && !j.lastReported.Final() && !blocked && !j.selfOrAnyDependency(wasCancelRequested)
}

// nextTasks returns the first task of the job that is neither placed nor done, and how many tasks
// have to be placed together with it, including itself. That is one, but for a gang all tasks that
// are not done, and none while tasks of an earlier placement run.
func (j *trackedJob) nextTasks(placed map[string]bool) (first string, together int) {
	for i := range j.job.Tasks {
		task := wire.TaskID(j.job.ID, i)
		switch gang := j.job.Kind == wire.KindGang; {
		case j.done[task]:
		case placed[task] && gang:
			return "", 0
		case placed[task]:
		case first == "":
			first, together = task, 1
		case gang:
			together++
		}
	}
	return first, together
}

// hasRoomLocked reports whether the machines have room for the given number of further tasks of
// a job.
func (c *Checker) hasRoomLocked(j *trackedJob, machines []Headroom, tasks int) bool {
	for _, machine := range machines {
		if !c.allowsLocked(j, j.job.ID, machine.Location) {
			continue
		}
		for tasks > 0 && j.job.CPUs <= machine.CPUs && j.job.GPUs <= machine.GPUs && j.job.MemoryGB <= machine.MemoryGB {
			machine.CPUs, machine.GPUs, machine.MemoryGB = machine.CPUs-j.job.CPUs, machine.GPUs-j.job.GPUs, machine.MemoryGB-j.job.MemoryGB
			tasks--
		}
	}
	return tasks <= 0
}
