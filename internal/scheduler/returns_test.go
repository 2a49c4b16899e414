package scheduler

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"heronwick/internal/autoscale"
	"heronwick/internal/detector"
	"heronwick/internal/duty"
	"heronwick/internal/fleet"
	"heronwick/internal/state"
	"heronwick/wire"
)

// returnRecorder is a cloud that records the machines returned to it.
type returnRecorder struct {
	mu    sync.Mutex
	names []string
}

// Rent implements duty.Provider.
func (r *returnRecorder) Rent(context.Context, wire.RentRequest) ([]string, error) { return nil, nil }

// Return implements duty.Provider.
func (r *returnRecorder) Return(_ context.Context, machines []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.names = append(r.names, machines...)
	return nil
}

// actionsWithoutDuty returns actions with single duties enabled, none of which this
// controller holds, as in an outage of the store.
func actionsWithoutDuty(provider duty.Provider) *duty.Actions {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	cache, history := duty.NewRecordCache(log), duty.NewHistory()
	membership := func() duty.Membership { return duty.Membership{} }
	manager := duty.NewManager(duty.ManagerOptions{Lease: time.Minute, Ready: func() bool { return true }, Membership: membership, RecordCache: cache, History: history, Log: log})
	return duty.NewActions(duty.ActionsOptions{Provider: provider, Manager: manager, RecordCache: cache, Membership: membership, MaxValueBytes: 1 << 10, History: history, Log: log})
}

// A machine is not returned unless the return is recorded. It stays usable, and the
// return is tried again later. But a machine that may have a cancelled task is
// returned in time even during an outage of the store.
func TestReturnWithoutTheDuty(t *testing.T) {
	for _, test := range []struct {
		reason autoscale.ReturnReason
		sent   bool
	}{{autoscale.ReasonIdle, false}, {autoscale.ReasonOverdueTask, true}} {
		s, _, m := newTestScheduler(t)
		cloud := &returnRecorder{}
		s.opts.Actions = actionsWithoutDuty(cloud)
		s.mu.Lock()
		s.returnLocked([]*machine{m}, test.reason)
		s.mu.Unlock()
		_ = s.group.Wait()
		if sent := slices.Contains(cloud.names, m.Name); sent != test.sent {
			t.Errorf("%s: got return sent %v, want it sent only for an overdue task", test.reason, sent)
		}
		if !test.sent && (m.returning || s.machines[m.Name] != m || !time.Now().Before(m.returnNotBefore)) {
			t.Errorf("%s: got machine %+v, want it kept and its return delayed", test.reason, m)
		}
	}
}

// Nothing is placed on a machine for which a previous owner has recorded a return
// intent. Its new owner returns it, even if tasks run on it.
func TestMachineWithReturnIntentIsNotUsed(t *testing.T) {
	s, _, m := newTestScheduler(t)
	now := time.Now()
	if !s.usableLocked(m, now) {
		t.Fatal("machine without a return intent: unusable, want it usable")
	}
	m.returnIntent = true
	if s.usableLocked(m, now) || s.canHandOverLocked(m, now) {
		t.Error("machine with a return intent: usable or ready for handover, want neither")
	}
	if reason := s.returnReasonLocked(m, &detector.Assessment{}, now); reason != autoscale.ReasonExistingIntent {
		t.Errorf("got return reason %q, want the recorded intent", reason)
	}
}

// schedulerWithReturnIntent returns a scheduler that knows a peer's intent to return
// m7.
func schedulerWithReturnIntent(t *testing.T) *Scheduler {
	s, _, _ := newTestScheduler(t)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	cache := duty.NewRecordCache(log)
	cache.Apply([]wire.Event{{Put: state.MemberKey("cluster/duty/condemned/", "peer", 1, "1"), Value: []byte(`{"machines":["m7"]}`), Version: 3}}, 3)
	history := duty.NewHistory()
	s.opts.Actions = duty.NewActions(duty.ActionsOptions{RecordCache: cache, History: history, Log: log,
		Membership: func() duty.Membership { return duty.Membership{Members: map[string]uint64{"peer": 1}} },
		Manager:    duty.NewManager(duty.ManagerOptions{RecordCache: cache, History: history, Log: log})})
	return s
}

// The cloud's list lags behind: a machine with a return intent is still on the list,
// even if it was returned. It is not expected to boot, and nothing is planned on it.
func TestReturnIntentOutlastsALaggingList(t *testing.T) {
	s := schedulerWithReturnIntent(t)
	s.applyMachineList([]wire.Machine{{ID: "m7", Type: "m", Zone: "z", State: wire.MachineBooting}, {ID: "m8", Type: "m", Zone: "z", State: wire.MachineBooting}}, time.Now())
	if slices.Contains(s.inventory.Booting(), "m7") || !slices.Contains(s.inventory.Booting(), "m8") {
		t.Errorf("got booting machines %v, want m8 and not m7", s.inventory.Booting())
	}
	s.applyRentalLocked(wire.RentRequest{Type: "m", Zone: "z", Count: 2}, []string{"m7", "m9"}, nil)
	if slices.Contains(s.inventory.Booting(), "m7") || !slices.Contains(s.inventory.Booting(), "m9") {
		t.Errorf("got booting machines %v after a repeated rental, want m9 and not m7", s.inventory.Booting())
	}
}

// The return intent of a machine that joins is known, whichever controller recorded
// it.
func TestReturnIntentIsKnownWhenAMachineJoins(t *testing.T) {
	s := schedulerWithReturnIntent(t)
	m := s.addMachineLocked(fleet.NewMachine("m7"), time.Now())
	if !s.applyHeartbeatLocked(m, &wire.Heartbeat{Machine: "m7", Address: "m7", Type: "m", Zone: "z", Incarnation: 1, Seq: 1, FencingToken: 5}) {
		t.Fatal("first heartbeat was not applied")
	}
	if !m.returnIntent || s.usableLocked(m, time.Now()) {
		t.Errorf("got machine %+v, want it unusable with its return intent known", m)
	}
}
