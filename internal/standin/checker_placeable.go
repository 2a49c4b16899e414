package standin

import (
	"maps"
	"slices"

	"heronwick/wire"
)

// Headroom is what a machine has room for, and the tasks on it.
type Headroom struct {
	Location
	CPUs, MemoryGB float64
	Tasks          []string
}

// PlaceableTasks returns, for each job that could run, its first task that is on no machine though
// one of the given machines has room for it. The tasks on the machines must belong to
// submitted jobs.
func (c *Checker) PlaceableTasks(machines []Headroom) (waiting []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	placed, usedByTeam := map[string]bool{}, map[string]float64{}
	for _, machine := range machines {
		for _, task := range machine.Tasks {
			placed[task] = true
			job := &c.jobs[jobOf(task)].job
			usedByTeam[job.Team] += job.CPUs
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		limit, limited := c.TeamQuotas[j.job.Team]
		if !j.isReady() || limited && usedByTeam[j.job.Team]+j.job.CPUs > limit {
			continue
		}
		if task, ok := c.placeableLocked(id, j, machines, placed); ok {
			waiting = append(waiting, task)
		}
	}
	return waiting
}

// isReady reports whether the job's tasks may run: it is accepted and not over, no user has
// cancelled it or a job that it depends on, and those are done.
func (j *trackedJob) isReady() bool {
	blocked := slices.ContainsFunc(j.dependencies, func(dependency *trackedJob) bool { return !dependency.isDone() })
	return j.accepted && !j.reported.Final() && !blocked && !j.anyDependency(wasCancelRequested)
}

// placeableLocked returns the first task of a job that is neither placed nor done and that
// one of the machines would take.
func (c *Checker) placeableLocked(id string, j *trackedJob, machines []Headroom, placed map[string]bool) (task string, found bool) {
	hasRoom := func(machine Headroom) bool {
		return j.job.CPUs <= machine.CPUs && j.job.MemoryGB <= machine.MemoryGB && c.allowsLocked(j, id, machine.Location)
	}
	for i := range j.job.Tasks {
		task := wire.TaskID(id, i)
		if !placed[task] && !j.done[task] {
			return task, slices.ContainsFunc(machines, hasRoom)
		}
	}
	return "", false
}
