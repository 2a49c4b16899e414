package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"heronwick/internal/cluster"
	"heronwick/internal/fleet"
	"heronwick/internal/job"
	"heronwick/internal/state"
	"heronwick/wire"
)

// division is who owns which jobs and machines, as this share goes by it. All
// that it writes is fenced by condition, so that nothing decided under one
// division is recorded under another.
type division struct {
	cluster.Epoch
	condition wire.Condition
	// since is the condition, and from the token, when this division began; the
	// token may have been raised since, which divides nothing.
	since wire.Condition
	from  uint64
	at    time.Time // when the token last rose
}

// same tells whether two epochs divide alike.
func same(a, b *cluster.Epoch) bool {
	return a.Leader == b.Leader && a.Incarnation == b.Incarnation && maps.Equal(a.Members, b.Members) && maps.Equal(a.Teams, b.Teams)
}

func (s *Share) mineLocked(j *wire.Job) bool {
	return s.div.OwnerOf(j.Team, j.ID) == s.opts.Node
}

func (s *Share) leadsLocked() bool { return s.loaded && s.div.Leader == s.opts.Node }

// divideLocked follows the epoch and the owners of machines: what is ours now
// is rebuilt, what is no longer ours is let go.
func (s *Share) divideLocked() {
	if s.building {
		return
	}
	epoch, condition := s.opts.Authority.Division()
	mine, orphans, fresh := s.opts.Authority.Owners()
	if !fresh {
		return // an owner's write of the epoch before may be missing; the watch brings it
	}
	if s.loaded && epoch.Token != s.div.Token && same(&epoch, &s.div.Epoch) {
		// Only the token has risen.
		if s.adopted == s.div.Token {
			s.adopted = epoch.Token
		}
		s.div.Epoch, s.div.condition, s.div.at = epoch, condition, time.Now()
	}
	var adopt []string // machines that are ours, of whose tasks only the records tell
	for name, o := range mine {
		switch {
		case s.machines[name] != nil || s.moving[name] || !s.returned[name].IsZero():
		case o.Machine == nil || !s.loaded || o.Version <= s.begun:
			adopt = append(adopt, name) // it may have had tasks since that was written
		default:
			s.takeLocked(name, o)
		}
	}
	if epoch.Leader == s.opts.Node {
		for _, name := range orphans {
			if s.machines[name] == nil && !s.moving[name] && s.returned[name].IsZero() {
				adopt = append(adopt, name)
			}
		}
	}
	var gained []*job.Record
	for _, r := range s.opts.Jobs.AllActive() {
		if epoch.OwnerOf(r.Job.Team, r.Job.ID) == s.opts.Node && s.jobs[r.Job.ID] == nil {
			gained = append(gained, r)
		}
	}
	if s.loaded && epoch.Token == s.div.Token && len(adopt) == 0 && len(gained) == 0 && s.adopted == epoch.Token {
		return
	}
	s.building = true
	s.goDo(func(ctx context.Context) { s.rebuild(ctx, epoch, condition, gained, adopt) })
}

// takeLocked takes a machine that another share has given: nothing is on it.
func (s *Share) takeLocked(name string, o cluster.Owner) {
	now := time.Now()
	m, err := fleet.FromRecord(name, o.Machine, s.div.Token, now)
	if err != nil {
		s.log.Error("a given machine is unreadable", "machine", name, "err", err)
		return
	}
	t := s.addMachineLocked(m, now)
	// Its owner before answered its worker for the last time before it gave
	// the machine, and under this token or an older one.
	t.base, t.fence, t.LastAnswer = 0, 0, now
	s.log.Info("machine taken", "machine", name)
	s.syncLocked(t)
}

