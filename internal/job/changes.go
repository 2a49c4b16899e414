package job

import (
	"maps"
	"time"

	"heronwick/wire"
)

// changeSet holds what the listener is notified of after a change of the cache.
type changeSet struct {
	added            *Record            // nil if no job was added
	ended            map[string]Outcome // by job
	readinessChanged []string           // jobs whose readiness has changed
}

// notify calls the listener for a change set, without holding the lock.
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
	if len(changes.readinessChanged) > 0 {
		listener.ReadinessChanged(changes.readinessChanged)
	}
}

// addActive caches the record of an active job, unless the job is cached already, and
// notifies the listener.
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
	changes := changeSet{added: r, readinessChanged: s.graph.add(r)}
	for _, dependency := range r.Job.Dependencies {
		switch o := s.outcomes[dependency]; {
		case o != nil:
			s.graph.markDone(dependency, time.UnixMilli(o.EndedMs))
		case s.active[dependency] == nil:
			s.queueLookupLocked(dependency)
		}
	}
	return changes
}

// addOutcome caches the outcome that a job got at a revision of the key-value store,
// unless it is cached already, and notifies the listener.
func (s *Store) addOutcome(id string, o Outcome, revision uint64) {
	s.mu.Lock()
	changes := s.addOutcomeLocked(id, o, revision)
	s.mu.Unlock()
	s.notify(changes)
}

func (s *Store) addOutcomeLocked(id string, o Outcome, revision uint64) changeSet {
	if known := s.outcomes[id]; known != nil {
		if s.cascaded[id] != nil { // the outcome is now in the key-value store too
			delete(s.cascaded, id)
			known.revision = revision
		}
		return changeSet{}
	}
	s.cacheOutcomeLocked(id, &outcomeEntry{Outcome: o, revision: revision})
	changes := changeSet{ended: map[string]Outcome{id: o}}
	if o.State != wire.JobCancelled {
		ready, readinessChanged := s.graph.markDone(id, time.UnixMilli(o.EndedMs))
		changes.readinessChanged = append(readinessChanged, ready...)
		return changes
	}
	s.cancellations.add(Cancellation{Job: id, Revision: revision, Outcome: o}, time.Now())
	maps.Copy(changes.ended, s.cancelDependentsLocked(id))
	changes.readinessChanged = s.graph.remove(id)
	return changes
}

// cacheOutcomeLocked caches a job's outcome in place of its active record.
func (s *Store) cacheOutcomeLocked(id string, o *outcomeEntry) {
	if len(s.outcomes) >= maxOutcomes {
		s.evictOutcomeLocked()
	}
	s.outcomes[id] = o
	delete(s.active, id)
	delete(s.progress, id)
	delete(s.unresolved, id)
}

func (s *Store) evictOutcomeLocked() {
	for id := range s.outcomes {
		delete(s.outcomes, id)
		delete(s.cascaded, id)
		return
	}
}
