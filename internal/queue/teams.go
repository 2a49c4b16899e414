package queue

import (
	"heronwick/internal/quota"
)

// Teams tells which jobs are within the guarantees and limits of their teams, from the usage
// in a ledger.
type Teams struct{ *quota.Ledger }

// Guaranteed reports whether one more task of the job stays within its team's guarantee. For
// a hosted job it returns what the job's owner reported.
func (t *Teams) Guaranteed(j *Job) bool {
	if j.Hosted {
		return j.OwnerGuaranteed
	}
	return t.Ledger.Guaranteed(j.Record.Job.Team, j.Size)
}

// MayStart reports whether the given number of further tasks of the job may start now, as far
// as its team's limit is concerned.
func (t *Teams) MayStart(j *Job, tasks int) bool {
	return t.Check(j.Record.Job.Team, j.Record.Job.ID, j.Size, tasks) == quota.Granted
}