// rebuild makes the share fit a new division: it lets go of jobs that are no
// longer its own, takes machines without an owner, and reads from the records
// what may be where, before anything of that is placed.
func (s *Share) rebuild(ctx context.Context, epoch cluster.Epoch, condition wire.Condition, gained []*job.Record, adopt []string) {
	s.mu.Lock()
	first := !s.loaded
	// A new leader also has what the one before had without writing it.
	leads := epoch.Leader == s.opts.Node && s.div.Leader != s.opts.Node
	s.disownLocked(&epoch)
	s.mu.Unlock()

	var r records
	var err error
	if first || leads || len(adopt) > 0 || len(gained) > 0 {
		r, err = s.readRecords(ctx)
	}

	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.poke()
	s.building = false
	if now, _ := s.opts.Authority.Division(); err != nil || ctx.Err() != nil || now.Token != epoch.Token {
		// The next division starts over: what was read may be outdated.
		if err != nil {
			s.log.Info("rebuilding the share failed, trying again", "err", err)
		}
		return
	}
	s.disownLocked(&epoch) // what came meanwhile by the old division
	s.takeDivisionLocked(epoch, condition)
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
		if set := r.done[id]; set != nil {
			js.done, js.versions = set, r.versions[id]
		}
	}
	adopted := s.placeRecordsLocked(r, adopt, isGained, now)
	s.adopted = epoch.Token
	if first || len(gained)+adopted > 0 {
		s.log.Info("share rebuilt", "token", epoch.Token, "jobs", len(s.jobs), "gained", len(isGained), "machines", len(s.machines),
			"adopted", adopted, "lent", len(s.foreign))
	}
	s.loaded = true
	if s.div.Leader == s.opts.Node {
		for id, v := range r.versions {
			if s.opts.Jobs.Active(id) == nil {
				s.goDo(func(ctx context.Context) { s.dropDone(ctx, id, v) })
			}
		}
	}
	for _, js := range s.jobs {
		s.flushLocked(js)
	}
}

func (s *Share) takeDivisionLocked(epoch cluster.Epoch, condition wire.Condition) {
	if !s.loaded || !same(&epoch, &s.div.Epoch) {
		s.div.since, s.div.from = condition, epoch.Token
	}
	s.div.Epoch, s.div.condition, s.div.at = epoch, condition, time.Now()
}

// disownLocked lets go of jobs that now belong to others. Their tasks on the
// share's machines are guests from now on; what is not recorded yet never
// starts.
func (s *Share) disownLocked(epoch *cluster.Epoch) {
	for id, js := range s.jobs {
		if epoch.OwnerOf(js.rec.Job.Team, id) == s.opts.Node {
			continue
		}
		delete(s.jobs, id)
		for _, attempts := range js.awaiting {
			for _, a := range attempts {
				a.Guest = true // its new owner asks for it
			}
		}
		for _, m := range s.machines {
			for _, a := range m.Attempts {
				if a.Job == id {
					a.Guest, a.Epoch = true, 0
					s.uncountLocked(a)
				}
			}
		}
		for _, f := range s.foreign {
			if f.Job == id {
				s.forgetLentLocked(f)
			}
		}
	}
}

// dropStaleGuestsLocked removes guests that were not recorded under the
// division in which their owner asked: it finds that they are not here.
func (s *Share) dropStaleGuestsLocked(m *machine) {
	for key, a := range m.Attempts {
		if a.Guest && !a.Durable && a.Epoch < s.div.from {
			delete(m.Attempts, key)
		}
	}
	s.closeIfEmptyLocked(m)
}

// writeOwner makes node the owner of a machine. about is what node is to know
// of it; without it node goes by the records. A record of the version given
// is removed with it.
func (s *Share) writeOwner(ctx context.Context, machine, node string, about json.RawMessage, record uint64) error {
	_, fence := s.opts.Authority.Division()
	condition, change, ok := s.opts.Authority.OwnerWrite(machine, node, about)
	if !ok {
		return fmt.Errorf("%s is no member", node)
	}
	w := state.Write{Priority: state.Safety, If: []wire.Condition{fence, condition}, Then: []wire.Change{change}, Persist: true}
	if record > 0 {
		key := fleet.RecordKey(machine)
		w.If, w.Then = append(w.If, wire.Condition{Key: key, Version: record}), append(w.Then, wire.Change{Delete: key})
	}
	version, err := s.opts.Committer.Commit(ctx, w)
	if err != nil {
		s.log.Info("changing a machine's owner failed", "machine", machine, "to", node, "err", err)
		return err
	}
	s.opts.Authority.NoteOwner(change, version)
	return nil
}

