package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"heronwick/internal/fleet"
	"heronwick/internal/job"
	"heronwick/internal/state"
	"heronwick/wire"
)

// bucketWrite is one write of a journal or a bucket.
type bucketWrite struct {
	write state.Write
	// consolidates: it only gathers what is recorded already.
	consolidates bool
	journal      bool
	bucket       *bucket
	removes      bool                          // the bucket, which holds nothing any more
	size         int                           // bytes that the bucket then holds
	jobs         map[string]bool               // whose being active it is conditional on
	attempts     map[*machine][]*fleet.Attempt // that it records for the first time
	moved        []*fleet.Attempt              // that only the journal held
	recorded     []*machine                    // with records left over on other buckets
}

func (s *Scheduler) newBucketWriteLocked(priority state.Priority) *bucketWrite {
	return &bucketWrite{attempts: map[*machine][]*fleet.Attempt{}, jobs: map[string]bool{},
		write: s.fenceLocked().Bind(state.Write{Priority: priority, Persist: true})}
}

// admitsLocked tells whether the write can record an attempt, and makes it
// conditional on the attempt's job being active, so that nothing is placed for
// one cancelled a moment ago. A write takes half of the conditions that a
// transaction can have: the rest is for others' writes beside it. What finds
// no place goes with the next write.
func (s *Scheduler) admitsLocked(pw *bucketWrite, a *fleet.Attempt) bool {
	if a.Durable || pw.jobs[a.Job] {
		return true
	}
	queued := s.jobOf(a.Job)
	if queued == nil {
		return true
	}
	if len(pw.jobs) >= max(1, 2*s.opts.Settings.TxnOps) {
		return false
	}
	pw.jobs[a.Job] = true
	pw.write.If = append(pw.write.If, queued.Record.Condition())
	return true
}

// records notes that the write records an attempt for the first time.
func (pw *bucketWrite) records(m *machine, a *fleet.Attempt) {
	pw.attempts[m] = append(pw.attempts[m], a)
}

// put makes the write one of a bucket.
func (pw *bucketWrite) put(p *bucket, value json.RawMessage) {
	p.committing, p.untidy, p.written = true, false, time.Now()
	pw.bucket, pw.size = p, len(value)
	pw.write.If = append(pw.write.If, wire.Condition{Key: p.key, Version: p.version})
	pw.write.Then = append(pw.write.Then, wire.Change{Put: p.key, Value: value})
}

// bucketWritten tells whether a bucket in the store has the machine's record.
func (m *machine) bucketWritten() bool { return m.bucket != nil && m.bucket.version > 0 }

// putBucketLocked encodes a bucket and commits it.
func (s *Scheduler) putBucketLocked(pw *bucketWrite, p *bucket, content fleet.RecordBucket) {
	value, err := json.Marshal(content)
	if err != nil {
		s.log.Error("encoding machines' records", "key", p.key, "err", err)
		return
	}
	pw.put(p, value)
	s.goDo(func(ctx context.Context) { s.commit(ctx, pw) })
}

// markLocked returns what no other write bears.
func (s *Scheduler) markLocked() string {
	s.serial++ // any number that never comes again under this token
	return fmt.Sprintf("%s-%d-%d", s.opts.Node, s.epoch.Token, s.serial)
}

// writeBucketLocked writes a bucket, fenced by the epoch and by its own version. What
// does not fit it goes to other buckets, in writes of their own; it is itself
// written once those hold what it held.
func (s *Scheduler) writeBucketLocked(p *bucket, priority state.Priority) {
	for name := range p.machines {
		s.dropStaleHostedLocked(s.machines[name])
	}
	if p.empty() {
		s.deleteBucketLocked(p, priority)
		return
	}
	s.splitBucketLocked(p, priority)
	if p.oversized {
		return
	}
	pw := s.newBucketWriteLocked(priority)
	pw.consolidates = priority == state.Background
	p.gathers = pw.consolidates
	if pw.consolidates {
		s.consolidating++
	}
	content := s.contentLocked(p, pw)
	for name := range p.machines {
		s.recordsMachineLocked(pw, s.machines[name])
	}
	s.putBucketLocked(pw, p, content)
}

