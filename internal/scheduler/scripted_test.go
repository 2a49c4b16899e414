package scheduler

import (
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
	"heronwick/internal/remote"
	"heronwick/internal/state"
	"heronwick/wire"
)

// scripted stands for everything around a scheduler.
type scripted struct {
	readiness map[string]job.Readiness // of jobs that are in a chain
	epoch     cluster.Epoch
	fenced    time.Time
	active    map[string]*job.Record
	mu        sync.Mutex
	writes    []state.Write
	fences    []state.FencingCondition // of ended jobs
	listed    []*job.Record            // all active jobs
	status    *wire.Heartbeat          // what workers answer to probes; nil: nothing
	wants     []*peerpb.Want
	loads     map[string]cluster.PeerLoad
	since     map[string]uint64 // machines that the peer owns, and its membership
	items     []wire.Item       // records
	raised    atomic.Int64      // how often another token was asked for
	refuse    error             // what writes fail with
	latency   time.Duration     // of scheduling
}

func (p *scripted) View() cluster.View {
	return cluster.View{Epoch: p.epoch, Condition: wire.Condition{Key: "epoch", Version: p.epoch.Token}}
}
func (p *scripted) Token() uint64                        { return p.epoch.Token }
func (p *scripted) FencingToken() (uint64, bool)         { return p.epoch.Token, true }
func (p *scripted) FencedSince(uint64) (time.Time, bool) { return p.fenced, !p.fenced.IsZero() }
func (p *scripted) AdvanceEpoch(context.Context) error {
	p.raised.Add(1)
	return nil
}
func (p *scripted) Ownership() cluster.Ownership          { return cluster.Ownership{Fresh: true} }
func (p *scripted) HeartbeatTarget(string) (string, bool) { return "me", true }
func (p *scripted) HostOf(epoch *cluster.Epoch, machine string) string {
	if since := p.since[machine]; since > 0 && epoch.Members["peer"].Since == since {
		return "peer"
	}
	return "me"
}
func (p *scripted) Get(context.Context, state.Priority, string) (wire.Item, error) {
	return wire.Item{}, state.ErrNotFound
}
func (p *scripted) List(context.Context, state.Priority, string) (state.Listing, error) {
	return state.Listing{Items: p.items, Revision: 1}, nil
}
func (p *scripted) PeerCapacity() cluster.PeerCapacity     { return cluster.PeerCapacity{} }
func (p *scripted) IdleMachines(string) int                { return 0 }
func (p *scripted) PeerLoads() map[string]cluster.PeerLoad { return p.loads }
func (p *scripted) UnplacedWants() []*peerpb.Want          { return p.wants }
func (p *scripted) NoteOwner(wire.Change, uint64)          {}
func (p *scripted) Fresh() bool                            { return true }
func (p *scripted) OwnerOf(string) (cluster.Owner, bool)   { return cluster.Owner{}, false }
func (p *scripted) NewTransfer(string, map[string]json.RawMessage) (cluster.TransferWrite, bool) {
	return cluster.TransferWrite{}, false
}
func (p *scripted) Active(id string) *job.Record { return p.active[id] }
func (p *scripted) Readiness(r *job.Record) job.Readiness {
	if standing, ok := p.readiness[r.Job.ID]; ok {
		return standing
	}
	return job.Readiness{EffectivePriority: job.EffectivePriority{Rank: r.Job.Priority.Rank()}, Ready: true}
}
func (p *scripted) AllActive() []*job.Record         { return p.listed }
func (p *scripted) Ended(string) bool                { return false }
func (p *scripted) Listen(job.Listener)              {}
func (p *scripted) SetProgress(string, job.Progress) {}
func (p *scripted) Resolve(context.Context, string) (job.Resolution, error) {
	return job.Resolution{}, nil
}
func (p *scripted) ReadDone(context.Context) ([]job.DoneBucket, error) { return nil, nil }
func (p *scripted) Finish(_ context.Context, _ *job.Record, fence state.FencingCondition) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fences = append(p.fences, fence)
	return nil
}
func (p *scripted) Commit(_ context.Context, w state.Write) (uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refuse != nil {
		return 0, p.refuse
	}
	p.writes = append(p.writes, w)
	return 1, nil
}
func (p *scripted) Command(_ context.Context, _ string, _ *wire.CommandRequest) (*wire.Heartbeat, error) {
	return nil, context.DeadlineExceeded
}
func (p *scripted) Status(context.Context, string) (*wire.Heartbeat, error) {
	if p.status != nil {
		return p.status, nil
	}
	return nil, context.DeadlineExceeded
}

// unguarded are actions of a deployment without duties and without a cloud.
func unguarded() *duty.Actions {
	return duty.Unguarded(nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// newTestScheduler makes a loaded scheduler of node "me" with one machine of 8 CPUs,
// beside a member "peer" that owns the team "theirs".
func newTestScheduler(t *testing.T) (*Scheduler, *scripted, *machine) {
	t.Helper()
	p := &scripted{active: map[string]*job.Record{}, epoch: cluster.Epoch{
		Token: 5, Leader: "me",
		Members: map[string]cluster.Member{"me": {Incarnation: 1, Since: 3}, "peer": {Incarnation: 2, Since: 4}},
		Teams:   map[string]string{"ours": "me", "theirs": "peer"},
	}}
	s := New(Options{
		Node: "me", Authority: p, Workers: p, Jobs: p, Committer: p, Records: p, PlaceRequests: &remote.RequestHistory{}, Actions: unguarded(),
		Settings: &config.Settings{HeartbeatInterval: time.Second, LeaseDuration: 10 * time.Second, CancelTimeout: 20 * time.Second, MaxValueBytes: 16 << 10, MaxTxnOps: 16},
		Types:    []wire.MachineType{{Name: "m", CPUs: 8, MemoryGB: 32, CacheGB: 10, Zones: []string{"z"}}},
		Latency:  func() time.Duration { return p.latency },
		Log:      slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	s.ctx, s.group = context.Background(), &errgroup.Group{}
	view := p.View()
	s.takeEpochLocked(view)
	s.loaded, s.adoptedToken = true, view.Epoch.Token
	m := s.addMachineLocked(fleet.NewMachine("m1"), time.Now())
	if !s.applyLocked(m, &wire.Heartbeat{Machine: "m1", Address: "m1", Type: "m", Zone: "z", Incarnation: 1, Seq: 1, FencingToken: 5}) {
		t.Fatal("the first heartbeat was not taken")
	}
	return s, p, m
}

func (p *scripted) add(id, team string, priority wire.Priority, tasks int, cpus float64) *job.Record {
	r := &job.Record{Job: wire.Job{ID: id, Team: team, Kind: wire.KindArray, Priority: priority, Tasks: tasks, CPUs: cpus, Image: "i"}, Version: 1}
	p.active[id] = r
	return r
}

func wanted(id string, attempts ...uint64) *peerpb.PlaceRequest {
	w := &peerpb.Wanted{Job: id, Pending: uint32(len(attempts))}
	for i, a := range attempts {
		w.Attempts = append(w.Attempts, &peerpb.Attempt{Task: wire.TaskID(id, i), Attempt: a})
	}
	return &peerpb.PlaceRequest{Node: "peer", Token: 5, Wanted: []*peerpb.Wanted{w}}
}
