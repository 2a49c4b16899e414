package scheduler

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"heronwick/internal/cluster"
	"heronwick/internal/fleet"
	"heronwick/internal/job"
	"heronwick/internal/state"
	"heronwick/wire"
)

// rebuild makes the share fit a new division: it lets go of jobs that are no
// longer its own, takes machines without an owner, and reads from the records
// what may be where, before anything of that is placed.
func (s *Scheduler) rebuild(ctx context.Context, epoch cluster.Epoch, condition wire.Condition, gained []*job.Record, adopt []string) {
	s.mu.Lock()
	first := !s.loaded
	// A new leader also has what the one before had without writing it.
	leads := s.beginsToLeadLocked(&epoch)
	s.disownLocked(&epoch)
	s.mu.Unlock()

	var r storedRecords
	var err error
	if first || leads || len(adopt) > 0 || len(gained) > 0 || s.gainsLimit(&epoch) {
		r, err = s.readRecords(ctx)
	}

	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.recheckEpoch()
	s.building = false
	if now, _ := s.opts.Authority.CurrentEpoch(); err != nil || ctx.Err() != nil || now.Token != epoch.Token {
		// The next division starts over: what was read may be outdated.
		if err != nil {
			s.log.Info("rebuilding the share failed, trying again", "err", err)
		}
		return
	}
	s.disownLocked(&epoch) // what came meanwhile by the old division
	s.takeEpochLocked(epoch, condition)
	if first {
		s.begun = condition.Version
	}
	now := time.Now()
	isGained := map[string]bool{}
	for _, record := range gained {
		id := record.Job.ID
		if s.jobs[id] != nil || s.opts.Jobs.Active(id) == nil {
			continue
		}
		isGained[id] = true
		js := s.addJobLocked(record)
		for i := range r.done {
			for chunk, bits := range r.done[i].Jobs[id] {
				js.Done.AddBlock(chunk, bits)
			}
		}
	}
	s.countOverLocked()
	adopted := s.placeRecordsLocked(r, adopt, isGained, now)
	s.adopted = epoch.Token
	if first || len(gained)+adopted > 0 {
		s.log.Info("share rebuilt", "token", epoch.Token, "jobs", len(s.jobs), "gained", len(isGained), "machines", len(s.machines),
			"adopted", adopted, "lent", s.remoteAttempts.Len())
	}
	s.loaded = true
	if s.epoch.Leader == s.opts.Node {
		for i := range r.done {
			if node, since, ok := job.DoneBucketOwner(r.done[i].Key); !ok || s.epoch.Members[node].Since != since {
				s.completions.TakeOver(&r.done[i], s.opts.Jobs.Active, s.completionOf)
			}
		}
	}
	for _, js := range s.jobs {
		s.finishLocked(js)
	}
}

// gainsLimit tells whether a team whose limit this share now keeps was
// another's: what may still run of it, also of jobs that are over, counts.
func (s *Scheduler) gainsLimit(epoch *cluster.Epoch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, t := range s.teams {
		if (t.CPUsMax > 0 || t.GPUsMax > 0) && epoch.Teams[name] == s.opts.Node && s.epoch.Teams[name] != s.opts.Node {
			return true
		}
	}
	return false
}

// countOverLocked counts what may still run on the share's machines of jobs that
// are over, of teams that are now its own. Nobody accepts, gains or places such
// a job, but its tasks use up the team's limit until they are surely gone.
func (s *Scheduler) countOverLocked() {
	for _, m := range s.machines {
		for _, a := range m.Attempts.All() {
			if !a.Counted && a.Sized && !a.Exited() && s.jobs[a.Job] == nil && s.opts.Jobs.Active(a.Job) == nil &&
				s.epoch.OwnerOf(a.Team, a.Job) == s.opts.Node {
				a.Guest = false
				s.countLocked(m.Zone, a)
			}
		}
	}
}

// storedRecords is what the store holds of machines and done tasks.
type storedRecords struct {
	buckets []storedBucket
	done    []job.DoneBucket
	ended   map[string]job.Outcome // jobs named on machines that are over
}

// storedBucket is a key with machines' records, as read.
type storedBucket struct {
	fleet.RecordBucket
	key     string
	version uint64
	size    int
}

// resolvers is how many jobs are looked up at once.
const resolvers = 8

func (s *Scheduler) readRecords(ctx context.Context) (r storedRecords, err error) {
	items, _, err := s.opts.Records.List(ctx, state.Urgent, fleet.RecordPrefix)
	if err != nil {
		return r, err
	}
	newest := map[string]uint64{}
	for _, item := range items {
		bucket, err := fleet.ReadBucket(item.Key, item.Value)
		if err != nil {
			return r, err
		}
		r.buckets = append(r.buckets, storedBucket{RecordBucket: bucket, key: item.Key, version: item.Version, size: len(item.Value)})
		for _, record := range bucket.Machines {
			for task, attempt := range record.Attempts {
				newest[task] = max(newest[task], attempt)
			}
		}
	}
	if r.done, err = s.opts.Jobs.ReadDone(ctx); err != nil {
		return r, err
	}
	r.ended = map[string]job.Outcome{}
	unknown := map[string]bool{}
	for _, bucket := range r.buckets {
		for _, record := range bucket.Machines {
			for task, attempt := range record.Attempts {
				// A newer attempt was recorded, which is done only once the
				// older one has surely gone. A bucket that was not written
				// since still names it.
				if attempt < newest[task] {
					delete(record.Attempts, task)
					continue
				}
				if id, _, ok := wire.SplitTaskID(task); ok && s.opts.Jobs.Active(id) == nil {
					unknown[id] = true
				}
			}
		}
	}
	var mu sync.Mutex
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(resolvers)
	for id := range unknown {
		g.Go(func() error {
			f, over, _, err := s.opts.Jobs.Resolve(ctx, id)
			if over {
				mu.Lock()
				r.ended[id] = f
				mu.Unlock()
			}
			return err
		})
	}
	return r, g.Wait()
}