// deleteBucketLocked removes a bucket that holds nothing any more.
func (s *Scheduler) deleteBucketLocked(p *bucket, priority state.Priority) {
	if p.version == 0 {
		delete(s.records.buckets, p.key)
		return
	}
	guard, err := s.cleanupGuard()
	if err != nil {
		p.untidy = true // removed later
		return
	}
	delete(s.records.buckets, p.key)
	pw := s.newBucketWriteLocked(priority)
	pw.bucket, pw.removes, p.committing = p, true, true
	pw.write.If = append(pw.write.If, wire.Condition{Key: p.key, Version: p.version})
	pw.write.Then = append(pw.write.Then, wire.Change{Delete: p.key})
	pw.write = guard.Bind(pw.write)
	s.goDo(func(ctx context.Context) { s.commit(ctx, pw) })
}

// splitBucketLocked moves machines that do not fit a bucket to others, which are
// written at once. Until then the bucket keeps its records of them, and if with
// those it does not fit a value, it is not written.
func (s *Scheduler) splitBucketLocked(p *bucket, priority state.Priority) {
	limit := s.valueLimit.Bytes()
	size := 0
	for name, r := range p.leftover {
		if !p.machines[name] {
			size += r.Size(name)
		}
	}
	var moving []string
	for i, name := range slices.Sorted(maps.Keys(p.machines)) {
		more := s.recordSizeLocked(s.machines[name])
		if size += more; size > limit && (i > 0 || len(p.leftover) > 0) {
			moving = append(moving, name)
			size -= more
		}
	}
	for len(moving) > 0 {
		moving = s.moveToNewBucketLocked(p, moving, priority)
	}
	kept := 0
	for name, r := range p.leftover {
		kept += r.Size(name)
	}
	for name := range p.machines {
		kept += s.recordSizeLocked(s.machines[name])
	}
	p.oversized = len(p.leftover) > 0 && kept > limit
}

// recordSizeLocked is how much the machine's record takes of a bucket at most.
func (s *Scheduler) recordSizeLocked(m *machine) int {
	r := s.recordLocked(m, func(*fleet.Attempt) bool { return false })
	return r.Size(m.Name)
}

// moveToNewBucketLocked moves as many of the machines as fit from a bucket to a new
// one and writes that. It returns the others.
func (s *Scheduler) moveToNewBucketLocked(from *bucket, names []string, priority state.Priority) (others []string) {
	to := s.records.add()
	size := 0
	for i, name := range names {
		m := s.machines[name]
		if size += s.recordSizeLocked(m); i > 0 && size > s.valueLimit.Bytes() {
			others = names[i:]
			break
		}
		delete(from.machines, name)
		to.machines[name] = true
		m.bucket = to
		if from.version == 0 {
			continue
		}
		if from.leftover == nil {
			from.leftover = map[string]fleet.Record{}
		}
		if _, ok := from.leftover[name]; !ok {
			from.leftover[name] = s.recordLocked(m, func(a *fleet.Attempt) bool { return !a.Durable })
		}
		if !slices.Contains(m.elsewhere, from) {
			s.records.scatter(m, from)
		}
	}
	s.writeBucketLocked(to, priority)
	return others
}

// recordsMachineLocked notes what a write of the machine's bucket records of it.
func (s *Scheduler) recordsMachineLocked(pw *bucketWrite, m *machine) {
	if len(m.elsewhere) > 0 {
		pw.recorded = append(pw.recorded, m)
	}
	m.due = false
	if !pw.consolidates {
		m.dirty = false
	}
	for _, a := range m.Attempts.All() {
		switch {
		case a.Exited():
		case a.Durable:
			if a.Journal != "" {
				pw.moved = append(pw.moved, a)
			}
		case pw.consolidates:
		case s.admitsLocked(pw, a):
			pw.records(m, a)
		default:
			m.dirty = true
		}
	}
}

// contentLocked is what a bucket is to hold.
func (s *Scheduler) contentLocked(p *bucket, pw *bucketWrite) fleet.RecordBucket {
	content := fleet.RecordBucket{Machines: make(map[string]fleet.Record, len(p.machines)), Write: s.markLocked()}
	maps.Copy(content.Machines, p.leftover)
	for name := range p.machines {
		content.Machines[name] = s.recordLocked(s.machines[name], func(a *fleet.Attempt) bool {
			return !a.Durable && (pw.consolidates || !s.admitsLocked(pw, a))
		})
	}
	return content
}

