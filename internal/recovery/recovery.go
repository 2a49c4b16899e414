package recovery

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"golang.org/x/sync/errgroup"

	"heronwick/internal/fleet"
	"heronwick/internal/job"
	"heronwick/internal/state"
	"heronwick/wire"
)

// Store is the part of the key-value store's client that Read uses.
type Store interface {
	List(ctx context.Context, priority state.Priority, prefix string) (state.Listing, error)
}

// Jobs provides the records of active jobs, the outcomes of ended jobs, and the
// tasks that are done.
type Jobs interface {
	Active(id string) *job.Record
	Resolve(ctx context.Context, id string) (job.Resolution, error)
	ReadDone(ctx context.Context) ([]job.DoneBucket, error)
}

// Records holds the records of machines and done tasks, as read from the store.
type Records struct {
	Buckets []Bucket
	Done    []job.DoneBucket
	// Outcomes holds, by job ID, the outcomes of the ended jobs of which a bucket still
	// contains attempts, and Active the records of the active ones. A job that is active here
	// may have ended since.
	Outcomes map[string]job.Outcome
	Active   map[string]*job.Record
	// Revision is the store's revision that the buckets are of, and Pages the number of
	// responses that they were read in.
	Revision uint64
	Pages    int
}

// Bucket is a key whose value holds machine records, as read from the store.
type Bucket struct {
	fleet.RecordBucket
	Key     string
	Version uint64
	Size    int // size of the value in bytes
}

// maxConcurrentLookups limits how many jobs are looked up concurrently.
const maxConcurrentLookups = 8

// Read reads all records. It keeps only the newest attempt of each task, and looks up all
// jobs that have attempts in a bucket.
func Read(ctx context.Context, store Store, jobs Jobs) (Records, error) {
	listing, err := store.List(ctx, state.Urgent, fleet.RecordPrefix)
	if err != nil {
		return Records{}, err
	}
	buckets, err := decodeBuckets(listing.Items)
	if err != nil {
		return Records{}, err
	}
	done, err := jobs.ReadDone(ctx)
	if err != nil {
		return Records{}, err
	}
	dropOutdatedAttempts(buckets)
	records := Records{Buckets: buckets, Done: done, Outcomes: map[string]job.Outcome{}, Active: map[string]*job.Record{},
		Revision: listing.Revision, Pages: listing.Pages}
	return records, records.lookUpJobs(ctx, jobs)
}

// decodeBuckets decodes the buckets of machine records.
func decodeBuckets(items []wire.Item) ([]Bucket, error) {
	buckets := make([]Bucket, 0, len(items))
	for _, item := range items {
		bucket, err := fleet.ReadBucket(item.Key, item.Value)
		if err != nil {
			return nil, err
		}
		buckets = append(buckets, Bucket{RecordBucket: bucket, Key: item.Key, Version: item.Version, Size: len(item.Value)})
	}
	return buckets, nil
}

// dropOutdatedAttempts removes all attempts of a task but the newest. A new attempt is
// recorded only after the older one can no longer be running, but a bucket that has not
// been written since still contains the older one.
func dropOutdatedAttempts(buckets []Bucket) {
	newest := map[string]uint64{}
	for _, bucket := range buckets {
		for _, record := range bucket.Machines {
			for task, attempt := range record.Attempts {
				newest[task] = max(newest[task], attempt)
			}
		}
	}
	for _, bucket := range buckets {
		for _, record := range bucket.Machines {
			for task, attempt := range record.Attempts {
				if attempt < newest[task] {
					delete(record.Attempts, task)
				}
			}
		}
	}
}

// lookUpJobs looks up all jobs that have attempts in a bucket.
func (r *Records) lookUpJobs(ctx context.Context, jobs Jobs) error {
	var mu sync.Mutex
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentLookups)
	for id := range r.jobsWithAttempts() {
		if record := jobs.Active(id); record != nil {
			mu.Lock()
			r.Active[id] = record
			mu.Unlock()
			continue
		}
		g.Go(func() error {
			found, err := lookUp(ctx, jobs, id)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case found.record != nil:
				r.Active[id] = found.record
			case found.Ended:
				r.Outcomes[id] = found.Outcome
			}
			return err
		})
	}
	return g.Wait()
}

// jobsWithAttempts returns the IDs of all jobs that have attempts in a bucket.
func (r *Records) jobsWithAttempts() map[string]bool {
	ids := map[string]bool{}
	for _, bucket := range r.Buckets {
		for _, record := range bucket.Machines {
			for task := range record.Attempts {
				if id, _, ok := wire.SplitTaskID(task); ok {
					ids[id] = true
				}
			}
		}
	}
	return ids
}

// foundJob is what the lookup of a job has found: its record if it is active, its outcome if it
// has ended, or nothing if it was never accepted.
type foundJob struct {
	job.Resolution
	record *job.Record
}

// maxLookups is the maximum number of lookups of a job that changes between them.
const maxLookups = 3

// errUnsettled means that a job changed during each of its lookups.
var errUnsettled = errors.New("a job is neither active nor ended")

// lookUp looks up a job that is not cached as active.
func lookUp(ctx context.Context, jobs Jobs, id string) (foundJob, error) {
	for range maxLookups {
		resolution, err := jobs.Resolve(ctx, id)
		if err != nil || resolution.Ended || !resolution.Found {
			return foundJob{Resolution: resolution}, err
		}
		if record := jobs.Active(id); record != nil {
			return foundJob{Resolution: resolution, record: record}, nil
		}
	}
	return foundJob{}, fmt.Errorf("looking up job %s: %w", id, errUnsettled)
}
