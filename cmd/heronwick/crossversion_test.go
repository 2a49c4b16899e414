package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"heronwick/wire"
)

// Tests that versions can read each other's records in the key-value store. testdata holds
// stores that earlier versions wrote. tools/crossversion.sh also lets the version in
// production read a store that this version wrote, by running an older copy of this file
// in that version. The tests therefore use the field names of the wire format, not the
// names in the code.

// Environment variables that tools/crossversion.sh sets.
const (
	storeToReadEnv  = "HERONWICK_STORE_TO_READ"
	storeToWriteEnv = "HERONWICK_STORE_TO_WRITE"
)

// storesOfEarlierVersions are stores that were written by the version in production and
// by the last version before the names in the code changed.
var storesOfEarlierVersions = []string{"testdata/production/store.json", "testdata/0268155/store.json"}

const (
	crossVersionMachines = 6
	crossVersionJobs     = 14
	crossVersionService  = "wk-000013"    // the job that is a service
	activeJobPrefix      = "jobs/active/" // key prefix of the records of jobs that have not ended
	finalJobPrefix       = "jobs/final/"  // key prefix of the records of jobs that have ended
)

// readStore returns all items in the key-value store.
func (tc *testCluster) readStore() []wire.Item {
	response, err := tc.state.Connect("reader").Do(context.Background(), "GET", "/keys?under=&most=1000", nil)
	var list wire.ItemList
	if err != nil || response.Status != 200 || json.Unmarshal(response.Body, &list) != nil || list.More {
		tc.t.Fatalf("reading the store: got %d, %v, more %v; want 200 and all items", response.Status, err, list.More)
	}
	return list.Items
}

// fillStore writes items to the key-value store in the order of their versions, which is
// the order in which they were written originally.
func (tc *testCluster) fillStore(items []wire.Item) {
	slices.SortStableFunc(items, func(a, b wire.Item) int { return cmp.Compare(a.Version, b.Version) })
	for _, item := range items {
		if item.Lease != 0 {
			continue // its lease has expired, since its owner no longer exists
		}
		body, err := json.Marshal(wire.Txn{If: []wire.Condition{}, Then: []wire.Change{{Put: item.Key, Value: item.Value}}})
		if err != nil {
			tc.t.Fatal(err)
		}
		if response, err := tc.state.Connect("writer").Do(context.Background(), "POST", "/txn", body); err != nil || response.Status != 200 {
			tc.t.Fatalf("writing %s: got %d, %v; want 200", item.Key, response.Status, err)
		}
	}
}

// Guards against a store that another version cannot read: writes the items of a store,
// with running, waiting, done and cancelled jobs, services, and machines of several
// controllers, to a file for the other version's TestRecordsOfAnotherVersion.
func TestRecordsForAnotherVersion(t *testing.T) {
	withCluster(t, crossVersionMachines, func(tc *testCluster) {
		tc.fleet.TaskDuration = func(task string) time.Duration {
			_, index, _ := wire.SplitTaskID(task)
			return time.Duration(5+10*index) * time.Second
		}
	}, func(tc *testCluster) {
		for n := range crossVersionJobs {
			tc.expect(n%3, "POST", "/submissions", submission(n, func(job map[string]any) {
				job["roost"], job["feathers"] = []string{"red", "blue"}[n%2], 1+n%6
				if n == crossVersionJobs-1 {
					job["gait"], job["rank"], job["feathers"] = "daemon", "prod", 2
				}
			}), 201, "")
			time.Sleep(time.Second)
		}
		tc.expect(1, "POST", "/submissions/wk-000011/withdraw", nil, 200, "aborted")
		items := tc.readStore()
		for _, prefix := range []string{"cluster/epoch", "cluster/leader", "cluster/owner/", activeJobPrefix, finalJobPrefix, "machines/", "done/"} {
			if !slices.ContainsFunc(items, func(item wire.Item) bool { return strings.HasPrefix(item.Key, prefix) }) {
				t.Errorf("got no records under %s, want some so that the test is meaningful", prefix)
			}
		}
		if path := os.Getenv(storeToWriteEnv); path != "" {
			writeItems(t, path, items)
		}
	})
}

