package queue

import (
	"iter"

	"heronwick/internal/config"
	"heronwick/internal/placement"
)

// Teams is how much each team's tasks use, and what it is guaranteed and
// limited to. All that may still be on a machine counts as used.
type Teams struct {
	settings map[string]config.Team
	used     map[string]placement.Resources
}

// NewTeams returns teams that use nothing yet.
func NewTeams(settings []config.Team) *Teams {
	t := &Teams{settings: map[string]config.Team{}, used: map[string]placement.Resources{}}
	for _, team := range settings {
		t.settings[team.Name] = team
	}
	return t
}

// Add counts a task of the size as used by the team.
func (t *Teams) Add(team string, size placement.Resources) { t.used[team] = t.used[team].Plus(size) }

// Remove uncounts a task that is surely gone.
func (t *Teams) Remove(team string, size placement.Resources) {
	t.used[team] = t.used[team].Minus(size)
}

// Used returns what the team uses.
func (t *Teams) Used(team string) placement.Resources { return t.used[team] }

// Guaranteed reports whether one more task of the job stays within its team's
// guarantee. Of a hosted job its owner says so.
func (t *Teams) Guaranteed(j *Job) bool {
	if j.Hosted {
		return j.OwnerGuaranteed
	}
	team := t.settings[j.Record.Job.Team]
	after := t.used[j.Record.Job.Team].Plus(j.Size)
	return after.CPUs <= team.CPUs && after.GPUs <= team.GPUs
}

// WithinLimit reports whether so many more tasks of the job stay within its
// team's limit.
func (t *Teams) WithinLimit(j *Job, tasks int) bool {
	team := t.settings[j.Record.Job.Team]
	after := t.used[j.Record.Job.Team].Plus(j.Size.Times(float64(tasks)))
	return (team.CPUsMax == 0 || after.CPUs <= team.CPUsMax) && (team.GPUsMax == 0 || after.GPUs <= team.GPUsMax)
}

// AboveGuarantee reports whether a team that has a guarantee or a limit uses more
// CPUs than it is guaranteed.
func (t *Teams) AboveGuarantee(name string) bool {
	team := t.settings[name]
	return (team.CPUs > 0 || team.CPUsMax > 0) && t.used[name].CPUs > team.CPUs
}

// AnyAboveGuarantee reports whether AboveGuarantee holds for any team.
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