// records is what the store holds of machines and done tasks.
type records struct {
	machines []wire.Item
	done     map[string]*job.DoneSet
	versions map[string]job.DoneVersions
	ended    map[string]job.Final // jobs named on machines that are over
}

func (s *Share) readRecords(ctx context.Context) (r records, err error) {
	if r.machines, _, err = s.opts.Records.List(ctx, state.Urgent, fleet.RecordPrefix); err != nil {
		return r, err
	}
	if r.done, r.versions, err = s.opts.Jobs.ReadDone(ctx); err != nil {
		return r, err
	}
	r.ended = map[string]job.Final{}
	for _, item := range r.machines {
		m, err := fleet.FromRecord(item.Key, item.Value, 1, time.Now())
		if err != nil {
			return r, err
		}
		for _, a := range m.Attempts {
			if _, known := r.ended[a.Job]; known || s.opts.Jobs.Active(a.Job) != nil {
				continue
			}
			f, over, _, err := s.opts.Jobs.Resolve(ctx, a.Job)
			if err != nil {
				return r, err
			}
			if over {
				r.ended[a.Job] = f
			}
		}
	}
	return r, nil
}

// placeRecordsLocked takes from the records what may be on machines: on those
// that are adopted, and on others' as far as own jobs are concerned. It
// returns how many machines were adopted.
func (s *Share) placeRecordsLocked(r records, adopt []string, gained map[string]bool, now time.Time) int {
	// Guests here whose jobs have become ours.
	for _, m := range s.machines {
		for _, a := range m.Attempts {
			if gained[a.Job] {
				s.adoptLocked(m, a)
				if a.Exited() && !a.Handled {
					s.exitedLocked(m, a)
				}
			}
		}
	}
	adopted := 0
	for _, item := range r.machines {
		name := item.Key[len(fleet.RecordPrefix):]
		fm, err := fleet.FromRecord(name, item.Value, s.div.Token, now)
		if err != nil {
			continue // readRecords has read it
		}
		host := s.opts.Authority.HostOf(name)
		switch {
		case s.machines[name] != nil || s.moving[name] || !s.returned[name].IsZero():
		case host == s.opts.Node:
			adopted++
			s.adoptMachineLocked(fm, item.Version, r.ended, now)
		default:
			for _, a := range fm.Attempts {
				if f, over := r.ended[a.Job]; over && s.div.OwnerOf(f.Team, a.Job) == s.opts.Node {
					a.Team, a.Size, a.Sized = f.Team, sizeOf(f), true
					s.lendTrackLocked(a, host, fm.Zone)
				} else if js := s.jobs[a.Job]; js != nil && gained[a.Job] {
					s.describe(a, &js.rec.Job)
					s.lendTrackLocked(a, host, fm.Zone)
				}
			}
		}
	}
	for _, name := range adopt {
		if s.machines[name] == nil && !s.moving[name] && s.returned[name].IsZero() {
			adopted++
			s.adoptMachineLocked(fleet.NewMachine(name), 0, nil, now)
		}
	}
	return adopted
}

func (s *Share) adoptMachineLocked(fm *fleet.Machine, version uint64, ended map[string]job.Final, now time.Time) {
	answered := s.early[fm.Name]
	m := s.addMachineLocked(fm, now)
	m.version, m.LastAnswer = version, answered
	over := map[string]job.Final{}
	for _, a := range m.Attempts {
		if f, ok := ended[a.Job]; ok {
			over[a.Job] = f
			continue
		}
		s.adoptLocked(m, a)
	}
	for id, f := range over {
		s.endTasksLocked(id, f, now.Add(2*s.opts.Settings.ReportEvery))
	}
	s.syncLocked(m)
}

