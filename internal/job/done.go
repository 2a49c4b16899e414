package job

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"heronwick/internal/state"
)

// blockTasks is how many tasks one key of done tasks covers: as a bit each
// they stay far below the size of a value, and a write stays small.
const blockTasks = 8192

// DoneSet is the set of a job's done tasks, a bit each.
type DoneSet struct {
	Count int
	bits  map[int][]byte // by block
}

// Has tells whether the task is done.
func (d *DoneSet) Has(task int) bool {
	chunk := d.bits[task/blockTasks]
	at := task % blockTasks
	return at/8 < len(chunk) && chunk[at/8]&(1<<(at%8)) != 0
}

// Add marks the task done and returns its block.
func (d *DoneSet) Add(task int) (chunk int) {
	chunk = task / blockTasks
	if d.Has(task) {
		return chunk
	}
	if d.bits == nil {
		d.bits = map[int][]byte{}
	}
	at := task % blockTasks
	for len(d.bits[chunk]) <= at/8 {
		d.bits[chunk] = append(d.bits[chunk], 0)
	}
	d.bits[chunk][at/8] |= 1 << (at % 8)
	d.Count++
	return chunk
}

// Block returns a copy of a block's bits.
func (d *DoneSet) Block(chunk int) []byte { return append([]byte(nil), d.bits[chunk]...) }

// DoneBucket is what one key under done/ holds: the done tasks of many jobs, by
// job and block, a bit each. Many jobs to a key make the ends of hundreds of
// tasks one change.
type DoneBucket struct {
	Jobs map[string]map[int][]byte `json:"jobs"`
	// Write differs between any two writes, so that a read-back tells whose
	// it was.
	Write string `json:"write"`

	Key     string `json:"-"`
	Version uint64 `json:"-"`
}

// DoneBucketKey is the key of a member's n-th bucket.
func DoneBucketKey(node string, since, n uint64) string {
	return state.MemberKey(donePrefix, node, since, strconv.FormatUint(n, 10))
}

// DoneBucketOwner tells which member named a bucket. ok is false for a key of the
// earlier form, which holds one block and has no owner.
func DoneBucketOwner(key string) (node string, since uint64, ok bool) {
	return state.MemberOfKey(donePrefix, key)
}

// doneSyntax is what a bucket of done tasks holds beside its entries at most.
const doneSyntax = 128

// EntrySize is about what a block of a job with so many tasks takes of a bucket
// at most.
func EntrySize(tasks, chunk int) int {
	bits := min(blockTasks, tasks-chunk*blockTasks)
	return (bits/8+3)*4/3 + 40
}

// ReadDone reads the done tasks of all jobs.
func (c *Store) ReadDone(ctx context.Context) ([]DoneBucket, error) {
	items, _, err := c.client.List(ctx, state.Safety, donePrefix)
	if err != nil {
		return nil, fmt.Errorf("reading done tasks: %w", err)
	}
	var pages []DoneBucket
	for _, item := range items {
		page, err := readDoneBucket(item.Key, item.Value)
		if err != nil {
			return nil, err
		}
		page.Version = item.Version
		pages = append(pages, page)
	}
	return pages, nil
}

// readDoneBucket reads what a key holds, also in the earlier form: one block of
// the job that the key names.
func readDoneBucket(key string, value json.RawMessage) (DoneBucket, error) {
	page := DoneBucket{Key: key}
	if err := json.Unmarshal(value, &page); err != nil {
		return page, fmt.Errorf("done tasks under %s: %w", key, err)
	}
	if _, _, ok := DoneBucketOwner(key); ok {
		return page, nil
	}
	var earlier struct {
		Bits []byte `json:"bits"`
	}
	id, number, _ := strings.Cut(strings.TrimPrefix(key, donePrefix), "/")
	chunk, err := strconv.Atoi(number)
	if err == nil {
		err = json.Unmarshal(value, &earlier)
	}
	if err != nil {
		return page, fmt.Errorf("done tasks under %s: %w", key, err)
	}
	page.Jobs = map[string]map[int][]byte{id: {chunk: earlier.Bits}}
	return page, nil
}

// AddBlock marks done what a bucket says of a block.
func (d *DoneSet) AddBlock(chunk int, bits []byte) {
	for i, b := range bits {
		for bit := range 8 {
			if b&(1<<bit) != 0 {
				d.Add(chunk*blockTasks + i*8 + bit)
			}
		}
	}
}
