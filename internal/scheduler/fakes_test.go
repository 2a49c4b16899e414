package scheduler

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"heronwick/internal/cluster"
	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/config"
	"heronwick/internal/duty"
	"heronwick/internal/fleet"
	"heronwick/internal/job"
	"heronwick/internal/quota"
	"heronwick/internal/remote"
	"heronwick/internal/state"
	"heronwick/wire"
)

// fakeEnvironment implements the interfaces through which a scheduler reaches the rest
// of the system.
type fakeEnvironment struct {
	readiness     map[string]job.Readiness // of jobs with dependencies; the others are ready
	epoch         cluster.Epoch
	fencedSince   time.Time
	active        map[string]*job.Record
	mu            sync.Mutex
	writes        []state.Write
	fences        []state.FencingCondition // of the jobs passed to Finish
	allActive     []*job.Record
	probeReply    *wire.Heartbeat // how workers answer probes; nil means that they time out
	wants         []*peerpb.Want
	loads         map[string]cluster.PeerLoad
	peerSince     map[string]uint64 // by machine that the peer owns, the membership of the peer
	records       []wire.Item       // the store's contents
	epochAdvances atomic.Int64      // number of calls of AdvanceEpoch
	commitErr     error             // returned by Commit if not nil
	latency       time.Duration     // scheduling latency
	deposed       bool              // the scheduler may not act
	machineOwner  string            // of all machines; empty means this scheduler
}

// View returns the epoch. A test that increments only its token changes no assignment.
func (p *fakeEnvironment) View() cluster.View {
	return cluster.View{Epoch: p.epoch, Condition: wire.Condition{Key: "epoch", Version: p.epoch.Token}}
}
func (p *fakeEnvironment) Token() uint64                { return p.epoch.Token }
func (p *fakeEnvironment) FencingToken() (uint64, bool) { return p.epoch.Token, !p.deposed }
func (p *fakeEnvironment) FencedSince(uint64) (time.Time, bool) {
	return p.fencedSince, !p.fencedSince.IsZero()
}
func (p *fakeEnvironment) AdvanceEpoch(context.Context) error {
	p.epochAdvances.Add(1)
	return nil
}
func (p *fakeEnvironment) Ownership() cluster.Ownership { return cluster.Ownership{Fresh: true} }
func (p *fakeEnvironment) HeartbeatTarget(string) (string, bool) {
	return cmp.Or(p.machineOwner, "me"), true
}
func (p *fakeEnvironment) OwnerInEpoch(epoch *cluster.Epoch, machine string) string {
	if peerSince := p.peerSince[machine]; peerSince > 0 && epoch.Members["peer"].Since == peerSince {
		return "peer"
	}
	return "me"
}
func (p *fakeEnvironment) Get(context.Context, state.Priority, string) (wire.Item, error) {
	return wire.Item{}, state.ErrNotFound
}
func (p *fakeEnvironment) List(context.Context, state.Priority, string) (state.Listing, error) {
	return state.Listing{Items: p.records, Revision: 1}, nil
}
func (p *fakeEnvironment) PeerCapacity() cluster.PeerCapacity     { return cluster.PeerCapacity{} }
func (p *fakeEnvironment) IdleMachines(string) int                { return 0 }
func (p *fakeEnvironment) PeerLoads() map[string]cluster.PeerLoad { return p.loads }
func (p *fakeEnvironment) PeerUnplacedTasks() []*peerpb.Want      { return p.wants }
func (p *fakeEnvironment) RecordTransfer(wire.Change, uint64)     {}
func (p *fakeEnvironment) Fresh() bool                            { return true }
func (p *fakeEnvironment) OwnerOf(string) (cluster.Owner, bool)   { return cluster.Owner{}, false }
func (p *fakeEnvironment) NewTransfer(string, map[string]json.RawMessage) (cluster.TransferWrite, bool) {
	return cluster.TransferWrite{}, false
}
func (p *fakeEnvironment) Active(id string) *job.Record { return p.active[id] }
func (p *fakeEnvironment) Readiness(r *job.Record) job.Readiness {
	if configured, ok := p.readiness[r.Job.ID]; ok {
		return configured
	}
	return job.Readiness{EffectivePriority: job.EffectivePriority{Rank: r.Job.Priority.Rank()}, Ready: true}
}
func (p *fakeEnvironment) AllActive() []*job.Record         { return p.allActive }
func (p *fakeEnvironment) Ended(string) bool                { return false }
func (p *fakeEnvironment) SetListener(job.Listener)         {}
func (p *fakeEnvironment) SetProgress(string, job.Progress) {}
func (p *fakeEnvironment) Resolve(context.Context, string) (job.Resolution, error) {
	return job.Resolution{}, nil
}
func (p *fakeEnvironment) ReadDone(context.Context) ([]job.DoneBucket, error) { return nil, nil }
func (p *fakeEnvironment) Finish(_ context.Context, _ *job.Record, fence state.FencingCondition) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fences = append(p.fences, fence)
	return nil
}
func (p *fakeEnvironment) Commit(_ context.Context, w state.Write) (uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.commitErr != nil {
		return 0, p.commitErr
	}
	p.writes = append(p.writes, w)
	return 1, nil
}
func (p *fakeEnvironment) Command(_ context.Context, _ string, _ *wire.CommandRequest) (*wire.Heartbeat, error) {
	return nil, context.DeadlineExceeded
}
func (p *fakeEnvironment) Status(context.Context, string) (*wire.Heartbeat, error) {
	if p.probeReply != nil {
		return p.probeReply, nil
	}
	return nil, context.DeadlineExceeded
}

