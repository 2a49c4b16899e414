package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

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
		switch {
		case epoch.OwnerOf(r.Job.Team, r.Job.ID) != s.opts.Node || s.jobs[r.Job.ID] != nil:
		case epoch.Token == s.div.Token && s.acceptedHereLocked(r):
			s.addJobLocked(r) // that it was added is about to be told
		default:
			gained = append(gained, r)
		}
	}
	if s.loaded && epoch.Token == s.div.Token && len(adopt) == 0 && len(gained) == 0 && s.adopted == epoch.Token {
		return
	}
	s.building = true
	s.goDo(func(ctx context.Context) { s.rebuild(ctx, epoch, condition, gained, adopt) })
}

// acceptedHereLocked tells whether a job of the share was accepted under the
// division that the share goes by: nobody else can have placed tasks of it, so
// the records need not be read for it.
func (s *Share) acceptedHereLocked(r *job.Record) bool {
	return s.loaded && r.Version > s.div.since.Version
}

// takeLocked takes a machine that another share has given: nothing is on it,
// and it can be used at once by what its owner before knew of it.
func (s *Share) takeLocked(name string, o cluster.Owner) {
	now := time.Now()
	var r fleet.Record
	if err := json.Unmarshal(o.Machine, &r); err != nil {
		s.log.Error("a given machine is unreadable", "machine", name, "err", err)
		return
	}
	t := s.addMachineLocked(fleet.FromRecord(name, r, s.div.Token, now), now)
	// Its owner before answered its worker for the last time before it gave
	// the machine, and under this token or an older one.
	t.base, t.fence, t.LastAnswer, t.Reported = 0, 0, now, true
}

// rebuild makes the share fit a new division: it lets go of jobs that are no
// longer its own, takes machines without an owner, and reads from the records
// what may be where, before anything of that is placed.
func (s *Share) rebuild(ctx context.Context, epoch cluster.Epoch, condition wire.Condition, gained []*job.Record, adopt []string) {
	s.mu.Lock()
	first := !s.loaded
	// A new leader also has what the one before had without writing it.
	leads := s.beginsToLeadLocked(&epoch)
	s.disownLocked(&epoch)
	s.mu.Unlock()

	var r records
	var err error
	if first || leads || len(adopt) > 0 || len(gained) > 0 || s.gainsLimit(&epoch) {
		r, err = s.readRecords(ctx)
	}

	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.redivide()
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
		for i := range r.done {
			for chunk, bits := range r.done[i].Jobs[id] {
				js.done.AddChunk(chunk, bits)
			}
		}
	}
	s.countOverLocked()
	adopted := s.placeRecordsLocked(r, adopt, isGained, now)
	s.adopted = epoch.Token
	if first || len(gained)+adopted > 0 {
		s.log.Info("share rebuilt", "token", epoch.Token, "jobs", len(s.jobs), "gained", len(isGained), "machines", len(s.machines),
			"adopted", adopted, "lent", len(s.foreign))
	}
	s.loaded = true
	if s.div.Leader == s.opts.Node {
		for i := range r.done {
			if node, since, ok := job.DoneOwner(r.done[i].Key); !ok || s.div.Members[node].Since != since {
				s.takeDonePageLocked(&r.done[i])
			}
		}
	}
	for _, js := range s.jobs {
		s.finishLocked(js)
	}
}

// gainsLimit tells whether a team whose limit this share now keeps was
// another's: what may still run of it, also of jobs that are over, counts.
func (s *Share) gainsLimit(epoch *cluster.Epoch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, t := range s.teams {
		if (t.CPUsMax > 0 || t.GPUsMax > 0) && epoch.Teams[name] == s.opts.Node && s.div.Teams[name] != s.opts.Node {
			return true
		}
	}
	return false
}

// countOverLocked counts what may still run on the share's machines of jobs that
// are over, of teams that are now its own. Nobody accepts, gains or places such
// a job, but its tasks use up the team's limit until they are surely gone.
func (s *Share) countOverLocked() {
	for _, m := range s.machines {
		for _, a := range m.Attempts.All() {
			if !a.Counted && a.Sized && !a.Exited() && s.jobs[a.Job] == nil && s.opts.Jobs.Active(a.Job) == nil &&
				s.div.OwnerOf(a.Team, a.Job) == s.opts.Node {
				a.Guest = false
				s.countLocked(m.Zone, a)
			}
		}
	}
}

