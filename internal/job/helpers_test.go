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

// newStore returns a store on a new key-value store with the given write rate and number
// of changes per transaction, and the client that the store uses.
func newStore(writesPerSecond float64, txnChanges int) (*state.Client, *job.Store) {
	return newStoreOn(standin.NewState(), 50, writesPerSecond, txnChanges)
}

// newStoreOn returns a store on an existing key-value store, which other stores may use
// too, and the client that the store uses.
func newStoreOn(service *standin.State, requestsPerSecond, writesPerSecond float64, txnChanges int) (*state.Client, *job.Store) {
	client := state.NewClient(service.Connect("a"), state.NewBudget(requestsPerSecond, writesPerSecond, txnChanges), state.NewTxnLimits(txnChanges, slog.New(slog.DiscardHandler)))
	return client, newStoreWith(client, 16<<10)
}

// newStoreWith returns a store that uses the given client. maxValue is the maximum size
// of a value in bytes.
func newStoreWith(client *state.Client, maxValue int) *job.Store {
	return job.NewStore(job.Options{
		Client: client, Committer: state.NewCommitter(client), MaxValueBytes: maxValue,
		AcceptsDependencies: func() bool { return true },
		Log:                 slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
}

// testJob returns the i-th job to submit.
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
