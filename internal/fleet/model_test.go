package fleet

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"heronwick/wire"
)

// modelRunsVariable is the environment variable with the number of runs of
// TestModelOfMachineAndWorker, for long runs by hand.
const modelRunsVariable = "FLEET_MODEL_RUNS"

// Guards against orders of messages that no other test covers: a Machine and the model of
// a worker exchange heartbeats, replies, direct requests and responses that are slow, lost,
// late or repeated, while tokens rise, leases expire and the worker restarts. An attempt
// that the Machine considers gone or exited must not run, nor ever start any more (rules
// ran_twice and ran_cancelled). Some time after all troubles, no attempt that was stopped is left. Each run
// is named by its seed.
func TestModelOfMachineAndWorker(t *testing.T) {
	var total modelCounts
	for _, seed := range modelSeeds(t) {
		m := newModel(seed)
		m.run(3 * time.Minute)
		m.endTroubles()
		m.run(time.Minute)
		if left := m.machine.Attempts.Len(); left > 0 {
			m.violations = append(m.violations, fmt.Sprintf("%d attempts left after a minute without troubles", left))
		}
		total.add(m.counts)
		if len(m.violations) > 0 {
			t.Errorf("seed %d: got %s, want none; last events:\n%s", seed, m.violations[0], strings.Join(m.recentEvents, "\n"))
		}
	}
	t.Logf("%+v", total)
	// Without these the test would show little.
	if total.gone == 0 || total.restarts == 0 || total.copiesExecuted == 0 || total.copiesRejected == 0 || total.leasesExpired == 0 || total.requestsRefused == 0 {
		t.Errorf("got %+v, want some of each kind", total)
	}
}

// modelSeeds returns the seeds of a test of the model.
func modelSeeds(t *testing.T) []uint64 {
	t.Helper()
	runs := 400
	if text := os.Getenv(modelRunsVariable); text != "" {
		var err error
		if runs, err = strconv.Atoi(text); err != nil {
			t.Fatalf("%s: %v", modelRunsVariable, err)
		}
	}
	seeds := make([]uint64, runs)
	for i := range seeds {
		seeds[i] = uint64(i)
	}
	return seeds
}

// modelCounts count what happened in runs of the model.
type modelCounts struct {
	gone, restarts, leasesExpired, copiesExecuted, copiesRejected, requestsRefused int
}

func (c *modelCounts) add(other modelCounts) {
	c.gone += other.gone
	c.restarts += other.restarts
	c.leasesExpired += other.leasesExpired
	c.copiesExecuted += other.copiesExecuted
	c.copiesRejected += other.copiesRejected
	c.requestsRefused += other.requestsRefused
}

// The times of the model.
const (
	modelTick           = 200 * time.Millisecond
	modelReplyTimeout   = 4 * time.Second
	modelRequestTimeout = 2 * time.Second
	modelLease          = 16 * time.Second
	modelLeaseMargin    = 300 * time.Millisecond
	modelSilence        = 5 * time.Second // from then on a worker counts as silent
	modelTokenInterval  = 2 * time.Second
	modelMaxHold        = 450 * time.Millisecond
	modelMaxAttempts    = 4
)

// model is one run: a Machine with the owner's part of the protocol, and its worker.
type model struct {
	random *rand.Rand
	now    time.Time
	events modelEvents
	counts modelCounts

	// The owner.
	machine         *Machine
	token           uint64
	tokenRaisedAt   time.Time
	lastReply       time.Time
	commandPending  bool
	requestPending  bool
	attempts        int               // number of attempts added
	gone            map[Key]time.Time // attempts that the owner considers gone, since when
	cutUntil        [2]time.Time      // until when messages to and from the worker are lost
	slow            time.Duration     // maximum delay of a message
	ticksPerRestart int               // mean number of ticks between two restarts of the worker
	calm            bool              // the troubles have ended
	takeovers       *modelTakeovers   // nil if the owner never changes
	worker          modelWorker
	violations      []string
	recentEvents    []string
}

func newModel(seed uint64) *model {
	start := time.Unix(1000, 0)
	m := &model{
		random: rand.New(rand.NewPCG(seed, 7)), now: start, machine: NewMachine("m"), token: 5, tokenRaisedAt: start,
		gone: map[Key]time.Time{},
	}
	m.slow = []time.Duration{5 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond}[m.random.IntN(3)]
	m.ticksPerRestart = []int{400, 100, 40}[m.random.IntN(3)]
	m.worker = modelWorker{life: 1, incarnation: 1, leaseRenewed: start, tasks: map[Key]wire.TaskStatus{}}
	m.sendHeartbeat()
	m.tick()
	return m
}

