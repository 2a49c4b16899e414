package job

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"heronwick/internal/state"
)

// tasksPerBlock is the number of tasks that one block of a bitmap covers. It keeps a
// block far below the maximum size of a value, and writes small.
const tasksPerBlock = 8192

// DoneSet is the bitmap of a job's done tasks. Its zero value is empty.
type DoneSet struct {
	Count int            // number of done tasks
	bits  map[int][]byte // by block number
}

// Has reports whether the task is done.
func (d *DoneSet) Has(task int) bool {
	block := d.bits[task/tasksPerBlock]
	offset := task % tasksPerBlock
	return offset/8 < len(block) && block[offset/8]&(1<<(offset%8)) != 0
}

// Add marks the task as done and returns the number of its block.
func (d *DoneSet) Add(task int) (block int) {
	block = task / tasksPerBlock
	if d.Has(task) {
		return block
	}
	if d.bits == nil {
		d.bits = map[int][]byte{}
	}
	offset := task % tasksPerBlock
	for len(d.bits[block]) <= offset/8 {
		d.bits[block] = append(d.bits[block], 0)
	}
	d.bits[block][offset/8] |= 1 << (offset % 8)
	d.Count++
	return block
}

// Block returns a copy of a block's bits, with the lowest task in the lowest bit.
func (d *DoneSet) Block(block int) []byte { return append([]byte(nil), d.bits[block]...) }

// DoneBucket is the value of one key under done/: the bitmaps of many jobs' done tasks,
// by job ID and block number. Because many jobs share a key, one change can record the
// completion of hundreds of tasks.
type DoneBucket struct {
	Jobs map[string]map[int][]byte `json:"jobs"`
	// Write is different for every write, so that a read shows which write the value
	// comes from.
	Write string `json:"write"`

	Key     string `json:"-"`
	Version uint64 `json:"-"`
}

// DoneBucketKey returns the key of a member's n-th bucket. since is the token of the
// epoch in which the member joined.
func DoneBucketKey(node string, since, n uint64) string {
	return state.MemberKey(donePrefix, node, since, strconv.FormatUint(n, 10))
}

// DoneBucketOwner returns the membership that writes the bucket under a key. ok is false
// for a key in the legacy format, which holds one block and has no owner.
func DoneBucketOwner(key string) (owner state.KeyOwner, ok bool) {
	return state.OwnerOfKey(donePrefix, key)
}

// bucketOverheadBytes is the maximum size of a bucket without its entries.
const bucketOverheadBytes = 128

// entryOverheadBytes is the size of an entry without its encoded bits.
const entryOverheadBytes = 40

// MaxDoneEntryBytes returns the approximate maximum size in a bucket of one block of a job
// with the given number of tasks.
func MaxDoneEntryBytes(tasks, block int) int {
	bits := min(tasksPerBlock, tasks-block*tasksPerBlock)
	base64Bytes := (bits/8 + 3) * 4 / 3
	return base64Bytes + entryOverheadBytes
}

// ReadDone reads the bitmaps of all jobs' done tasks.
func (s *Store) ReadDone(ctx context.Context) ([]DoneBucket, error) {
	listing, err := s.client.List(ctx, state.Safety, donePrefix)
	if err != nil {
		return nil, fmt.Errorf("reading done tasks: %w", err)
	}
	var buckets []DoneBucket
	for _, item := range listing.Items {
		bucket, err := decodeDoneBucket(item.Key, item.Value)
		if err != nil {
			return nil, err
		}
		bucket.Version = item.Version
		buckets = append(buckets, bucket)
	}
	return buckets, nil
}

// decodeDoneBucket decodes the value of a key. It accepts the legacy format too, in which
// the value is one block of the job that the key names.
func decodeDoneBucket(key string, value json.RawMessage) (DoneBucket, error) {
	bucket := DoneBucket{Key: key}
	if err := json.Unmarshal(value, &bucket); err != nil {
		return bucket, fmt.Errorf("decoding the done tasks under %s: %w", key, err)
	}
	if _, ok := DoneBucketOwner(key); ok {
		return bucket, nil
	}
	var legacy struct {
		Bits []byte `json:"bits"`
	}
	id, number, _ := strings.Cut(strings.TrimPrefix(key, donePrefix), "/")
	block, err := strconv.Atoi(number)
	if err == nil {
		err = json.Unmarshal(value, &legacy)
	}
	if err != nil {
		return bucket, fmt.Errorf("decoding the done tasks under %s: %w", key, err)
	}
	bucket.Jobs = map[string]map[int][]byte{id: {block: legacy.Bits}}
	return bucket, nil
}

// AddBlock marks all tasks as done whose bits are set in a block.
func (d *DoneSet) AddBlock(block int, bits []byte) {
	for i, b := range bits {
		for bit := range 8 {
			if b&(1<<bit) != 0 {
				d.Add(block*tasksPerBlock + i*8 + bit)
			}
		}
	}
}
