package queue

import (
	"iter"

	"heronwick/internal/config"
	"heronwick/internal/placement"
)

// Teams tracks the resource usage of each team against its guarantee and limit. A
// task counts as used as long as it may be on a machine.
type Teams struct {
	settings map[string]config.Team
	used     map[string]placement.Resources
}

// NewTeams returns the teams with no usage.
func NewTeams(settings []config.Team) *Teams {
	t := &Teams{settings: map[string]config.Team{}, used: map[string]placement.Resources{}}
	for _, team := range settings {
		t.settings[team.Name] = team
	}
	return t
}

// Add adds a task of the size to the team's usage.
func (t *Teams) Add(team string, size placement.Resources) { t.used[team] = t.used[team].Plus(size) }

// Remove subtracts from the team's usage a task that can no longer be on a machine.
func (t *Teams) Remove(team string, size placement.Resources) {
	t.used[team] = t.used[team].Minus(size)
}

// Used returns the team's usage.
func (t *Teams) Used(team string) placement.Resources { return t.used[team] }

// Guaranteed reports whether one more task of the job stays within its team's
// guarantee. For a hosted job it returns what the job's owner reported.
func (t *Teams) Guaranteed(j *Job) bool {
	if j.Hosted {
		return j.OwnerGuaranteed
	}
	team := t.settings[j.Record.Job.Team]
	after := t.used[j.Record.Job.Team].Plus(j.Size)
	return after.CPUs <= team.CPUs && after.GPUs <= team.GPUs
}

// WithinLimit reports whether the given number of additional tasks of the job stays
// within its team's limit.
func (t *Teams) WithinLimit(j *Job, tasks int) bool {
	team := t.settings[j.Record.Job.Team]
	after := t.used[j.Record.Job.Team].Plus(j.Size.Times(float64(tasks)))
	return (team.CPUsMax == 0 || after.CPUs <= team.CPUsMax) && (team.GPUsMax == 0 || after.GPUs <= team.GPUsMax)
}

// AboveGuarantee reports whether the team uses more CPUs than its guarantee. It is
// false for a team with neither a guarantee nor a limit on CPUs.
func (t *Teams) AboveGuarantee(name string) bool {
	team := t.settings[name]
	return (team.CPUs > 0 || team.CPUsMax > 0) && t.used[name].CPUs > team.CPUs
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
			if (team.CPUsMax > 0 || team.GPUsMax > 0) && !yield(name) {
				return
			}
		}
	}
}
