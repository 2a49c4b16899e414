package job_test

import (
	"fmt"
	"io"
	"log/slog"
	"testing"

	"heronwick/internal/job"
	"heronwick/internal/standin"
	"heronwick/internal/state"
	"heronwick/wire"
)

// newStore makes a store on a key-value store of its own, with so many writes a second
// and changes in a transaction, and returns the client that it writes with.
func newStore(writesPerSecond float64, txnChanges int) (*state.Client, *job.Store) {
	return newStoreOn(standin.NewState(), 50, writesPerSecond, txnChanges)
}

// newStoreOn makes a store on a key-value store that others may use too, and returns the
// client that it writes with.
func newStoreOn(service *standin.State, requestsPerSecond, writesPerSecond float64, txnChanges int) (*state.Client, *job.Store) {
	client := state.NewClient(service.Connect("a"), state.NewBudget(requestsPerSecond, writesPerSecond, txnChanges))
	return client, newStoreWith(client, txnChanges, 16<<10)
}

// newStoreWith makes a store that writes with a client, values of at most maxValue
// bytes.
func newStoreWith(client *state.Client, txnChanges, maxValue int) *job.Store {
	return job.NewStore(job.Options{
		Client: client, Committer: state.NewCommitter(client, txnChanges), MaxValueBytes: maxValue,
		AcceptsDependencies: func() bool { return true },
		Log:                 slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
}

// testJob returns the submission of the i-th job.
func testJob(i int) wire.Job {
	return wire.Job{ID: fmt.Sprintf("wk-%06d", i), Team: "red", Class: "c", Kind: wire.KindArray,
		Tasks: 3, CPUs: 1, MemoryGB: 1, Image: "i"}
}

// submitJobs submits the first n jobs.
func submitJobs(t *testing.T, store *job.Store, n int) {
	t.Helper()
	for i := range n {
		if _, err := store.Submit(t.Context(), testJob(i)); err != nil {
			t.Fatal(err)
		}
	}
}
