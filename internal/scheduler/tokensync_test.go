package scheduler

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"heronwick/internal/fleet"
	"heronwick/internal/recovery"
	"heronwick/wire"
)

// slowWorkers answers each command after 100 ms. It counts the commands by worker and
// records the highest number in flight at a time.
type slowWorkers struct {
	fakeEnvironment
	inFlight, peak int
	commands       map[string]int // by worker
}

func (w *slowWorkers) Command(_ context.Context, address string, _ *wire.CommandRequest) (*wire.Heartbeat, error) {
	w.mu.Lock()
	w.inFlight++
	w.peak = max(w.peak, w.inFlight)
	w.commands[address]++
	w.mu.Unlock()
	time.Sleep(100 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
	return &wire.Heartbeat{Machine: address, Address: address, Type: "m", Zone: "z", Incarnation: 1, Seq: 1, FencingToken: 5}, nil
}

// A takeover of thousands of machines sends the token to a limited number of workers
// at a time, and to none that has sent a heartbeat meanwhile. A connection to every
// worker at once, in addition to the workers' own connections, needed more sockets
// than there are.
func TestTakeoverLimitsConcurrentCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := newTestScheduler(t)
		w := &slowWorkers{commands: map[string]int{}}
		s.opts.Workers = w
		s.mu.Lock()
		for i := range 2000 {
			r := fleet.Record{Address: fmt.Sprint("n", i), Type: "m", Zone: "z", Incarnation: 1}
			s.adoptMachineLocked(fleet.FromRecord(r.Address, r, 5, time.Now()), nil, recovery.Records{}, time.Now())
		}
		s.applyHeartbeatLocked(s.machines["n1999"], &wire.Heartbeat{Machine: "n1999", Address: "n1999", Type: "m", Zone: "z", Incarnation: 1, Seq: 9, FencingToken: 5})
		s.mu.Unlock()
		time.Sleep(5 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		if w.peak > maxTokenRequests {
			t.Errorf("got %d commands in flight at a time, want at most maxTokenRequests", w.peak)
		}
		for name, m := range s.machines {
			if !s.synced(m) || w.commands[name] > 1 {
				t.Fatalf("%s: got synced %v after %d commands, want it synced after one at most", name, s.synced(m), w.commands[name])
			}
		}
		if w.commands["n1999"] > 0 {
			t.Error("got a command to a worker that had sent a heartbeat, want none")
		}
	})
}

// A controller with a small part of a core sends the token no faster than half of its
// time allows: the heartbeats that workers send by themselves take precedence.
func TestTakeoverRateIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := newTestScheduler(t)
		w := &slowWorkers{commands: map[string]int{}}
		s.opts.Workers = w
		s.tokenSync.rate = tokenRequestRate(0.05)
		s.mu.Lock()
		for i := range 600 {
			r := fleet.Record{Address: fmt.Sprint("n", i), Type: "m", Zone: "z", Incarnation: 1}
			s.adoptMachineLocked(fleet.FromRecord(r.Address, r, 5, time.Now()), nil, recovery.Records{}, time.Now())
		}
		s.mu.Unlock()
		time.Sleep(time.Second)
		w.mu.Lock()
		if n := len(w.commands); n < 100 || n > 300 {
			t.Errorf("got commands to %d workers within a second, want 100 to 300", n)
		}
		w.mu.Unlock()
		time.Sleep(5 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		for name, m := range s.machines {
			if !s.synced(m) {
				t.Fatalf("%s: machine is not synced, want it synced", name)
			}
		}
	})
}
