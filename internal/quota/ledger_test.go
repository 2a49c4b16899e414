package quota

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"heronwick/internal/config"
	"heronwick/internal/fleet"
	"heronwick/internal/placement"
)

// The attempts of the tests, each of 2 CPUs and a GPU.
var (
	first  = fleet.Key{Task: "wk-1/0", Attempt: 7}
	second = fleet.Key{Task: "wk-1/1", Attempt: 8}
	third  = fleet.Key{Task: "wk-1/2", Attempt: 9}
	size   = placement.Resources{CPUs: 2, GPUs: 1}
)

// newTestLedger returns a complete ledger of a team "ours" with the given limits.
func newTestLedger(log *slog.Logger, cpusMax, gpusMax float64) *Ledger {
	l := NewLedger([]config.Team{{Name: "ours", CPUsMax: cpusMax, GPUsMax: gpusMax}}, log)
	l.SetBasis(Basis{Token: 5, Assignment: 4, Revision: 12})
	return l
}

// Guards against a team that gets more than its limit of one resource because it has enough of the
// other one left.
func TestReserveRefusesWhatExceedsEitherLimit(t *testing.T) {
	for name, limit := range map[string]Amounts{
		"CPUs":              AmountsOf(placement.Resources{CPUs: 5, GPUs: 9}, 1),
		"GPUs":              AmountsOf(placement.Resources{CPUs: 9, GPUs: 2}, 1),
		"only GPUs limited": AmountsOf(placement.Resources{GPUs: 2}, 1),
	} {
		l := newTestLedger(slog.New(slog.DiscardHandler), limit.CPUs.Amount(), limit.GPUs.Amount())
		for i, want := range []Refusal{Granted, Granted, OverLimit} {
			if got := l.Reserve([]fleet.Key{first, second, third}[i], "ours", "wk-1", size); got != want {
				t.Errorf("%s, attempt %d: got %q, want %q", name, i, got, want)
			}
		}
		l.Release(first, "ours", Exited)
		if got := l.Reserve(third, "ours", "wk-1", size); got != Granted {
			t.Errorf("%s, after a release: got %q, want it granted", name, got)
		}
	}
}

// Guards against starts on usage that is not known: before the records of the assignment are read,
// and while a check has found an attempt that was not counted.
func TestReserveRefusesWhileUsageIsNotKnown(t *testing.T) {
	l := newTestLedger(slog.New(slog.DiscardHandler), 100, 0)
	check := func(when string, want Refusal) {
		t.Helper()
		if got := l.Check("ours", "wk-1", size, 1); got != want {
			t.Errorf("%s: got %q from Check, want %q", when, got, want)
		}
		if got := l.Reserve(first, "ours", "wk-1", size); got != want || l.Holds(first, "ours") != (want == Granted) {
			t.Errorf("%s: got %q from Reserve, the attempt counted %v; want %q", when, got, l.Holds(first, "ours"), want)
		}
		l.Release(first, "ours", NeverSent)
	}
	l.Suspend()
	check("suspended", Incomplete)
	l.SetBasis(Basis{Token: 6, Assignment: 6, Revision: 20})
	check("records read", Granted)
	l.SetDoubted("ours", true)
	check("doubted", Doubted)
	l.SetDoubted("ours", false)
	check("no longer doubted", Granted)
}

// Guards against an attempt that counts twice, or is subtracted twice, when it is counted or
// released again.
func TestAttemptCountsOnce(t *testing.T) {
	l := newTestLedger(slog.New(slog.DiscardHandler), 100, 0)
	for range 2 {
		l.Count(first, "ours", size)
	}
	l.Count(second, "ours", size)
	if want := AmountsOf(size, 2); l.Used("ours") != want || !l.SumMatches("ours") {
		t.Errorf("got %v used, want %v", l.Used("ours"), want)
	}
	for range 2 {
		l.Release(first, "ours", Exited)
	}
	if want := AmountsOf(size, 1); l.Used("ours") != want || !l.SumMatches("ours") {
		t.Errorf("got %v used after a release, want %v", l.Used("ours"), want)
	}
}

// Guards against a breach that leaves no trace: every grant, refusal and release says what it rests
// on.
func TestDecisionsAreLogged(t *testing.T) {
	var text bytes.Buffer
	l := newTestLedger(slog.New(slog.NewTextHandler(&text, &slog.HandlerOptions{Level: slog.LevelDebug})), 3, 2)
	basis := "team=ours used_cpus=%s limit_cpus=3 used_gpus=%s limit_gpus=2 token=5 assignment=4 revision=12"
	state := func(cpus, gpus string) string {
		return strings.Replace(strings.Replace(basis, "%s", cpus, 1), "%s", gpus, 1)
	}
	for _, step := range []struct {
		do   func()
		want string // empty if nothing is logged
	}{
		{func() { l.Reserve(first, "ours", "wk-1", size) }, `msg="start granted" ` + state("0", "0") + " task=wk-1/0 attempt=7"},
		{func() { l.Reserve(second, "ours", "wk-1", size) },
			`msg="start refused" ` + state("2", "1") + ` job=wk-1 tasks=1 why="the team would exceed its limit"`},
		{func() { l.Check("ours", "wk-1", size, 1) }, ""}, // the same once more
		{func() { l.Check("ours", "wk-2", size, 3) },
			`msg="start refused" ` + state("2", "1") + ` job=wk-2 tasks=3 why="the team would exceed its limit"`},
		{func() { l.Release(first, "ours", Exited) },
			`msg="usage released" ` + state("2", "1") + ` task=wk-1/0 attempt=7 evidence="its worker reports that it has exited"`},
		{func() { l.Count(third, "ours", size) }, `msg="attempt counted" ` + state("0", "0") + " task=wk-1/2 attempt=9"},
		{func() { l.Count(first, "ours", size) }, `level=INFO msg="a team's counted attempts exceed its limit" ` + state("4", "2")},
	} {
		text.Reset()
		if step.do(); step.want == "" && text.Len() > 0 || !strings.Contains(text.String(), step.want) {
			t.Errorf("got log %q, want %q in it", text.String(), step.want)
		}
	}
}

// Guards against a usage that is no longer the sum of its attempts without anybody noticing.
func TestUsageThatDiffersFromItsAttemptsIsNoticed(t *testing.T) {
	l := newTestLedger(slog.New(slog.DiscardHandler), 100, 0)
	l.Count(first, "ours", size)
	l.teams["ours"].used = Amounts{} // the planted fault
	if l.SumMatches("ours") {
		t.Error("got a matching sum of 0 CPUs for an attempt of 2, want it noticed")
	}
}
