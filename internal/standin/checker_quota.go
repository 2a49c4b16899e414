package standin

import "heronwick/wire"

// quotaTolerance is by how much a sum of CPUs or GPUs may exceed a quota, to allow for rounding
// errors.
const quotaTolerance = 1e-6

// teamUse is what tasks of a team use of its quota.
type teamUse struct{ cpus, gpus float64 }

// add adds the given number of tasks of a job.
func (u *teamUse) add(job *wire.Job, tasks int) {
	u.cpus += job.CPUs * float64(tasks)
	u.gpus += job.GPUs * float64(tasks)
}

// usedByTeamLocked returns what the running tasks of a team use.
func (c *Checker) usedByTeamLocked(team string) (used teamUse) {
	for task := range c.running {
		if j := c.jobs[jobOf(task)]; j.job.Team == team {
			used.add(&j.job, 1)
		}
	}
	return used
}

// withinQuota reports, for CPUs and for GPUs, whether a team may use this much.
func (c *Checker) withinQuota(team string, used teamUse) (cpus, gpus bool) {
	return within(c.TeamQuotas, team, used.cpus), within(c.TeamGPUQuotas, team, used.gpus)
}

// within reports whether a team may use this much of a resource with the given quotas.
func within(quotas map[string]float64, team string, used float64) bool {
	limit, limited := quotas[team]
	return !limited || used <= limit+quotaTolerance
}

// checkQuotaLocked checks that a team's running tasks stay within its quota.
func (c *Checker) checkQuotaLocked(team string) {
	used := c.usedByTeamLocked(team)
	cpus, gpus := c.withinQuota(team, used)
	if !cpus {
		c.recordViolationLocked(ruleQuota, "%s uses %v of %v CPUs", team, used.cpus, c.TeamQuotas[team])
	}
	if !gpus {
		c.recordViolationLocked(ruleQuota, "%s uses %v of %v GPUs", team, used.gpus, c.TeamGPUQuotas[team])
	}
}

// exceedsQuota reports whether a job needs more than its team's quota by itself: one task of an
// array or a gang, all tasks of a service.
func (c *Checker) exceedsQuota(job *wire.Job) bool {
	var needed teamUse
	needed.add(job, 1)
	if job.Kind == wire.KindService {
		needed.add(job, job.Tasks-1)
	}
	cpus, gpus := c.withinQuota(job.Team, needed)
	return !cpus || !gpus
}
