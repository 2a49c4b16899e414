package scheduler

import (
	"slices"
	"time"

	"heronwick/internal/job"
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

func (page *donePage) put(id string, chunk int, bits []byte) {
	if page.jobs[id] == nil {
		page.jobs[id] = map[int][]byte{}
	}
	page.jobs[id][chunk] = bits
}

// doneTable is the share's pages of done tasks: which there are, what they hold, and
// where there is room. It writes nothing.
type doneTable struct {
	pages map[string]*donePage
	named uint64 // pages named so far
	// key names a new page of this share.
	key func(n uint64) string
	// limit is how many bytes the entries of a page may come to, unless there is
	// only one.
	limit   func() int
	flushed time.Time // when pages were last written
}

func newDoneTable(key func(n uint64) string, limit func() int) *doneTable {
	return &doneTable{pages: map[string]*donePage{}, key: key, limit: limit}
}

// holds tells whether the page is one of the table's.
func (t *doneTable) holds(page *donePage) bool { return page != nil && t.pages[page.key] == page }

// withRoom returns a page with room for an entry of the size, and takes the room.
func (t *doneTable) withRoom(size int) *donePage {
	for _, page := range t.pages {
		if page.heirs == nil && page.size+size <= t.limit() {
			page.size += size
			return page
		}
	}
	page := t.add()
	page.size = size
	return page
}

func (t *doneTable) add() *donePage {
	t.named++
	page := &donePage{key: t.key(t.named), jobs: map[string]map[int][]byte{}}
	t.pages[page.key] = page
	return page
}

// forget drops the done tasks of a job that is over. The keys are rewritten when
// there is something else to write, or removed once empty.
func (t *doneTable) forget(id string) {
	for _, page := range t.pages {
		if _, ok := page.jobs[id]; !ok {
			continue
		}
		delete(page.jobs, id)
		if len(page.jobs) == 0 {
			page.size = 0
		}
	}
}

// adopt takes over what an owner that has gone left, for the jobs that are still
// active, and returns the pages that hold it from now on.
func (t *doneTable) adopt(written *job.DoneBucket, active func(id string) *job.Record) []*donePage {
	if t.pages[written.Key] != nil {
		return nil
	}
	page := &donePage{key: written.Key, version: written.Version, jobs: map[string]map[int][]byte{}}
	t.pages[page.key] = page
	tasks := map[string]int{}
	entries := 0
	for id, chunks := range written.Jobs {
		r := active(id)
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
	if page.size > t.limit() && entries > 1 {
		return t.split(page, tasks)
	}
	return []*donePage{page}
}

// split copies what a page holds that is larger than values may be to new ones and
// returns those; tasks is how many tasks each job has. Done tasks only ever become
// more, so reading both does no harm.
func (t *doneTable) split(page *donePage, tasks map[string]int) (heirs []*donePage) {
	var heir *donePage
	for id, chunks := range page.jobs {
		for chunk, bits := range chunks {
			size := job.EntrySize(tasks[id], chunk)
			if heir == nil || heir.size+size > t.limit() {
				heir = t.add()
				heirs = append(heirs, heir)
			}
			heir.put(id, chunk, bits)
			heir.size += size
		}
	}
	page.heirs = slices.Clone(heirs)
	return heirs
}

// retire empties pages whose heirs hold all that they did.
func (t *doneTable) retire() {
	for _, page := range t.pages {
		if page.heirs == nil {
			continue
		}
		page.heirs = slices.DeleteFunc(page.heirs, func(heir *donePage) bool {
			return heir.version > 0 || !t.holds(heir) // written, or of jobs that are over
		})
		if len(page.heirs) == 0 {
			clear(page.jobs)
		}
	}
}

// takeIdle returns the pages that must be written though no task of them was done:
// heirs that are not in the store yet, and pages in the store that hold nothing any
// more. The latter are not the table's any longer.
func (t *doneTable) takeIdle() (idle []*donePage) {
	for key, page := range t.pages {
		switch {
		case page.committing:
		case len(page.jobs) == 0:
			delete(t.pages, key)
			if page.version > 0 {
				idle = append(idle, page)
			}
		case page.version == 0:
			idle = append(idle, page)
		}
	}
	return idle
}
