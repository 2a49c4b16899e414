package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"heronwick/internal/fleet"
	"heronwick/internal/job"
	"heronwick/internal/state"
	"heronwick/wire"
)

// donePage is one key of the store with done tasks of many jobs. Until they are
// written, the workers keep the results; so a page is written at leisure.
type donePage struct {
	key        string
	version    uint64
	jobs       map[string]map[int][]byte // by job and chunk, what it holds or is about to
	size       int                       // bytes that its entries can come to
	committing bool
	// heirs are the pages that together hold what this one does, which is larger
	// than values may be: once all are written it is removed.
	heirs []*donePage
}

// Done tasks are written often enough that a lost machine takes few results with
// it, and seldom enough that the ends of many tasks are one change: every
// leastFlushEvery where the state service allows flushWriteRPS changes a second,
// less often where it allows fewer, but at least every mostFlushEvery.
const (
	leastFlushEvery = 2 * time.Second
	mostFlushEvery  = 6 * time.Second
	flushWriteRPS   = 60
)

// flushPriority is that of writing done tasks. They are few changes for many tasks,
// and a takeover runs again what they do not name: as what nobody waits for, behind
// submissions in a burst, they were a minute late.
const flushPriority = state.Safety

// flushEvery is how often done tasks are written.
func (s *Share) flushEvery() time.Duration {
	slower := flushWriteRPS / max(s.opts.Settings.StateWriteRPS, 1)
	return min(max(leastFlushEvery, time.Duration(slower*float64(leastFlushEvery))), mostFlushEvery)
}

// donePageLocked returns a page with room for an entry of the size.
func (s *Share) donePageLocked(size int) *donePage {
	for _, page := range s.donePages {
		if page.heirs == nil && page.size+size <= s.donePageLimit() {
			return page
		}
	}
	return s.newDonePageLocked()
}

// donePageLimit is how many bytes the entries of a page of done tasks may come
// to, unless there is only one.
func (s *Share) donePageLimit() int { return s.valueLimit() * 3 / 4 }

func (s *Share) newDonePageLocked() *donePage {
	s.donePagesNamed++
	page := &donePage{key: job.DoneKey(s.opts.Node, s.div.Members[s.opts.Node].Since, s.donePagesNamed), jobs: map[string]map[int][]byte{}}
	s.donePages[page.key] = page
	return page
}

func (page *donePage) put(id string, chunk int, bits []byte) {
	if page.jobs[id] == nil {
		page.jobs[id] = map[int][]byte{}
	}
	page.jobs[id][chunk] = bits
}

// forgetDoneLocked forgets the done tasks of a job that is over. The keys are
// rewritten when there is something else to write, or removed once empty.
func (s *Share) forgetDoneLocked(id string) {
	for _, page := range s.donePages {
		if _, ok := page.jobs[id]; !ok {
			continue
		}
		delete(page.jobs, id)
		if len(page.jobs) == 0 {
			page.size = 0
		}
	}
}

// takeDonePageLocked takes over what an owner that has gone left, for the jobs
// that are still active.
func (s *Share) takeDonePageLocked(written *job.DonePage) {
	if s.donePages[written.Key] != nil {
		return
	}
	page := &donePage{key: written.Key, version: written.Version, jobs: map[string]map[int][]byte{}}
	s.donePages[page.key] = page
	tasks := map[string]int{}
	entries := 0
	for id, chunks := range written.Jobs {
		r := s.opts.Jobs.Active(id)
		if r == nil {
			continue
		}
		tasks[id] = r.Job.Tasks
		for chunk, bits := range chunks {
			page.put(id, chunk, bits)
			page.size += job.EntrySize(r.Job.Tasks, chunk)
			entries++
		}
	}
	holders := []*donePage{page}
	if page.size > s.donePageLimit() && entries > 1 {
		holders = s.splitDonePageLocked(page, tasks)
	}
	for _, holder := range holders {
		for id, chunks := range holder.jobs {
			js := s.jobs[id]
			for chunk := range chunks {
				if js != nil && js.donePages[chunk] == nil {
					js.donePages[chunk] = holder
				}
			}
		}
	}
}

// splitDonePageLocked copies what a page holds that is larger than values may be
// to new ones and returns those; tasks is how many tasks each job has. Done tasks
// only ever become more, so reading both does no harm.
func (s *Share) splitDonePageLocked(page *donePage, tasks map[string]int) (heirs []*donePage) {
	var heir *donePage
	for id, chunks := range page.jobs {
		for chunk, bits := range chunks {
			size := job.EntrySize(tasks[id], chunk)
			if heir == nil || heir.size+size > s.donePageLimit() {
				heir = s.newDonePageLocked()
				heirs = append(heirs, heir)
			}
			heir.put(id, chunk, bits)
			heir.size += size
		}
	}
	page.heirs = heirs
	return heirs
}