// unfencedActions returns the actions of a deployment without single duties and without
// a cloud.
func unfencedActions() *duty.Actions {
	return duty.NewUnfencedActions(nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// newTestScheduler returns a loaded scheduler of node "me" with one machine of 8 CPUs. A
// member "peer" owns the team "theirs".
func newTestScheduler(t *testing.T) (*Scheduler, *fakeEnvironment, *machine) {
	t.Helper()
	return newTestSchedulerWithTxnOps(t, 16)
}

// newTestSchedulerWithTxnOps is newTestScheduler with a given limit on the operations in a
// transaction.
func newTestSchedulerWithTxnOps(t *testing.T, maxTxnOps int) (*Scheduler, *fakeEnvironment, *machine) {
	t.Helper()
	p := &fakeEnvironment{active: map[string]*job.Record{}, epoch: cluster.Epoch{
		Token: 5, Leader: "me",
		Members: map[string]cluster.Member{"me": {Incarnation: 1, Since: 3}, "peer": {Incarnation: 2, Since: 4}},
		Teams:   map[string]string{"ours": "me", "theirs": "peer"},
		// The version of the key equals the token in all epochs here, see View.
		Assignment: cluster.Assignment{Token: 5, Version: 5, Previous: 4},
	}}
	s := New(Options{
		Node: "me", Authority: p, Workers: p, Jobs: p, Committer: p, TxnLimits: state.NewTxnLimits(maxTxnOps, slog.New(slog.DiscardHandler)), Records: p, PlaceRequests: &remote.RequestHistory{}, Actions: unfencedActions(),
		Settings: &config.Settings{HeartbeatInterval: time.Second, LeaseDuration: 10 * time.Second, CancelTimeout: 20 * time.Second, MaxValueBytes: 16 << 10, MaxTxnOps: maxTxnOps},
		Types:    []wire.MachineType{{Name: "m", CPUs: 8, MemoryGB: 32, CacheGB: 10, Zones: []string{"z"}}},
		Latency:  func() time.Duration { return p.latency },
		Log:      slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	s.ctx, s.group = context.Background(), &errgroup.Group{}
	view := p.View()
	s.setEpochLocked(view)
	s.loaded, s.adoptedToken = true, view.Epoch.Token
	s.teams.SetBasis(quota.Basis{Token: view.Epoch.Token, Assignment: view.Epoch.Assignment.Token, Revision: 1})
	m := s.addMachineLocked(fleet.NewMachine("m1"), time.Now())
	if !s.applyHeartbeatLocked(m, &wire.Heartbeat{Machine: "m1", Address: "m1", Type: "m", Zone: "z", Incarnation: 1, Seq: 1, FencingToken: 5}) {
		t.Fatal("first heartbeat was not applied")
	}
	return s, p, m
}

// beginAssignment changes the epoch to the next one, which begins a new assignment.
func (p *fakeEnvironment) beginAssignment(change func(e *cluster.Epoch)) {
	p.epoch.Token++
	p.epoch.Assignment = cluster.Assignment{Token: p.epoch.Token, Version: p.epoch.Token, Previous: p.epoch.Assignment.Token}
	change(&p.epoch)
}

// add adds an active array job and returns its record.
func (p *fakeEnvironment) add(id, team string, priority wire.Priority, tasks int, cpus float64) *job.Record {
	r := &job.Record{Job: wire.Job{ID: id, Team: team, Kind: wire.KindArray, Priority: priority, Tasks: tasks, CPUs: cpus, Image: "i"}, Version: 1}
	p.active[id] = r
	return r
}

// placeRequestFor returns a placement request of the peer for tasks of a job under the
// given attempt numbers.
func placeRequestFor(id string, attempts ...uint64) *peerpb.PlaceRequest {
	w := &peerpb.Wanted{Job: id, Pending: uint32(len(attempts))}
	for i, a := range attempts {
		w.Attempts = append(w.Attempts, &peerpb.Attempt{Task: wire.TaskID(id, i), Attempt: a})
	}
	return &peerpb.PlaceRequest{Node: "peer", Token: 5, Wanted: []*peerpb.Wanted{w}}
}