// placeRecordsLocked takes from the records what may be on machines: on those
// that are adopted, and on others' as far as own jobs are concerned. It
// returns how many machines were adopted.
func (s *Scheduler) placeRecordsLocked(r storedRecords, adopt []string, gained map[string]bool, now time.Time) int {
	// Guests here whose jobs have become ours.
	for _, m := range s.machines {
		for _, a := range m.Attempts.All() {
			if gained[a.Job] {
				s.adoptLocked(m, a)
				if a.Exited() && !a.Handled {
					s.exitedLocked(m, a)
				}
			}
		}
	}
	found := map[string]*fleet.Machine{}
	on := map[string][]*bucket{}
	for _, rp := range r.buckets {
		p := s.takeBucketLocked(rp)
		for name, record := range rp.Machines {
			// By this division, also while the next one begins: a machine that is
			// ours only by that one, without the bucket that holds its record, had
			// that record removed as nobody's (ran_twice).
			host := s.opts.Authority.HostOf(&s.epoch.Epoch, name)
			switch {
			case s.machines[name] != nil || s.isGoneLocked(name):
			case host == s.opts.Node && s.moving[name]:
			case host == s.opts.Node:
				if m := found[name]; m != nil {
					m.Restore(record, s.epoch.Token, now)
				} else {
					found[name] = fleet.FromRecord(name, record, s.epoch.Token, now)
				}
				if p != nil {
					on[name] = append(on[name], p)
					if len(on[name]) > 1 || fleet.IsJournal(p.key) {
						p.leftover[name] = record
					}
				}
			default:
				s.lendRecordLocked(fleet.FromRecord(name, record, s.epoch.Token, now), host, r.ended, gained)
			}
		}
	}
	for _, name := range adopt {
		if found[name] == nil && s.machines[name] == nil && !s.moving[name] && !s.isGoneLocked(name) {
			found[name] = fleet.NewMachine(name)
		}
	}
	for name, fm := range found {
		s.adoptMachineLocked(fm, on[name], r.ended, now)
	}
	return len(found)
}

// takeBucketLocked takes over a bucket whose owner's membership is over: the leader
// does, as it does with the machines. It returns nil for another's bucket, and
// for one that is this share's already: what that says of a machine that is
// only now taken is from before the machine was given away, idle.
func (s *Scheduler) takeBucketLocked(rp storedBucket) *bucket {
	if s.records.buckets[rp.key] != nil {
		return nil
	}
	node, since, ok := fleet.BucketOwner(rp.key)
	if s.epoch.Leader != s.opts.Node || ok && s.epoch.Members[node].Since == since {
		return nil
	}
	p := &bucket{key: rp.key, version: rp.version, size: rp.size, machines: map[string]bool{}, untidy: true, written: time.Now(), leftover: map[string]fleet.Record{}}
	s.records.buckets[p.key] = p
	return p
}

// lendRecordLocked takes in what another's machine may hold of own jobs.
func (s *Scheduler) lendRecordLocked(fm *fleet.Machine, host string, ended map[string]job.Outcome, gained map[string]bool) {
	for _, a := range fm.Attempts.All() {
		if f, over := ended[a.Job]; over && s.epoch.OwnerOf(f.Team, a.Job) == s.opts.Node {
			a.Team, a.Size, a.Sized = f.Team, sizeOf(f), true
			s.trackRemoteLocked(a, host, fm.Zone)
		} else if js := s.jobs[a.Job]; js != nil && gained[a.Job] {
			s.describe(a, &js.Record.Job, js.EffectivePriority)
			s.trackRemoteLocked(a, host, fm.Zone)
		}
	}
}

// adoptMachineLocked takes a machine with what the records say may be on it.
// on are the buckets that hold those: the first is its own from now on.
func (s *Scheduler) adoptMachineLocked(fm *fleet.Machine, on []*bucket, ended map[string]job.Outcome, now time.Time) {
	answered := s.answeredEarly[fm.Name]
	m := s.addMachineLocked(fm, now)
	m.LastReply = answered
	if len(on) > 0 && !fleet.IsJournal(on[0].key) {
		m.bucket, on = on[0], on[1:]
		m.bucket.machines[m.Name] = true
	}
	s.records.scatter(m, on...)
	over := map[string]job.Outcome{}
	for _, a := range m.Attempts.All() {
		if f, ok := ended[a.Job]; ok {
			over[a.Job] = f
			continue
		}
		s.adoptLocked(m, a)
	}
	for id, f := range over {
		s.endTasksOnLocked(m, id, f, now.Add(2*s.opts.Settings.ReportEvery))
	}
	s.syncLocked(m)
}
