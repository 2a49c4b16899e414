package packing

import (
	"iter"
	"slices"
	"testing"
	"time"

	"heronwick/internal/fleet"
	"heronwick/internal/job"
	"heronwick/internal/placement"
	"heronwick/internal/queue"
	"heronwick/wire"
)

// testMachines implements Scheduler for tests.
type testMachines []*Machine

func (s *testMachines) Machines() iter.Seq[*Machine]          { return slices.Values(*s) }
func (s *testMachines) AnyMachine(f func(*Machine) bool) bool { return slices.ContainsFunc(*s, f) }
func (s *testMachines) Owns(m *Machine) bool                  { return slices.Contains(*s, m) }
func (s *testMachines) MaxAttempts() int                      { return 100 }

var testType = &wire.MachineType{Name: "m", CPUs: 8, MemoryGB: 32}

// newTestPacker returns a packer with idle machines of 8 CPUs in the given order, and
// the machines by name.
func newTestPacker(names ...string) (*Packer, map[string]*Machine) {
	machines := &testMachines{}
	byName := map[string]*Machine{}
	for _, name := range names {
		m := fleet.NewMachine(name)
		m.Type, m.TypeName, m.Zone = testType, testType.Name, "z"
		byName[name] = NewMachine(m, func(time.Time) bool { return true })
		*machines = append(*machines, byName[name])
	}
	p := New(machines)
	p.BeginPass()
	return p, byName
}

// newTestJob returns a job of 100 tasks with the given CPUs each and the image "i".
func newTestJob(id string, kind wire.Kind, cpus float64) *queue.Job {
	r := &job.Record{Job: wire.Job{ID: id, Team: "ours", Kind: kind, Priority: wire.PriorityNormal, Tasks: 100, CPUs: cpus, Image: "i"}}
	return queue.NewJob(r, nil, map[string]*wire.MachineType{testType.Name: testType})
}

// place books a task of the job on m, as the scheduler does.
func place(m *Machine, queued *queue.Job, attempt uint64, now time.Time) {
	m.Add(&fleet.Attempt{Key: fleet.Key{Task: queued.Record.Job.ID, Attempt: attempt}, Size: queued.Size, SizeKnown: true, Service: queued.IsService()}, now)
	m.RoomChanged()
}

// Tasks are placed on the most recently used open machine that fits. An idle machine is
// opened only if no open one fits: spot machines before ordinary ones, then by name.
func TestFindAnyMovesToFrontAndOpensIdleLast(t *testing.T) {
	p, machines := newTestPacker("m2", "m1", "m3")
	machines["m3"].Spot = true
	now := time.Now()
	small, large := newTestJob("wk-1", wire.KindArray, 2), newTestJob("wk-2", wire.KindArray, 6)
	small.Record.Job.Spot, large.Record.Job.Spot = true, true // spot machines are allowed
	for i, step := range []struct {
		queued *queue.Job
		want   string
	}{
		{large, "m3"}, // idle, spot machine first
		{large, "m1"}, // idle, first by name
		{small, "m1"}, // most recently used
		{small, "m3"}, // m1 is full
		{large, "m2"},
	} {
		m := p.FindAny(step.queued, now)
		if m == nil || m.Name != step.want {
			t.Fatalf("placement %d: got %+v, want %s", i, m, step.want)
		}
		place(m, step.queued, uint64(i), now)
	}
	if order := p.Open.Order(); order[0] != machines["m2"] || order[1] != machines["m3"] || order[2] != machines["m1"] {
		t.Error("got another order of open machines, want the most recently used first")
	}
	if m := p.FindAny(large, now); m != nil {
		t.Errorf("got %s for a task that fits nowhere, want none", m.Name)
	}
}

// FindWithImage returns only machines that hold the job's image, including idle ones. If
// none holds it, it returns nil although other machines have room.
func TestFindWithImage(t *testing.T) {
	p, machines := newTestPacker("m1", "m2")
	now := time.Now()
	queued := newTestJob("wk-1", wire.KindArray, 2)
	if m := p.FindWithImage(queued, now); m != nil {
		t.Errorf("got %s, which doesn't hold the image, want none", m.Name)
	}
	p.Open.MoveToFront(machines["m1"])
	machines["m2"].CachedImages["i"] = fleet.CachedImage{GB: 1}
	if m := p.FindWithImage(queued, now); m != machines["m2"] {
		t.Errorf("got %+v, want the idle machine that holds the image", m)
	}
	if !p.Open.Has(machines["m2"]) {
		t.Error("the machine was not opened")
	}
}

// Replicas of a service take at most half of a machine as long as another machine can
// take them: the failure of a machine that held them all would stop the service.
func TestServiceIsNotStacked(t *testing.T) {
	p, machines := newTestPacker("m1", "m2")
	now := time.Now()
	service := newTestJob("wk-1", wire.KindService, 3)
	for i, want := range []string{"m1", "m2", "m2", "m1"} {
		m := p.FindAny(service, now)
		if m != machines[want] {
			t.Fatalf("replica %d: got %+v, want %s", i, m, want)
		}
		place(m, service, uint64(i), now)
	}
}

// Once a pass has found no room for a class of tasks, the class counts as full until
// room is freed.
func TestFullUntilRoomIsFreed(t *testing.T) {
	p, _ := newTestPacker("m1")
	now := time.Now()
	first, same, other := newTestJob("wk-1", wire.KindArray, 2), newTestJob("wk-2", wire.KindArray, 2), newTestJob("wk-3", wire.KindArray, 1)
	p.SetFull(first)
	if !p.Full(same, now) || p.Full(other, now) {
		t.Errorf("got full: %v for the same class, %v for another class; want true, false", p.Full(same, now), p.Full(other, now))
	}
	p.RoomFreed()
	if p.Full(same, now) {
		t.Error("the class still counts as full after room was freed")
	}
}

// Room that is reserved for a hosted job is available to this job only, until the
// reservation is used or times out.
func TestReservations(t *testing.T) {
	p, machines := newTestPacker("m1")
	now := time.Now()
	hosted, other := newTestJob("wk-1", wire.KindArray, 6), newTestJob("wk-2", wire.KindArray, 6)
	hosted.OwnerUnplaced = 1
	p.Reserve(hosted, 10, queue.ImageOptional, now)
	m := machines["m1"]
	if p.Fits(other, m, now) || !p.Fits(hosted, m, now) {
		t.Errorf("got fits: %v for another job, %v for the hosted job; want false, true", p.Fits(other, m, now), p.Fits(hosted, m, now))
	}
	if !p.Fits(other, m, now.Add(ReservationTimeout)) {
		t.Error("the reservation is still in effect after its timeout")
	}
	m.Reserve("wk-1", placement.Resources{CPUs: 6}, now)
	m.UseReservation("wk-1")
	if !p.Fits(other, m, now) {
		t.Error("the reservation is still in effect after it was used")
	}
}