// fenceLocked ties writes to the division that the share goes by.
func (s *Scheduler) fenceLocked() state.FencingCondition {
	fence := s.epoch.condition
	return state.FencingCondition{Condition: fence, Current: func() bool {
		_, condition := s.opts.Authority.CurrentEpoch()
		return condition == fence
	}}
}

// currentLocked tells whether the division that the share goes by is current.
func (s *Scheduler) currentLocked() bool { return s.fenceLocked().Current() }

// reread returns the version that a key has after a write of it has failed
// with err; ok is false if that is not known, or did not change. Only this
// share writes the key, so what is there is an earlier write of its own, or of
// an earlier epoch.
func (s *Scheduler) reread(ctx context.Context, p state.Priority, key string, err error) (version uint64, ok bool) {
	var conflict *state.Conflict
	if ctx.Err() != nil || errors.As(err, &conflict) && !conflict.Includes(key) {
		return 0, false
	}
	item, err := s.opts.Records.Get(ctx, p, key)
	return item.Version, err == nil || errors.Is(err, state.ErrNotFound)
}

func (s *Scheduler) commit(ctx context.Context, pw *bucketWrite) {
	version, err := s.opts.Committer.Commit(ctx, pw.write)
	known := err == nil
	if err != nil {
		version, known = s.reread(ctx, state.Placement, pw.bucket.key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if pw.consolidates {
		s.consolidating--
	}
	pw.bucket.committing = false
	if known {
		pw.bucket.version = version
	}
	if err != nil {
		s.notRecordedLocked(pw, err)
		if ctx.Err() == nil {
			time.AfterFunc(commitAgainAfter, s.poke)
		}
		return
	}
	s.recordedLocked(pw)
	s.poke() // for what has gathered meanwhile
}

// commitAgainAfter is how long what could not be recorded waits.
const commitAgainAfter = 100 * time.Millisecond

// recordedLocked draws the consequences of a write of records that was made.
func (s *Scheduler) recordedLocked(pw *bucketWrite) {
	pw.bucket.size = pw.size
	for _, m := range pw.recorded {
		if m.bucket == pw.bucket {
			s.records.gathered(m)
		}
	}
	for m, attempts := range pw.attempts {
		for _, a := range attempts {
			a.Durable, a.InBucket = true, a.InBucket || !pw.journal
			a.Journal = ""
			if !a.InBucket {
				a.Journal = pw.bucket.key
				pw.bucket.journaled[m] = true
			}
		}
		if s.machines[m.Name] == m {
			s.sendLocked(m)
		}
	}
	for _, a := range pw.moved {
		a.Journal, a.InBucket = "", true
	}
}

// notRecordedLocked draws the consequences of a write of records that failed.
func (s *Scheduler) notRecordedLocked(pw *bucketWrite, err error) {
	s.log.Debug("recording placements failed", "err", err)
	pw.bucket.untidy = true
	if pw.removes {
		// Else it would stay in the store for ever.
		s.records.buckets[pw.bucket.key] = pw.bucket
	}
	for m := range pw.attempts {
		m.dirty = true
	}
	s.valueLimit.NoteRejected(err)
	var conflict *state.Conflict
	if !errors.As(err, &conflict) {
		return
	}
	for _, failed := range conflict.Failed {
		if id, ok := job.IsActive(failed); ok {
			s.dropUnsentLocked(pw, id)
		}
	}
}

// dropUnsentLocked drops the placements of a job that is over, none of which
// was sent.
func (s *Scheduler) dropUnsentLocked(pw *bucketWrite, id string) {
	for m := range pw.attempts {
		for _, a := range m.Attempts.All() {
			if a.Job == id && a.NeverSent() {
				m.Attempts.Delete(a.Key)
				s.uncountAttemptLocked(a)
			}
		}
		s.closeIfEmptyLocked(m)
	}
	if queued := s.jobOf(id); queued != nil {
		queued.NotBefore = time.Now().Add(time.Second)
	}
	s.resolveJobLocked(id)
}
