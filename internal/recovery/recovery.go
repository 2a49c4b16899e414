package recovery

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	"heronwick/internal/fleet"
	"heronwick/internal/job"
	"heronwick/internal/state"
	"heronwick/wire"
)

// Store reads the machines' records from the key-value store.
type Store interface {
	List(ctx context.Context, priority state.Priority, prefix string) (state.Listing, error)
}

// Jobs knows which jobs are active, which are over, and which of their tasks are done.
type Jobs interface {
	Active(id string) *job.Record
	Resolve(ctx context.Context, id string) (job.Resolution, error)
	ReadDone(ctx context.Context) ([]job.DoneBucket, error)
}

// Records is what the store holds of machines and done tasks.
type Records struct {
	Buckets []Bucket
	Done    []job.DoneBucket
	// Outcomes are those of the jobs that are over, and of which a bucket names tasks.
	Outcomes map[string]job.Outcome
}

// Bucket is a key with machines' records, as read.
type Bucket struct {
	fleet.RecordBucket
	Key     string
	Version uint64
	Size    int // bytes of its value
}

// maxResolving is how many jobs are looked up at once.
const maxResolving = 8

// Read reads all records. Of a task's attempts only the newest is kept, and every
// job of which a bucket names tasks is either active or looked up.
func Read(ctx context.Context, store Store, jobs Jobs) (Records, error) {
	buckets, err := readBuckets(ctx, store)
	if err != nil {
		return Records{}, err
	}
	done, err := jobs.ReadDone(ctx)
	if err != nil {
		return Records{}, err
	}
	dropOutdatedAttempts(buckets)
	outcomes, err := resolve(ctx, jobs, inactiveJobs(buckets, jobs))
	if err != nil {
		return Records{}, err
	}
	return Records{Buckets: buckets, Done: done, Outcomes: outcomes}, nil
}

// readBuckets lists the buckets of machines' records.
func readBuckets(ctx context.Context, store Store) ([]Bucket, error) {
	listing, err := store.List(ctx, state.Urgent, fleet.RecordPrefix)
	if err != nil {
		return nil, err
	}
	buckets := make([]Bucket, 0, len(listing.Items))
	for _, item := range listing.Items {
		bucket, err := fleet.ReadBucket(item.Key, item.Value)
		if err != nil {
			return nil, err
		}
		buckets = append(buckets, Bucket{RecordBucket: bucket, Key: item.Key, Version: item.Version, Size: len(item.Value)})
	}
	return buckets, nil
}

// dropOutdatedAttempts removes the attempts of tasks that have a newer one. That was
// recorded only once the older one had surely gone, but a bucket that was not
// written since still names it.
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

// inactiveJobs returns the jobs whose tasks the buckets name and that are not active.
func inactiveJobs(buckets []Bucket, jobs Jobs) map[string]bool {
	inactive := map[string]bool{}
	for _, bucket := range buckets {
		for _, record := range bucket.Machines {
			for task := range record.Attempts {
				if id, _, ok := wire.SplitTaskID(task); ok && jobs.Active(id) == nil {
					inactive[id] = true
				}
			}
		}
	}
	return inactive
}

// resolve looks up jobs and returns the outcomes of those that are over.
func resolve(ctx context.Context, jobs Jobs, ids map[string]bool) (map[string]job.Outcome, error) {
	var mu sync.Mutex
	outcomes := map[string]job.Outcome{}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxResolving)
	for id := range ids {
		g.Go(func() error {
			resolution, err := jobs.Resolve(ctx, id)
			if resolution.Over {
				mu.Lock()
				defer mu.Unlock()
				outcomes[id] = resolution.Outcome
			}
			return err
		})
	}
	return outcomes, g.Wait()
}