// beginsToLeadLocked tells whether this controller leads the epoch, and did not
// lead by the division before.
func (s *Share) beginsToLeadLocked(epoch *cluster.Epoch) bool {
	return epoch.Leader == s.opts.Node && s.div.Leader != s.opts.Node
}

func (s *Share) takeDivisionLocked(epoch cluster.Epoch, condition wire.Condition) {
	if s.beginsToLeadLocked(&epoch) {
		s.ledSince = time.Now()
	}
	if !s.loaded || !same(&epoch, &s.div.Epoch) {
		s.div.since, s.div.from = condition, epoch.Token
	}
	s.div.Epoch, s.div.condition, s.div.at = epoch, condition, time.Now()
}

// disownLocked lets go of jobs that now belong to others. Their tasks on the
// share's machines are guests from now on; what is not recorded yet never
// starts.
func (s *Share) disownLocked(epoch *cluster.Epoch) {
	lost := map[string]bool{}
	for id, js := range s.jobs {
		if epoch.OwnerOf(js.rec.Job.Team, id) == s.opts.Node {
			continue
		}
		lost[id] = true
		delete(s.jobs, id)
		for _, attempts := range js.awaiting {
			for _, a := range attempts {
				a.Guest = true // its new owner asks for it
			}
		}
	}
	if len(lost) == 0 {
		return
	}
	for _, m := range s.machines {
		for _, a := range m.Attempts.All() {
			if lost[a.Job] {
				a.Guest, a.Epoch = true, 0
				s.uncountLocked(a)
			}
		}
	}
	for _, f := range s.foreign {
		if lost[f.Job] {
			s.forgetLentLocked(f)
		}
	}
}

// dropStaleGuestsLocked removes guests that were not recorded under the
// division in which their owner asked: it finds that they are not here.
func (s *Share) dropStaleGuestsLocked(m *machine) {
	for _, a := range m.Attempts.All() {
		if a.Guest && !a.Durable && a.Epoch < s.div.from {
			m.Attempts.Delete(a.Key)
		}
	}
	s.closeIfEmptyLocked(m)
}

// transfer makes node the owner of machines, or, with no node, tells that they
// are gone for good.
func (s *Share) transfer(ctx context.Context, node string, machines map[string]json.RawMessage, priority state.Priority) error {
	s.mu.Lock()
	fence := s.fenceLocked()
	s.mu.Unlock()
	condition, change, ok := s.opts.Authority.TransferWrite(node, machines)
	if !ok {
		return fmt.Errorf("%s is no member", node)
	}
	version, err := s.opts.Committer.Commit(ctx, fence.Bind(state.Write{Priority: priority, If: []wire.Condition{condition},
		Then: []wire.Change{change}, Persist: true}))
	if err != nil {
		return err
	}
	s.opts.Authority.NoteOwner(change, version)
	return nil
}

// records is what the store holds of machines and done tasks.
type records struct {
	pages []recordPage
	done  []job.DonePage
	ended map[string]job.Final // jobs named on machines that are over
}

// recordPage is a key with machines' records, as read.
type recordPage struct {
	fleet.Page
	key     string
	version uint64
	size    int
}

// resolvers is how many jobs are looked up at once.
const resolvers = 8

