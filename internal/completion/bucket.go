package completion

// bucket is one key of the store with the completion bitmaps of many jobs.
// Until they are written, the workers keep the results, so a bucket may be
// written late.
type bucket struct {
	key        string
	version    uint64                    // of the key in the store; zero: not there yet
	jobs       map[string]map[int][]byte // bitmaps by job and block, as written or about to be
	size       int                       // bytes that its entries can come to
	committing bool                      // a write of it is under way
	// successors are the buckets that together hold what this one does, because
	// it is larger than a value may be. Once all are written it is removed.
	successors []*bucket
}

// put enters a block of a job's bitmap.
func (b *bucket) put(id string, block int, bits []byte) {
	if b.jobs[id] == nil {
		b.jobs[id] = map[int][]byte{}
	}
	b.jobs[id][block] = bits
}

// empty reports whether the bucket holds nothing any more.
func (b *bucket) empty() bool { return len(b.jobs) == 0 }
