package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"heronwick/internal/fleet"
	"heronwick/internal/job"
	"heronwick/internal/state"
	"heronwick/wire"
)

// shelf is one key of the store with done tasks of many jobs. Until they are
// written, the workers keep the results; so a shelf is written at leisure.
type shelf struct {
	key        string
	version    uint64
	jobs       map[string]map[int][]byte // by job and chunk, what it holds or is about to
	size       int                       // bytes that its entries can come to
	committing bool
}

// flushEvery is how often done tasks are written: often enough that a lost
// machine takes few results with it, and seldom enough that the ends of many
// tasks are one change.
const flushEvery = 2 * time.Second

// shelfLocked returns a shelf with room for an entry of the size.
func (s *Share) shelfLocked(size int) *shelf {
	for _, sh := range s.shelves {
		if sh.size+size <= s.opts.Settings.ValueBytes*3/4 {
			return sh
		}
	}
	s.shelved++
	sh := &shelf{key: job.DoneKey(s.opts.Node, s.div.Members[s.opts.Node].Since, s.shelved), jobs: map[string]map[int][]byte{}}
	s.shelves[sh.key] = sh
	return sh
}

func (sh *shelf) put(id string, chunk int, bits []byte) {
	if sh.jobs[id] == nil {
		sh.jobs[id] = map[int][]byte{}
	}
	sh.jobs[id][chunk] = bits
}

// unshelveLocked forgets the done tasks of a job that is over. The keys are
// rewritten when there is something else to write, or removed once empty.
func (s *Share) unshelveLocked(id string) {
	for _, sh := range s.shelves {
		if _, ok := sh.jobs[id]; !ok {
			continue
		}
		delete(sh.jobs, id)
		if len(sh.jobs) == 0 {
			sh.size = 0
		}
	}
}

// takeShelfLocked takes over what an owner that has gone left, for the jobs
// that are still active.
func (s *Share) takeShelfLocked(page *job.DonePage) {
	if s.shelves[page.Key] != nil {
		return
	}
	sh := &shelf{key: page.Key, version: page.Version, jobs: map[string]map[int][]byte{}}
	s.shelves[sh.key] = sh
	for id, chunks := range page.Jobs {
		r := s.opts.Jobs.Active(id)
		if r == nil {
			continue
		}
		for chunk, bits := range chunks {
			sh.put(id, chunk, bits)
			sh.size += job.EntrySize(r.Job.Tasks, chunk)
			if js := s.jobs[id]; js != nil && js.shelves[chunk] == nil {
				js.shelves[chunk] = sh
			}
		}
	}
}

// shelfWrite is one write of a shelf.
type shelfWrite struct {
	shelf   *shelf
	write   state.Write
	entries []shelfEntry
}

type shelfEntry struct {
	js       *jobState
	chunk    int
	attempts []*fleet.Attempt // that wait for it
}

// flushLocked writes the done tasks of jobs that go on.
func (s *Share) flushLocked(now time.Time) {
	if !s.loaded || !s.currentLocked() || now.Sub(s.flushed) < flushEvery {
		return
	}
	s.flushed = now
	due := map[*shelf]*shelfWrite{}
	for id, js := range s.jobs {
		if js.finishing {
			continue
		}
		for chunk := range js.dirty {
			sh := js.shelves[chunk]
			if sh == nil || s.shelves[sh.key] != sh {
				size := job.EntrySize(js.rec.Job.Tasks, chunk)
				sh = s.shelfLocked(size)
				sh.size += size
				js.shelves[chunk] = sh
			}
			if sh.committing {
				continue
			}
			sh.put(id, chunk, js.done.Chunk(chunk))
			if due[sh] == nil {
				due[sh] = &shelfWrite{shelf: sh}
			}
			due[sh].entries = append(due[sh].entries, shelfEntry{js: js, chunk: chunk, attempts: js.awaiting[chunk]})
			delete(js.awaiting, chunk)
			delete(js.dirty, chunk)
		}
	}
	for key, sh := range s.shelves {
		if len(sh.jobs) > 0 || sh.committing {
			continue
		}
		delete(s.shelves, key)
		if sh.version > 0 {
			due[sh] = &shelfWrite{shelf: sh}
		}
	}
	for sh, sw := range due {
		change := wire.Change{Delete: sh.key}
		if len(sh.jobs) > 0 {
			value, err := json.Marshal(job.DonePage{Jobs: sh.jobs, Write: s.markLocked()})
			if err != nil {
				s.log.Error("encoding done tasks", "key", sh.key, "err", err)
			}
			change = wire.Change{Put: sh.key, Value: value}
		}
		sh.committing = true
		sw.write = state.Write{Priority: state.Background, Persist: true, Fresh: s.freshLocked(),
			If: []wire.Condition{s.div.condition, {Key: sh.key, Version: sh.version}}, Then: []wire.Change{change}}
		s.goDo(func(ctx context.Context) { s.writeShelf(ctx, sw) })
	}
}

func (s *Share) writeShelf(ctx context.Context, sw *shelfWrite) {
	version, err := s.opts.Committer.Commit(ctx, sw.write)
	known := err == nil
	if err != nil {
		version, known = s.reread(ctx, state.Background, sw.shelf.key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sw.shelf.committing = false
	if known {
		sw.shelf.version = version
	}
	if err != nil {
		s.log.Debug("writing done tasks failed", "key", sw.shelf.key, "err", err)
	}
	for _, e := range sw.entries {
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
	id, fence := js.rec.Job.ID, job.Fence{Condition: s.div.condition, Current: s.freshLocked()}
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