// run plays the model for a time.
func (m *model) run(duration time.Duration) {
	end := m.now.Add(duration)
	for m.now.Before(end) && m.events.Len() > 0 && len(m.violations) == 0 {
		event := heap.Pop(&m.events).(modelEvent)
		m.now = event.at
		event.happen()
	}
}

// endTroubles ends all troubles and stops all attempts.
func (m *model) endTroubles() {
	m.logf("troubles end")
	m.calm, m.slow, m.cutUntil = true, 5*time.Millisecond, [2]time.Time{}
	for _, a := range m.machine.Attempts.All() {
		a.Stop = true
	}
}

func (m *model) logf(format string, args ...any) {
	const kept = 60
	line := fmt.Sprintf("%8.3f ", m.now.Sub(time.Unix(1000, 0)).Seconds()) + fmt.Sprintf(format, args...)
	m.recentEvents = append(m.recentEvents, line)
	m.recentEvents = m.recentEvents[max(0, len(m.recentEvents)-kept):]
}

// trouble is true once in n times, and never after the troubles have ended.
func (m *model) trouble(n int) bool { return m.chance(n) && !m.calm }

// chance is true once in n times.
func (m *model) chance(n int) bool { return m.random.IntN(n) == 0 }

// between returns a random duration.
func (m *model) between(low, high time.Duration) time.Duration {
	return low + time.Duration(m.random.Int64N(int64(high-low)+1))
}

// The directions of messages.
const (
	toWorker = iota
	fromWorker
)

// deliver delivers a message after a delay, unless it is lost.
func (m *model) deliver(direction int, receive func()) {
	if m.trouble(50) {
		return
	}
	m.after(m.between(0, m.slow), func() {
		if !m.now.Before(m.cutUntil[direction]) {
			receive()
		}
	})
}

// noteGone records which attempts the owner has removed during an action.
func (m *model) noteGone(action func()) {
	before := map[Key]bool{}
	for _, a := range m.machine.Attempts.All() {
		before[a.Key] = true
	}
	action()
	for key := range maps.Keys(before) {
		if m.machine.Attempts.Get(key) == nil {
			m.markGone(key)
		}
	}
}

// markGone records that the owner considers an attempt gone: from now on it may place its
// task again.
func (m *model) markGone(key Key) {
	if _, gone := m.gone[key]; !gone {
		m.logf("owner: %+v is gone", key)
		m.gone[key] = m.now
		m.counts.gone++
		if m.runs(key) {
			m.violations = append(m.violations, fmt.Sprintf("%s/%d runs, which is considered gone", key.Task, key.Attempt))
		}
	}
}

// runs reports whether an attempt runs on the worker.
func (m *model) runs(key Key) bool {
	status, known := m.worker.tasks[key]
	return known && status.State == wire.TaskRunning && m.now.Sub(m.worker.leaseRenewed) <= modelLease
}

func (m *model) handle(h *wire.Heartbeat, life int, events []Event, result Result) {
	m.logf("owner: heartbeat %d/%d token %d of life %d: %v, %d events", h.Incarnation, h.Seq, h.FencingToken, life, result, len(events))
	if result == Restarted {
		m.machine.BeginRestart(h, m.token+1, m.now)
		m.raiseToken()
	}
	for _, e := range events {
		if e.Kind == Exited {
			m.markGone(e.Attempt.Key)
		}
		if e.Kind == Exited || e.Kind == Found && e.Attempt.Exited() {
			m.after(m.between(0, 3*time.Second), func() { e.Attempt.ExitProcessed = true })
		}
		if e.Kind == Found && !e.Attempt.Exited() {
			e.Attempt.Stop = true
		}
	}
}

// receiveHeartbeat applies a heartbeat, and replies after holding the reply for a time.
func (m *model) receiveHeartbeat(h *wire.Heartbeat, life int, reply func(*wire.HeartbeatReply)) {
	owner, awaited := m.machine, false
	m.noteGone(func() {
		events, result := owner.ApplyHeartbeat(h, m.now)
		m.handle(h, life, events, result)
		awaited = result == Applied || result == Overtaken
		if result != Applied && !owner.RestartPending() {
			m.request(nil)
		}
	})
	hold := time.Duration(0)
	if awaited && m.chance(2) {
		hold = m.between(0, modelMaxHold)
	}
	m.after(hold, func() {
		if owner != m.machine {
			return
		}
		response := &wire.HeartbeatReply{FencingToken: m.token}
		if awaited && owner.IsNewest(h) {
			response.Commands = owner.ReplyCommands(m.token)
		}
		m.lastReply = m.now
		reply(response)
	})
}