// retireDonePagesLocked empties pages whose heirs hold all that they did.
func (s *Share) retireDonePagesLocked() {
	for _, page := range s.donePages {
		if page.heirs == nil {
			continue
		}
		page.heirs = slices.DeleteFunc(page.heirs, func(heir *donePage) bool {
			return heir.version > 0 || s.donePages[heir.key] != heir // written, or of jobs that are over
		})
		if len(page.heirs) == 0 {
			clear(page.jobs)
		}
	}
}

// donePageWrite is one write of a page.
type donePageWrite struct {
	page    *donePage
	write   state.Write
	entries []donePageEntry
}

type donePageEntry struct {
	js       *jobState
	chunk    int
	attempts []*fleet.Attempt // that wait for it
}

// flushLocked writes the done tasks of jobs that go on.
func (s *Share) flushLocked(now time.Time) {
	if !s.loaded || !s.currentLocked() || now.Sub(s.flushed) < s.flushEvery() {
		return
	}
	s.flushed = now
	due := map[*donePage]*donePageWrite{}
	for id, js := range s.jobs {
		if js.finishing {
			continue
		}
		for chunk := range js.dirty {
			page := js.donePages[chunk]
			if page == nil || s.donePages[page.key] != page {
				size := job.EntrySize(js.rec.Job.Tasks, chunk)
				page = s.donePageLocked(size)
				page.size += size
				js.donePages[chunk] = page
			}
			if page.committing {
				continue
			}
			page.put(id, chunk, js.done.Chunk(chunk))
			if due[page] == nil {
				due[page] = &donePageWrite{page: page}
			}
			due[page].entries = append(due[page].entries, donePageEntry{js: js, chunk: chunk, attempts: js.awaiting[chunk]})
			delete(js.awaiting, chunk)
			delete(js.dirty, chunk)
		}
	}
	s.retireDonePagesLocked()
	for key, page := range s.donePages {
		if page.committing {
			continue
		}
		if len(page.jobs) > 0 {
			if page.version == 0 && due[page] == nil { // an heir
				due[page] = &donePageWrite{page: page}
			}
			continue
		}
		delete(s.donePages, key)
		if page.version > 0 {
			due[page] = &donePageWrite{page: page}
		}
	}
	for page, dw := range due {
		change := wire.Change{Delete: page.key}
		if len(page.jobs) > 0 {
			value, err := json.Marshal(job.DonePage{Jobs: page.jobs, Write: s.markLocked()})
			if err != nil {
				s.log.Error("encoding done tasks", "key", page.key, "err", err)
			}
			change = wire.Change{Put: page.key, Value: value}
		}
		page.committing = true
		dw.write = s.fenceLocked().Bind(state.Write{Priority: flushPriority, Persist: true,
			If: []wire.Condition{{Key: page.key, Version: page.version}}, Then: []wire.Change{change}})
		s.goDo(func(ctx context.Context) { s.writeDonePage(ctx, dw) })
	}
}

func (s *Share) writeDonePage(ctx context.Context, dw *donePageWrite) {
	version, err := s.opts.Committer.Commit(ctx, dw.write)
	known := err == nil
	if err != nil {
		version, known = s.reread(ctx, flushPriority, dw.page.key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	dw.page.committing = false
	if known {
		dw.page.version = version
	}
	if err != nil {
		s.log.Debug("writing done tasks failed", "key", dw.page.key, "err", err)
		s.noteRejectedLocked(err)
	}
	for _, e := range dw.entries {
		if err != nil {
			e.js.awaiting[e.chunk] = append(e.js.awaiting[e.chunk], e.attempts...)
			e.js.dirty[e.chunk] = true
			continue
		}
		for _, a := range e.attempts {
			a.Handled = true
		}
	}
}

// finishLocked writes a job's end once all its tasks are done.
func (s *Share) finishLocked(js *jobState) {
	if js.finishing || js.service() || js.done.Count < js.rec.Job.Tasks {
		return
	}
	js.finishing = true
	s.goDo(func(ctx context.Context) {
		for s.finish(ctx, js) {
		}
	})
}

// finish returns false when nothing is left to do.
func (s *Share) finish(ctx context.Context, js *jobState) bool {
	s.mu.Lock()
	id, fence := js.rec.Job.ID, s.fenceLocked()
	mine := s.jobs[id] == js && ctx.Err() == nil
	s.mu.Unlock()
	if !mine {
		return false
	}
	err := s.opts.Jobs.Finish(ctx, js.rec, fence)
	var conflict *state.Conflict
	if errors.As(err, &conflict) && conflict.Has(js.rec.Condition().Key) {
		s.log.Debug("writing the end of a job failed", "job", id, "err", err)
		s.mu.Lock()
		s.resolveLocked(id)
		s.mu.Unlock()
	}
	return err != nil && pause(ctx, 300*time.Millisecond)
}