func (s *Share) readRecords(ctx context.Context) (r records, err error) {
	items, _, err := s.opts.Records.List(ctx, state.Urgent, fleet.RecordPrefix)
	if err != nil {
		return r, err
	}
	newest := map[string]uint64{}
	for _, item := range items {
		page, err := fleet.ReadPage(item.Key, item.Value)
		if err != nil {
			return r, err
		}
		r.pages = append(r.pages, recordPage{Page: page, key: item.Key, version: item.Version, size: len(item.Value)})
		for _, record := range page.Machines {
			for task, attempt := range record.Attempts {
				newest[task] = max(newest[task], attempt)
			}
		}
	}
	if r.done, err = s.opts.Jobs.ReadDone(ctx); err != nil {
		return r, err
	}
	r.ended = map[string]job.Final{}
	unknown := map[string]bool{}
	for _, page := range r.pages {
		for _, record := range page.Machines {
			for task, attempt := range record.Attempts {
				// A newer attempt was recorded, which is done only once the
				// older one has surely gone. A page that was not written
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
func (s *Share) placeRecordsLocked(r records, adopt []string, gained map[string]bool, now time.Time) int {
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
	on := map[string][]*page{}
	for _, rp := range r.pages {
		p := s.takePageLocked(rp)
		for name, record := range rp.Machines {
			// By this division, also while the next one begins: a machine that is
			// ours only by that one, without the page that holds its record, had
			// that record removed as nobody's (ran_twice).
			host := s.opts.Authority.HostOf(&s.div.Epoch, name)
			switch {
			case s.machines[name] != nil || s.isGoneLocked(name):
			case host == s.opts.Node && s.moving[name]:
			case host == s.opts.Node:
				if m := found[name]; m != nil {
					m.Recover(record, s.div.Token, now)
				} else {
					found[name] = fleet.FromRecord(name, record, s.div.Token, now)
				}
				if p != nil {
					on[name] = append(on[name], p)
					if len(on[name]) > 1 || fleet.IsJournal(p.key) {
						p.leftover[name] = record
					}
				}
			default:
				s.lendRecordLocked(fleet.FromRecord(name, record, s.div.Token, now), host, r.ended, gained)
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

// takePageLocked takes over a page whose owner's membership is over: the leader
// does, as it does with the machines. It returns nil for another's page, and
// for one that is this share's already: what that says of a machine that is
// only now taken is from before the machine was given away, idle.
func (s *Share) takePageLocked(rp recordPage) *page {
	if s.records.pages[rp.key] != nil {
		return nil
	}
	node, since, ok := fleet.PageOwner(rp.key)
	if s.div.Leader != s.opts.Node || ok && s.div.Members[node].Since == since {
		return nil
	}
	p := &page{key: rp.key, version: rp.version, size: rp.size, machines: map[string]bool{}, untidy: true, written: time.Now(), leftover: map[string]fleet.Record{}}
	s.records.pages[p.key] = p
	return p
}

// lendRecordLocked takes in what another's machine may hold of own jobs.
func (s *Share) lendRecordLocked(fm *fleet.Machine, host string, ended map[string]job.Final, gained map[string]bool) {
	for _, a := range fm.Attempts.All() {
		if f, over := ended[a.Job]; over && s.div.OwnerOf(f.Team, a.Job) == s.opts.Node {
			a.Team, a.Size, a.Sized = f.Team, sizeOf(f), true
			s.lendTrackLocked(a, host, fm.Zone)
		} else if js := s.jobs[a.Job]; js != nil && gained[a.Job] {
			s.describe(a, &js.rec.Job, js.rank)
			s.lendTrackLocked(a, host, fm.Zone)
		}
	}
}

// isGoneLocked tells whether a machine was surely given back to the cloud, by
// this share or by another.
func (s *Share) isGoneLocked(name string) bool {
	if !s.returned[name].IsZero() {
		return true
	}
	o, _ := s.opts.Authority.OwnerOf(name)
	return o.Gone()
}

// adoptMachineLocked takes a machine with what the records say may be on it.
// on are the pages that hold those: the first is its own from now on.
func (s *Share) adoptMachineLocked(fm *fleet.Machine, on []*page, ended map[string]job.Final, now time.Time) {
	answered := s.answeredEarly[fm.Name]
	m := s.addMachineLocked(fm, now)
	m.LastAnswer = answered
	if len(on) > 0 && !fleet.IsJournal(on[0].key) {
		m.page, on = on[0], on[1:]
		m.page.machines[m.Name] = true
	}
	s.records.scatter(m, on...)
	over := map[string]job.Final{}
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

// joinLocked decides about a worker whose machine this share does not have:
// one just given to it, or one that nobody owns. coming tells that its machine
// is this share's and will be taken once the records are read.
func (s *Share) joinLocked(r *wire.Report, now time.Time) (m *machine, coming bool) {
	if s.isGoneLocked(r.Machine) {
		return nil, false // sent before its machine was returned
	}
	node, owned := s.opts.Authority.Home(r.Machine)
	if node != s.opts.Node || s.moving[r.Machine] {
		return nil, false
	}
	_, named := s.opts.Authority.OwnerOf(r.Machine)
	if owned || named || !s.opts.Authority.Fresh() || !s.loaded || s.adopted != s.opts.Authority.Token() {
		// Given a moment ago, or perhaps one with tasks whose owner has gone.
		s.redivide()
		return nil, true
	}
	// A machine that the records do not name never had anything placed on it.
	s.log.Info("machine joins", "machine", r.Machine, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "session", r.Session)
	return s.addMachineLocked(fleet.NewMachine(r.Machine), now), false
}

// giveableLocked tells whether a machine can change to another share: idle,
// and nothing that this share has sent can still come to it.
func (s *Share) giveableLocked(m *machine, now time.Time) bool {
	return s.usableLocked(m, now) && m.Quiet() && !m.dirty && !m.sending && !m.probing
}

// giveableMachinesLocked returns the machines that can change to another share,
// those idle for the longest first.
func (s *Share) giveableMachinesLocked(now time.Time) []*machine {
	var idle []*machine
	for _, m := range s.machines {
		if s.giveableLocked(m, now) {
			idle = append(idle, m)
		}
	}
	slices.SortFunc(idle, func(a, b *machine) int { return a.idleSince.Compare(b.idleSince) })
	return idle
}

// imagesPartOfTransfer is which part of a transfer's value the images of one
// machine may take.
const imagesPartOfTransfer = 16

// giveLocked gives idle machines to another share. This share answers their
// workers no more before the write goes out.
func (s *Share) giveLocked(machines []*machine, node string) {
	for len(machines) > 0 {
		batch, about, size := []*machine{}, map[string]json.RawMessage{}, 0
		for len(machines) > 0 {
			m := machines[0]
			handover := m.Handover()
			handover.KeepImages(s.valueLimit() / imagesPartOfTransfer)
			value, err := json.Marshal(handover)
			if err != nil {
				s.log.Error("encoding a machine", "machine", m.Name, "err", err)
				machines = machines[1:]
				continue
			}
			size += len(value) + len(m.Name) + 8
			if len(batch) > 0 && size > s.valueLimit() {
				break
			}
			machines = machines[1:]
			about[m.Name] = value
			batch = append(batch, m)
			s.list.Close(m)
			s.records.leave(m)
			delete(s.machines, m.Name)
			s.moving[m.Name] = true
		}
		if len(batch) == 0 {
			return
		}
		s.log.Info("giving machines", "to", node, "count", len(batch), "first", batch[0].Name)
		s.goDo(func(ctx context.Context) {
			err := s.transfer(ctx, node, about, state.Placement)
			if err != nil {
				s.log.Info("giving machines failed", "to", node, "err", err)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, m := range batch {
				delete(s.moving, m.Name)
				var conflict *state.Conflict
				if (errors.As(err, &conflict) || err != nil && ctx.Err() == nil) &&
					s.opts.Authority.HostOf(&s.div.Epoch, m.Name) == s.opts.Node && s.machines[m.Name] == nil {
					s.machines[m.Name] = m // not carried out: it is still ours
				}
			}
			s.redivide()
		})
	}
}

// regroupEvery is how often idle machines are regrouped among the shares.
const regroupEvery = 30 * time.Second

// regroupLocked gives idle machines that are more than a share needs at hand
// back to the leader, and lets the leader hand them to shares without one. A
// share that starves gets them at once, see Place.
func (s *Share) regroupLocked(now time.Time) {
	if !s.loaded || !s.permitted() || now.Sub(s.grouped) < regroupEvery {
		return
	}
	s.grouped = now
	for name, at := range s.returned {
		if now.Sub(at) > 10*time.Minute {
			delete(s.returned, name)
		}
	}
	for name, at := range s.unknownTasksSince {
		if now.Sub(at) > 10*time.Minute {
			delete(s.unknownTasksSince, name) // gone, or it would have been decided
		}
	}
	for _, js := range s.jobs {
		if js.rec.Job.Kind == wire.KindGang && !js.waiting.IsZero() {
			return // it gathers machines
		}
	}
	idle := s.giveableMachinesLocked(now)
	if len(idle) <= 1 {
		return
	}
	// So many stay at hand: what a share has in use tells what it will need.
	keep := max(1, (len(s.machines)-len(idle))/4)
	if len(idle) <= keep {
		return
	}
	if s.div.Leader != s.opts.Node {
		if !s.opts.Authority.Loads()[s.div.Leader].Overloaded {
			s.giveLocked(idle[keep:], s.div.Leader)
		}
		return
	}
	var poor []string
	for node := range s.div.Members {
		if node != s.opts.Node && s.opts.Authority.Idle(node) == 0 && s.hasTeam(node) {
			poor = append(poor, node)
		}
	}
	each := (len(idle) - keep) / (len(poor) + 1)
	if len(poor) == 0 || each == 0 {
		return
	}
	for i, node := range poor {
		s.giveLocked(idle[i*each:(i+1)*each], node)
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