// request sends a probe, or a request with the token and no commands.
func (m *model) request(req *wire.CommandRequest) {
	if m.requestPending {
		return
	}
	m.requestPending = true
	m.send(req, func(bool) { m.requestPending = false })
}

// sendCommands sends the commands that are due.
func (m *model) sendCommands() {
	if m.commandPending || !m.machine.HeartbeatSeen {
		return
	}
	req := m.machine.DirectRequest(m.token)
	if req == nil {
		return
	}
	m.commandPending = true
	m.send(req, func(answered bool) {
		m.commandPending = false
		if !answered {
			m.machine.DirectRequestFailed()
		}
	})
}

// send sends a direct request. It may be slow, held up for long, lost, or repeated.
func (m *model) send(req *wire.CommandRequest, ended func(answered bool)) {
	sent, over, owner := m.machine.Position(), false, m.machine
	m.after(modelRequestTimeout, func() {
		if !over && owner == m.machine {
			over = true
			ended(false)
		}
	})
	receive := func() {
		h, life := m.receiveRequest(req, false), m.worker.life
		m.deliver(fromWorker, func() {
			if over || owner != m.machine {
				return
			}
			over = true
			ended(true)
			m.noteGone(func() {
				events, result := m.machine.ApplyResponse(h, sent, m.now)
				m.handle(h, life, events, result)
			})
		})
	}
	if m.trouble(8) {
		m.after(m.between(time.Second, 20*time.Second), receive)
	} else {
		m.deliver(toWorker, receive)
	}
	if req != nil && m.trouble(3) {
		m.after(m.between(100*time.Millisecond, 60*time.Second), func() { m.receiveRequest(req, true) })
	}
}

func (m *model) raiseToken() {
	if m.now.Sub(m.tokenRaisedAt) > modelTokenInterval {
		m.tokenRaisedAt = m.now
		m.after(m.between(5*time.Millisecond, 200*time.Millisecond), func() { m.token++ })
	}
}

// tick does what the owner does periodically, and what happens by chance.
func (m *model) tick() {
	m.after(modelTick, m.tick)
	m.changeOwner()
	machine := m.machine
	if machine.NeedsHigherFencingToken(m.token) || m.chance(300) {
		m.raiseToken()
	}
	if machine.RestartPending() && machine.RestartFence() <= m.token {
		m.request(&wire.CommandRequest{FencingToken: m.token, Incarnation: machine.Incarnation, Commands: []wire.Command{}})
	}
	m.expireMachineLease()
	m.changeAttempts()
	if m.chance(3) {
		m.sendCommands()
	}
	if m.chance(5) || machine.Doubted() {
		m.request(nil)
	}
	switch {
	case m.trouble(m.ticksPerRestart):
		m.restart()
	case m.trouble(200):
		m.cutUntil[m.random.IntN(2)] = m.now.Add(m.between(time.Second, 25*time.Second))
	}
}

func (m *model) expireMachineLease() {
	last := m.lastReply
	if m.machine.IncarnationSeenAt.After(last) {
		last = m.machine.IncarnationSeenAt
	}
	silent := m.now.Sub(m.machine.LastHeartbeat) > modelSilence
	if silent && m.machine.HeartbeatSeen && m.machine.ActiveCount() > 0 && m.now.Sub(last) > modelLease+modelLeaseMargin {
		m.counts.leasesExpired++
		m.logf("owner: lease of incarnation %d has expired", m.machine.Incarnation)
		m.noteGone(func() { m.machine.MarkLeaseExpired() })
	}
}

// changeAttempts adds an attempt or stops one, by chance. Like a scheduler, it adds none
// while the worker is silent.
func (m *model) changeAttempts() {
	machine := m.machine
	responsive := machine.HeartbeatSeen && m.now.Sub(machine.LastHeartbeat) < modelSilence && !m.awaitsToken()
	if responsive && !machine.RestartPending() && machine.ActiveCount() < modelMaxAttempts && m.trouble(8) {
		m.attempts++
		a := &Attempt{Key: Key{wire.TaskID("wk-1", m.attempts), uint64(m.attempts)}, Job: "wk-1", Index: m.attempts, Recorded: true}
		machine.Add(a, m.now)
		m.record(a)
	}
	for _, a := range machine.Attempts.All() {
		if !a.Exited() && m.chance(40) {
			a.Stop = true
		}
	}
}
