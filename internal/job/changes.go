package job

import (
	"maps"
	"time"

	"heronwick/wire"
)

// changeSet is what a change of the cache means for the listener.
type changeSet struct {
	added   *Record            // nil: none
	ended   map[string]Outcome // by job
	changed []string           // jobs whose readiness has changed
}

// notify calls the listener for a change set, without the lock.
func (s *Store) notify(changes changeSet) {
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	if listener == nil {
		return
	}
	if changes.added != nil {
		listener.JobAdded(changes.added)
	}
	for id, outcome := range changes.ended {
		listener.JobEnded(id, outcome)
	}
	if len(changes.changed) > 0 {
		listener.ReadinessChanged(changes.changed)
	}
}

// addActive caches the record of an active job, unless it is known already.
func (s *Store) addActive(id string, r *Record) {
	s.mu.Lock()
	changes := s.addActiveLocked(id, r)
	s.mu.Unlock()
	s.notify(changes)
}

func (s *Store) addActiveLocked(id string, r *Record) changeSet {
	if s.outcomes[id] != nil || s.active[id] != nil {
		return changeSet{}
	}
	delete(s.unresolved, id)
	for _, dependency := range r.Job.Dependencies {
		if o := s.outcomes[dependency]; o != nil && o.State == wire.JobCancelled {
			return changeSet{ended: s.cancelWithDependentsLocked(dependency, r)}
		}
	}
	s.active[id] = r
	changes := changeSet{added: r, changed: s.graph.add(r)}
	for _, dependency := range r.Job.Dependencies {
		switch o := s.outcomes[dependency]; {
		case o != nil:
			s.graph.done(dependency, time.UnixMilli(o.EndedMs))
		case s.active[dependency] == nil:
			s.resolveLaterLocked(dependency)
		}
	}
	return changes
}

// addOutcome caches how a job ended, at a revision of the key-value store, unless
// that is known already.
func (s *Store) addOutcome(id string, o Outcome, revision uint64) {
	s.mu.Lock()
	changes := s.addOutcomeLocked(id, o, revision)
	s.mu.Unlock()
	s.notify(changes)
}

func (s *Store) addOutcomeLocked(id string, o Outcome, revision uint64) changeSet {
	if known := s.outcomes[id]; known != nil {
		if s.implied[id] != nil { // now the key-value store has it too
			delete(s.implied, id)
			known.revision = revision
		}
		return changeSet{}
	}
	s.keepOutcomeLocked(id, &outcomeEntry{Outcome: o, revision: revision})
	changes := changeSet{ended: map[string]Outcome{id: o}}
	if o.State != wire.JobCancelled {
		ready, changed := s.graph.done(id, time.UnixMilli(o.EndedMs))
		changes.changed = append(changed, ready...)
		return changes
	}
	s.cancellations.add(Cancellation{Job: id, Revision: revision, Outcome: o}, time.Now())
	maps.Copy(changes.ended, s.cancelDependentsLocked(id))
	changes.changed = s.graph.remove(id)
	return changes
}

// keepOutcomeLocked keeps how a job ended, in place of its active record.
func (s *Store) keepOutcomeLocked(id string, o *outcomeEntry) {
	if len(s.outcomes) >= maxOutcomes {
		s.dropOneOutcomeLocked()
	}
	s.outcomes[id] = o
	delete(s.active, id)
	delete(s.progress, id)
	delete(s.unresolved, id)
}

func (s *Store) dropOneOutcomeLocked() {
	for id := range s.outcomes {
		delete(s.outcomes, id)
		delete(s.implied, id)
		return
	}
}
