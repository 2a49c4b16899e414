package job

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"heronwick/internal/state"
	"heronwick/wire"
)

// chunkTasks is how many tasks one key of done tasks covers: as a bit each
// they stay far below the size of a value, and a write stays small.
const chunkTasks = 8192

// DoneSet is the set of a job's done tasks, a bit each.
type DoneSet struct {
	Count int
	bits  map[int][]byte // by chunk
}

// Has tells whether the task is done.
func (d *DoneSet) Has(task int) bool {
	chunk := d.bits[task/chunkTasks]
	at := task % chunkTasks
	return at/8 < len(chunk) && chunk[at/8]&(1<<(at%8)) != 0
}

// Add marks the task done and returns its chunk.
func (d *DoneSet) Add(task int) (chunk int) {
	chunk = task / chunkTasks
	if d.Has(task) {
		return chunk
	}
	if d.bits == nil {
		d.bits = map[int][]byte{}
	}
	at := task % chunkTasks
	for len(d.bits[chunk]) <= at/8 {
		d.bits[chunk] = append(d.bits[chunk], 0)
	}
	d.bits[chunk][at/8] |= 1 << (at % 8)
	d.Count++
	return chunk
}

// Chunk returns a copy of a chunk's bits.
func (d *DoneSet) Chunk(chunk int) []byte { return append([]byte(nil), d.bits[chunk]...) }

// DoneRecord is a chunk as the store holds it.
type DoneRecord struct {
	Bits []byte `json:"bits"`
}

func doneKey(job string, chunk int) string { return donePrefix + job + "/" + strconv.Itoa(chunk) }

// DoneVersions holds the versions of a job's done keys, by chunk.
type DoneVersions map[int]uint64

// WriteDone records a chunk of done tasks and returns its key's new version.
func (c *Catalog) WriteDone(ctx context.Context, r *Record, fence wire.Condition, chunk int, bits []byte, version uint64) (uint64, error) {
	value, err := json.Marshal(DoneRecord{Bits: bits})
	if err != nil {
		return 0, fmt.Errorf("encoding done tasks of %s: %w", r.Job.ID, err)
	}
	key := doneKey(r.Job.ID, chunk)
	return c.commit.Commit(ctx, state.Write{
		Priority: state.Background, // until then the worker keeps the result
		If:       []wire.Condition{fence, r.Condition(), {Key: key, Version: version}},
		Then:     []wire.Change{{Put: key, Value: value}},
		Persist:  true,
	})
}

// DropDone removes the done keys of a job that is over. What a crash leaves
// behind, the next leader finds and drops.
func (c *Catalog) DropDone(ctx context.Context, job string, versions DoneVersions) error {
	for chunk, version := range versions {
		key := doneKey(job, chunk)
		_, err := c.commit.Commit(ctx, state.Write{
			Priority: state.Background,
			If:       []wire.Condition{{Key: key, Version: version}},
			Then:     []wire.Change{{Delete: key}},
		})
		if err != nil {
			return fmt.Errorf("dropping %s: %w", key, err)
		}
	}
	return nil
}

// ReadDone reads the done tasks of all jobs.
func (c *Catalog) ReadDone(ctx context.Context) (map[string]*DoneSet, map[string]DoneVersions, error) {
	items, _, err := c.client.List(ctx, state.Safety, donePrefix)
	if err != nil {
		return nil, nil, fmt.Errorf("reading done tasks: %w", err)
	}
	sets, versions := map[string]*DoneSet{}, map[string]DoneVersions{}
	for _, item := range items {
		id, number, _ := strings.Cut(strings.TrimPrefix(item.Key, donePrefix), "/")
		chunk, err := strconv.Atoi(number)
		var record DoneRecord
		if err != nil || json.Unmarshal(item.Value, &record) != nil {
			return nil, nil, fmt.Errorf("done tasks under %s are unreadable", item.Key)
		}
		if sets[id] == nil {
			sets[id], versions[id] = &DoneSet{}, DoneVersions{}
		}
		for i, b := range record.Bits {
			for bit := range 8 {
				if b&(1<<bit) != 0 {
					sets[id].Add(chunk*chunkTasks + i*8 + bit)
				}
			}
		}
		versions[id][chunk] = item.Version
	}
	return sets, versions, nil
}
