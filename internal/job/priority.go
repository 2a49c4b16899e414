package job

import "time"

// EffectivePriority decides how soon a job is served: its own priority and deadline,
// or those of a job that depends on it, where they are higher or earlier.
type EffectivePriority struct {
	Rank int       // of the priority, 0 being the highest
	Due  time.Time // deadline; zero: none
}

// raise makes the priority at least as urgent as a rank and a deadline, and reports
// whether that changed it.
func (p *EffectivePriority) raise(rank int, due time.Time) (changed bool) {
	before := *p
	p.Rank = min(p.Rank, rank)
	if !due.IsZero() && (p.Due.IsZero() || due.Before(p.Due)) {
		p.Due = due
	}
	return *p != before
}

// ownPriority returns the priority of the job without the jobs that depend on it.
func (r *Record) ownPriority() EffectivePriority {
	p := EffectivePriority{Rank: r.Job.Priority.Rank()}
	if r.Job.DeadlineS != nil {
		p.Due = time.UnixMilli(r.AcceptedMs).Add(seconds(*r.Job.DeadlineS))
	}
	return p
}

// Readiness is what follows for a job from its place in the dependency graph.
type Readiness struct {
	EffectivePriority
	// Ready reports that all its dependencies are done in the key-value store.
	Ready bool
	// ReadyAt is when the last of them ended; zero: it has none.
	ReadyAt time.Time
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
