package completion

// bucket is one key of the store with the completion bitmaps of many jobs. A bucket
// may be written late, since the workers keep the results of their tasks until those
// are written.
type bucket struct {
	key           string
	version       uint64                    // version of the key in the store; zero if the key does not exist
	jobs          map[string]map[int][]byte // bitmaps by job ID and block, including changes not yet written
	size          int                       // maximum size of its entries, in bytes
	writeInFlight bool
	// successors are the buckets that this bucket's content was copied to because it
	// exceeds the size limit. Once all of them are written, this bucket is removed.
	successors []*bucket
}

// setBlock sets a block of a job's bitmap.
func (b *bucket) setBlock(id string, block int, bits []byte) {
	if b.jobs[id] == nil {
		b.jobs[id] = map[int][]byte{}
	}
	b.jobs[id][block] = bits
}

// empty reports whether the bucket holds no bitmaps.
func (b *bucket) empty() bool { return len(b.jobs) == 0 }
