package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"heronwick/wire"
)

// modelTakeovers is the part of a model whose owner changes: the next owner knows the machine
// from its records only, and what the last one has sent may still arrive.
type modelTakeovers struct {
	count  int
	token  uint64         // of the current owner; it is told to the worker
	stored map[Key]uint64 // attempts in the store, with the incarnation of their record
}

// lateReportSeeds are seeds in which a late report from before a restart shows a higher
// incarnation than the records that a new owner has read.
var lateReportSeeds = []uint64{1315, 8489, 9880}

// Guards against orders of messages in which a task starts on a machine where a new owner, who
// knows it from its records, considers it gone: as TestModelOfMachineAndWorker, and owners
// change.
func TestModelOfMachineAndWorkerWithTakeovers(t *testing.T) {
	var total modelCounts
	takeovers := 0
	for _, seed := range append(lateReportSeeds, modelSeeds(t)...) {
		m := runWithTakeovers(t, seed)
		total.add(m.counts)
		takeovers += m.takeovers.count
	}
	t.Logf("%+v, %d takeovers", total, takeovers)
	if total.gone == 0 || total.restarts == 0 || total.copiesExecuted == 0 || takeovers == 0 {
		t.Errorf("got %+v and %d takeovers, want some of each kind", total, takeovers)
	}
}

// Guards against a late report, under the new owner's token, of a life of the worker that the
// new owner has not heard from before a later one: a start in a reply then counts as excluded.
func TestTakeoverWithLateReportOfUnseenLife(t *testing.T) { runWithTakeovers(t, 7603) }

// Guards against an exit that a report from before a restart shows to a new owner, while a copy
// of the start can run the task again.
func TestTakeoverWithExitFromBeforeRestart(t *testing.T) {
	runWithTakeovers(t, 15347)
	runWithTakeovers(t, 17353)
}

// Guards against a lease that a new owner counts from its takeover, though the worker has
// restarted since, with the incarnation of the records.
func TestTakeoverWithLeaseOfRestartedWorker(t *testing.T) { runWithTakeovers(t, 6162) }

// runWithTakeovers plays a model whose owner changes, and reports violations.
func runWithTakeovers(t *testing.T, seed uint64) *model {
	t.Helper()
	m := newModel(seed)
	m.takeovers = &modelTakeovers{token: m.token, stored: map[Key]uint64{}}
	m.run(3 * time.Minute)
	m.endTroubles()
	m.run(time.Minute)
	if left := m.machine.Attempts.Len(); left > 0 {
		m.violations = append(m.violations, fmt.Sprintf("%d attempts left after a minute without troubles", left))
	}
	if len(m.violations) > 0 {
		t.Errorf("seed %d: got %s, want none; last events:\n%s", seed, m.violations[0], strings.Join(m.recentEvents, "\n"))
	}
	return m
}

// awaitsToken reports whether the worker has not shown the token of the current owner yet.
func (m *model) awaitsToken() bool {
	return m.takeovers != nil && m.machine.FencingToken < m.takeovers.token
}

// record writes an attempt to a journal, before its start is sent.
func (m *model) record(a *Attempt) {
	if m.takeovers != nil {
		m.takeovers.stored[a.Key] = m.machine.Incarnation
	}
}

// changeOwner writes a checkpoint or begins a takeover, by chance, and shows the worker the
// token of the current owner.
func (m *model) changeOwner() {
	if m.takeovers == nil {
		return
	}
	switch {
	case m.chance(60):
		m.writeCheckpoint()
	case m.trouble(80):
		m.takeOver()
	}
	if m.awaitsToken() && !m.machine.RestartPending() {
		m.request(&wire.CommandRequest{FencingToken: m.token, Incarnation: m.machine.Incarnation, Commands: []wire.Command{}})
	}
}

// writeCheckpoint replaces the machine's records by one with its current attempts.
func (m *model) writeCheckpoint() {
	clear(m.takeovers.stored)
	for task, attempt := range m.machine.Record(func(a *Attempt) bool { return !a.Recorded }).Attempts {
		m.takeovers.stored[Key{task, attempt}] = m.machine.Incarnation
	}
}

// takeOver replaces the owner by one that has only read the records.
func (m *model) takeOver() {
	m.takeovers.count++
	m.token++
	m.takeovers.token = m.token
	m.logf("owner: changes, token %d", m.token)
	next := NewMachine("m")
	keys := slices.SortedFunc(maps.Keys(m.takeovers.stored), func(a, b Key) int { return cmp.Compare(a.Attempt, b.Attempt) })
	for _, key := range keys {
		record := Record{Address: "m", Type: "t", Incarnation: m.takeovers.stored[key], Attempts: map[string]uint64{key.Task: key.Attempt}}
		next.MergeRecord(record, m.token, m.now)
	}
	next.IncarnationSeenAt, next.LastHeartbeat = m.now, m.now
	m.machine, m.lastReply = next, m.now
	m.commandPending, m.requestPending = false, false
}
