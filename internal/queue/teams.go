package queue

import (
	"iter"

	"heronwick/internal/config"
	"heronwick/internal/placement"
)

// Teams tracks the resource usage of each team against its guarantee and limit. A
// task counts as used as long as it may be on a machine.
type Teams struct {
	settings map[string]teamSettings
	used     map[string]teamResources
}

// teamResources are the resources that guarantees and limits are about. Tasks are added
// to usage and subtracted from it for as long as a controller runs, so it must be exact.
type teamResources struct {
	cpus, gpus placement.Quantity
}

// teamSettings are the guarantee and the limit of a team. A limit of 0 means none.
type teamSettings struct {
	guarantee, limit teamResources
}

// taskResources returns what the given number of tasks of a size use.
func taskResources(size placement.Resources, tasks int) teamResources {
	return teamResources{
		cpus: placement.QuantityOf(size.CPUs).Times(tasks),
		gpus: placement.QuantityOf(size.GPUs).Times(tasks),
	}
}

func (r teamResources) plus(other teamResources) teamResources {
	return teamResources{cpus: r.cpus.Plus(other.cpus), gpus: r.gpus.Plus(other.gpus)}
}

func (r teamResources) minus(other teamResources) teamResources {
	return teamResources{cpus: r.cpus - other.cpus, gpus: r.gpus - other.gpus}
}

// exceeds reports whether r exceeds a guarantee in any resource.
func (r teamResources) exceeds(guarantee teamResources) bool {
	return r.cpus.Exceeds(guarantee.cpus) || r.gpus.Exceeds(guarantee.gpus)
}

// exceedsLimit is exceeds for a limit, of which a resource without a limit is 0.
func (r teamResources) exceedsLimit(limit teamResources) bool {
	return r.cpus.ExceedsLimit(limit.cpus) || r.gpus.ExceedsLimit(limit.gpus)
}

// NewTeams returns the teams with no usage.
func NewTeams(settings []config.Team) *Teams {
	t := &Teams{settings: map[string]teamSettings{}, used: map[string]teamResources{}}
	for _, team := range settings {
		t.settings[team.Name] = teamSettings{
			guarantee: teamResources{cpus: placement.QuantityOf(team.CPUs), gpus: placement.QuantityOf(team.GPUs)},
			limit:     teamResources{cpus: placement.QuantityOf(team.CPUsMax), gpus: placement.QuantityOf(team.GPUsMax)},
		}
	}
	return t
}

// Add adds a task of the size to the team's usage.
func (t *Teams) Add(team string, size placement.Resources) {
	t.used[team] = t.used[team].plus(taskResources(size, 1))
}

// Remove subtracts from the team's usage a task that can no longer be on a machine.
func (t *Teams) Remove(team string, size placement.Resources) {
	t.used[team] = t.used[team].minus(taskResources(size, 1))
}

// UsedCPUs returns how many CPUs the team uses.
func (t *Teams) UsedCPUs(team string) placement.Quantity { return t.used[team].cpus }

// usedWith returns the usage of the job's team with the given number of additional tasks
// of the job.
func (t *Teams) usedWith(j *Job, tasks int) teamResources {
	return t.used[j.Record.Job.Team].plus(taskResources(j.Size, tasks))
}

// Guaranteed reports whether one more task of the job stays within its team's
// guarantee. For a hosted job it returns what the job's owner reported.
func (t *Teams) Guaranteed(j *Job) bool {
	if j.Hosted {
		return j.OwnerGuaranteed
	}
	return !t.usedWith(j, 1).exceeds(t.settings[j.Record.Job.Team].guarantee)
}

// WithinLimit reports whether the given number of additional tasks of the job stays
// within its team's limit.
func (t *Teams) WithinLimit(j *Job, tasks int) bool {
	return !t.usedWith(j, tasks).exceedsLimit(t.settings[j.Record.Job.Team].limit)
}

// AboveGuarantee reports whether the team uses more CPUs than its guarantee. It is
// false for a team with neither a guarantee nor a limit on CPUs.
func (t *Teams) AboveGuarantee(name string) bool {
	team := t.settings[name]
	return (team.guarantee.cpus > 0 || team.limit.cpus > 0) && t.used[name].cpus.Exceeds(team.guarantee.cpus)
}

// AnyAboveGuarantee reports whether AboveGuarantee is true for any team.
func (t *Teams) AnyAboveGuarantee() bool {
	for name := range t.settings {
		if t.AboveGuarantee(name) {
			return true
		}
	}
	return false
}

// Limited returns the names of the teams that have a limit.
func (t *Teams) Limited() iter.Seq[string] {
	return func(yield func(string) bool) {
		for name, team := range t.settings {
			if (team.limit.cpus > 0 || team.limit.gpus > 0) && !yield(name) {
				return
			}
		}
	}
}