// writeItems writes items of the key-value store to a file.
func writeItems(t *testing.T, path string, items []wire.Item) {
	t.Helper()
	text, err := json.MarshalIndent(items, "", " ")
	if err == nil {
		err = os.WriteFile(path, text, 0o644)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// readItems reads items of the key-value store from a file.
func readItems(t *testing.T, path string) (items []wire.Item) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.NewDecoder(bytes.NewReader(text)).Decode(&items); err != nil {
		t.Fatal(err)
	}
	return items
}

// Guards against an upgrade or downgrade that loses jobs: after a start from a store that
// another version has written, jobs that had ended must keep their state, and the others
// must run to completion.
func TestRecordsOfAnotherVersion(t *testing.T) {
	stores := storesOfEarlierVersions
	if path := os.Getenv(storeToReadEnv); path != "" {
		stores = []string{path}
	}
	for _, path := range stores {
		t.Run(filepath.Base(filepath.Dir(path)), func(t *testing.T) { testStartFromStore(t, readItems(t, path)) })
	}
}

// testStartFromStore starts a cluster with a store that contains items and checks the
// states in which the jobs in them end.
func testStartFromStore(t *testing.T, items []wire.Item) {
	withCluster(t, crossVersionMachines, func(tc *testCluster) {
		tc.fillStore(items)
		tc.fleet.TaskDuration = func(task string) time.Duration {
			if strings.HasPrefix(task, crossVersionService+"/") {
				return 0
			}
			return 10 * time.Second
		}
	}, func(tc *testCluster) {
		want := tc.resubmitActiveJobs(items)
		if len(want) != crossVersionJobs {
			t.Errorf("got %d jobs in the store, want %d", len(want), crossVersionJobs)
		}
		want[crossVersionService] = "running"
		time.Sleep(2 * time.Minute)
		for id, state := range want {
			tc.expectStoredState(id, state)
		}
		if key := finalJobPrefix + "wk-000000"; tc.state.Get(key) == nil {
			t.Errorf("%s: got no record, want it kept", key)
		}
	})
}

// resubmitActiveJobs submits the active jobs in a store's items again, because otherwise
// the cluster's checker would not know them. It returns the expected final state of each
// job in the items.
func (tc *testCluster) resubmitActiveJobs(items []wire.Item) (want map[string]string) {
	want = map[string]string{}
	for _, item := range items {
		if id, ok := strings.CutPrefix(item.Key, activeJobPrefix); ok {
			var record struct {
				Job json.RawMessage `json:"job"`
			}
			if err := json.Unmarshal(item.Value, &record); err != nil {
				tc.t.Fatal(err)
			}
			tc.expect(0, "POST", "/submissions", string(record.Job), 200, "")
			want[id] = "done"
		}
		if id, ok := strings.CutPrefix(item.Key, finalJobPrefix); ok {
			var record struct {
				State string `json:"state"`
			}
			if err := json.Unmarshal(item.Value, &record); err != nil {
				tc.t.Fatal(err)
			}
			want[id] = record.State
		}
	}
	return want
}

// expectStoredState expects the job store of every controller to return a state for a job.
// It bypasses the cluster's checker, which does not know jobs that had ended before the
// cluster started.
func (tc *testCluster) expectStoredState(id, want string) {
	tc.t.Helper()
	for _, n := range tc.nodes {
		job, err := n.current.Load().jobs.Status(tc.ctx, id)
		if err != nil || !job.Found || string(job.Status.State) != want {
			tc.t.Errorf("%s about %s: got %q (found %v, error %v), want %s", n.name, id, job.Status.State, job.Found, err, want)
		}
	}
}
