package job

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"heronwick/internal/state"
)

// blockTasks is how many tasks one block of a bitmap covers: it stays far below the
// size of a value, and a write stays small.
const blockTasks = 8192

// DoneSet is the bitmap of a job's done tasks. Its zero value is empty.
type DoneSet struct {
	Count int            // of done tasks
	bits  map[int][]byte // by block
}

// Has reports whether the task is done.
func (d *DoneSet) Has(task int) bool {
	block := d.bits[task/blockTasks]
	at := task % blockTasks
	return at/8 < len(block) && block[at/8]&(1<<(at%8)) != 0
}

// Add marks the task done and returns its block.
func (d *DoneSet) Add(task int) (block int) {
	block = task / blockTasks
	if d.Has(task) {
		return block
	}
	if d.bits == nil {
		d.bits = map[int][]byte{}
	}
	at := task % blockTasks
	for len(d.bits[block]) <= at/8 {
		d.bits[block] = append(d.bits[block], 0)
	}
	d.bits[block][at/8] |= 1 << (at % 8)
	d.Count++
	return block
}

// Block returns a copy of a block's bits, the lowest task in the lowest bit.
func (d *DoneSet) Block(block int) []byte { return append([]byte(nil), d.bits[block]...) }

// DoneBucket is the value of one key under done/: the bitmaps of many jobs' done
// tasks, by job and block. Many jobs to a key make the ends of hundreds of tasks one
// change.
type DoneBucket struct {
	Jobs map[string]map[int][]byte `json:"jobs"`
	// Write differs between any two writes, so that a read-back shows which one it
	// was.
	Write string `json:"write"`

	Key     string `json:"-"`
	Version uint64 `json:"-"`
}

// DoneBucketKey returns the key of a member's n-th bucket. since is the epoch token of
// its membership.
func DoneBucketKey(node string, since, n uint64) string {
	return state.MemberKey(donePrefix, node, since, strconv.FormatUint(n, 10))
}

// DoneBucketOwner returns the membership whose bucket a key is. ok is false for a key
// of the earlier form, which holds one block and has no owner.
func DoneBucketOwner(key string) (owner state.KeyOwner, ok bool) {
	return state.OwnerOfKey(donePrefix, key)
}

// bucketOverhead is how many bytes a bucket takes besides its entries at most.
const bucketOverhead = 128

// entryOverhead is how many bytes an entry takes besides its encoded bits.
const entryOverhead = 40

// MaxDoneEntryBytes returns about how many bytes a block of a job with so many tasks takes of
// job with the given number of tasks.
func MaxDoneEntryBytes(tasks, block int) int {
	bits := min(blockTasks, tasks-block*blockTasks)
	base64Bytes := (bits/8 + 3) * 4 / 3
	return base64Bytes + entryOverhead
}

// ReadDone reads the bitmaps of all jobs' done tasks.
func (s *Store) ReadDone(ctx context.Context) ([]DoneBucket, error) {
	listing, err := s.client.List(ctx, state.Safety, donePrefix)
	if err != nil {
		return nil, fmt.Errorf("reading done tasks: %w", err)
	}
	var buckets []DoneBucket
	for _, item := range listing.Items {
		bucket, err := readDoneBucket(item.Key, item.Value)
		if err != nil {
			return nil, err
		}
		bucket.Version = item.Version
		buckets = append(buckets, bucket)
	}
	return buckets, nil
}

// readDoneBucket decodes the value of a key, also in the earlier form: one block of
// the job that the key names.
func readDoneBucket(key string, value json.RawMessage) (DoneBucket, error) {
	bucket := DoneBucket{Key: key}
	if err := json.Unmarshal(value, &bucket); err != nil {
		return bucket, fmt.Errorf("done tasks under %s: %w", key, err)
	}
	if _, ok := DoneBucketOwner(key); ok {
		return bucket, nil
	}
	var earlier struct {
		Bits []byte `json:"bits"`
	}
	id, number, _ := strings.Cut(strings.TrimPrefix(key, donePrefix), "/")
	block, err := strconv.Atoi(number)
	if err == nil {
		err = json.Unmarshal(value, &earlier)
	}
	if err != nil {
		return bucket, fmt.Errorf("done tasks under %s: %w", key, err)
	}
	bucket.Jobs = map[string]map[int][]byte{id: {block: earlier.Bits}}
	return bucket, nil
}

// AddBlock marks the tasks done whose bits are set in a block.
func (d *DoneSet) AddBlock(block int, bits []byte) {
	for i, b := range bits {
		for bit := range 8 {
			if b&(1<<bit) != 0 {
				d.Add(block*blockTasks + i*8 + bit)
			}
		}
	}
}