// joinLocked decides about a worker whose machine this share does not have:
// one just given to it, or one that nobody owns. coming tells that its machine
// is this share's and will be taken once the records are read.
func (s *Share) joinLocked(r *wire.Report, now time.Time) (m *machine, coming bool) {
	if _, gone := s.returned[r.Machine]; gone {
		return nil, false // sent before its machine was returned
	}
	node, owned := s.opts.Authority.Home(r.Machine)
	if node != s.opts.Node || s.moving[r.Machine] {
		return nil, false
	}
	_, orphans, fresh := s.opts.Authority.Owners()
	if owned || !fresh || !s.loaded || s.adopted != s.opts.Authority.Token() || slices.Contains(orphans, r.Machine) {
		// Given a moment ago, or perhaps one with tasks whose owner has gone.
		s.poke()
		return nil, true
	}
	// A machine that the records do not name never had anything placed on it.
	s.log.Info("machine joins", "machine", r.Machine, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "session", r.Session)
	return s.addMachineLocked(fleet.NewMachine(r.Machine), now), false
}

// giveableLocked tells whether a machine can change to another share: idle,
// and nothing that this share has sent can still come to it.
func (s *Share) giveableLocked(m *machine, now time.Time) bool {
	return s.usableLocked(m, now) && m.Quiet() && !m.dirty && !m.committing && !m.sending && !m.probing
}

// giveLocked gives an idle machine to another share. This share answers its
// worker no more before the write goes out.
func (s *Share) giveLocked(m *machine, node string) {
	about, err := json.Marshal(m.Record(""))
	if err != nil {
		s.log.Error("encoding a machine", "machine", m.Name, "err", err)
		return
	}
	s.list.Close(m.Name)
	delete(s.machines, m.Name)
	s.moving[m.Name] = true
	record := m.version
	s.log.Info("giving machine", "machine", m.Name, "to", node)
	s.goDo(func(ctx context.Context) {
		err := s.writeOwner(ctx, m.Name, node, about, record)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.moving, m.Name)
		var conflict *state.Conflict
		if errors.As(err, &conflict) || err != nil && ctx.Err() == nil {
			if s.opts.Authority.HostOf(m.Name) == s.opts.Node && s.machines[m.Name] == nil {
				s.machines[m.Name] = m // not carried out: it is still ours
			}
		}
		s.poke()
	})
}

// regroupEvery is how often idle machines are regrouped among the shares.
const regroupEvery = 30 * time.Second

// regroupLocked gives idle machines that are more than a share needs at hand
// back to the leader, and lets the leader hand them to shares without one. A
// share that starves gets them at once, see Place.
func (s *Share) regroupLocked(now time.Time) {
	if !s.loaded || !s.opts.Authority.Permitted() || now.Sub(s.grouped) < regroupEvery {
		return
	}
	s.grouped = now
	for name, at := range s.returned {
		if now.Sub(at) > 10*time.Minute {
			delete(s.returned, name)
		}
	}
	var idle []*machine
	for _, m := range s.machines {
		if s.giveableLocked(m, now) {
			idle = append(idle, m)
		}
	}
	for _, js := range s.jobs {
		if js.rec.Job.Kind == wire.KindGang && !js.waiting.IsZero() {
			return // it gathers machines
		}
	}
	if len(idle) <= 1 {
		return
	}
	slices.SortFunc(idle, func(a, b *machine) int { return a.idleSince.Compare(b.idleSince) })
	if s.div.Leader != s.opts.Node {
		for _, m := range idle[1:] {
			s.giveLocked(m, s.div.Leader)
		}
		return
	}
	for node := range s.div.Members {
		if node != s.opts.Node && s.opts.Authority.Idle(node) == 0 && len(idle) > 1 && s.hasTeam(node) {
			s.giveLocked(idle[0], node)
			idle = idle[1:]
		}
	}
}

// hasTeam tells whether the member has jobs to place.
func (s *Share) hasTeam(node string) bool {
	for _, r := range s.opts.Jobs.AllActive() {
		if s.div.OwnerOf(r.Job.Team, r.Job.ID) == node {
			return true
		}
	}
	return false
}
