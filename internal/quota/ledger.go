package quota

import (
	"context"
	"iter"
	"log/slog"

	"heronwick/internal/config"
	"heronwick/internal/fleet"
	"heronwick/internal/placement"
)

// Basis is what the usage rests on: the epoch's token, the assignment that made this
// controller the owner of its teams, and the revision of the records that were read for it.
type Basis struct {
	Token, Assignment, Revision uint64
}

// Ledger holds, by team, the attempts that may be on machines.
type Ledger struct {
	log      *slog.Logger
	teams    map[string]*team
	basis    Basis
	complete bool // the usage includes all that the records of basis show
}

// team is the usage of one team. A limit of 0 means none.
type team struct {
	guarantee, limit Amounts
	held             map[fleet.Key]Amounts
	used             Amounts            // sum of held
	doubted          bool               // a check has found an attempt that was not counted
	refusals         map[string]Refusal // by job, those logged since the usage last changed
}

// NewLedger returns a ledger in which no team uses anything. It is incomplete until SetBasis.
func NewLedger(settings []config.Team, log *slog.Logger) *Ledger {
	l := &Ledger{log: log, teams: map[string]*team{}}
	for _, configured := range settings {
		t := l.team(configured.Name)
		t.guarantee = Amounts{CPUs: placement.QuantityOf(configured.CPUs), GPUs: placement.QuantityOf(configured.GPUs)}
		t.limit = Amounts{CPUs: placement.QuantityOf(configured.CPUsMax), GPUs: placement.QuantityOf(configured.GPUsMax)}
	}
	return l
}

// team returns the usage of a team, which it adds if the team is not configured.
func (l *Ledger) team(name string) *team {
	t := l.teams[name]
	if t == nil {
		t = &team{held: map[fleet.Key]Amounts{}, refusals: map[string]Refusal{}}
		l.teams[name] = t
	}
	return t
}

// SetBasis records that the usage includes all attempts that the records of a basis show.
func (l *Ledger) SetBasis(basis Basis) { l.basis, l.complete = basis, true }

// SetToken records that the epoch has a higher token and the same assignment.
func (l *Ledger) SetToken(token uint64) { l.basis.Token = token }

// Revision returns the revision of the records that the usage rests on.
func (l *Ledger) Revision() uint64 { return l.basis.Revision }

// Suspend makes the ledger refuse every start until SetBasis.
func (l *Ledger) Suspend() { l.complete = false }

// Check returns whether the given number of further tasks of a job may start, and logs a
// refusal.
func (l *Ledger) Check(name, job string, size placement.Resources, tasks int) Refusal {
	t := l.team(name)
	why := l.refusal(t, AmountsOf(size, tasks))
	if why != Granted {
		l.logRefusal(name, t, job, tasks, why)
	}
	return why
}

// refusal returns why a team may not use more by the given amounts, or Granted.
func (l *Ledger) refusal(t *team, more Amounts) Refusal {
	switch {
	case !l.complete:
		return Incomplete
	case t.limit.isZero():
		return Granted
	case t.doubted:
		return Doubted
	case t.used.plus(more).exceedsLimit(t.limit):
		return OverLimit
	}
	return Granted
}

// Reserve counts an attempt that is about to be recorded and started, unless it is refused.
func (l *Ledger) Reserve(key fleet.Key, name, job string, size placement.Resources) Refusal {
	t, amounts := l.team(name), AmountsOf(size, 1)
	if why := l.refusal(t, amounts); why != Granted {
		l.logRefusal(name, t, job, 1, why)
		return why
	}
	l.logChange("start granted", name, t, key)
	t.add(key, amounts)
	return Granted
}

// Count counts an attempt that may already be on a machine, whatever the limit is.
func (l *Ledger) Count(key fleet.Key, name string, size placement.Resources) {
	t := l.team(name)
	l.logChange("attempt counted", name, t, key)
	within := !t.used.exceedsLimit(t.limit)
	t.add(key, AmountsOf(size, 1))
	if within && t.used.exceedsLimit(t.limit) {
		// Either the limit was broken, or records still name attempts that are gone.
		l.log.LogAttrs(context.Background(), slog.LevelInfo, "a team's counted attempts exceed its limit", append(l.state(name, t), keyAttrs(key)...)...)
	}
}

// Release no longer counts an attempt.
func (l *Ledger) Release(key fleet.Key, name string, evidence Evidence) {
	t := l.team(name)
	l.logChange("usage released", name, t, key, slog.String("evidence", string(evidence)))
	t.remove(key)
}

// Holds reports whether an attempt of a team is counted.
func (l *Ledger) Holds(key fleet.Key, name string) bool {
	t := l.teams[name]
	if t == nil {
		return false
	}
	_, held := t.held[key]
	return held
}

func (t *team) add(key fleet.Key, amounts Amounts) {
	t.remove(key)
	t.held[key] = amounts
	t.used = t.used.plus(amounts)
}

func (t *team) remove(key fleet.Key) {
	t.used = t.used.minus(t.held[key])
	delete(t.held, key)
	clear(t.refusals)
}

// SetDoubted records whether the last check has found an attempt of a team that was not
// counted. The team gets no starts while its usage is doubted.
func (l *Ledger) SetDoubted(name string, doubted bool) { l.team(name).doubted = doubted }

// IsDoubted reports whether the last check has found an attempt of a team that was not counted.
func (l *Ledger) IsDoubted(name string) bool {
	t := l.teams[name]
	return t != nil && t.doubted
}

// SumMatches reports whether a team's usage is the sum of its counted attempts.
func (l *Ledger) SumMatches(name string) bool {
	t := l.team(name)
	var sum Amounts
	for _, amounts := range t.held {
		sum = sum.plus(amounts)
	}
	return sum == t.used
}

// Used returns what a team uses.
func (l *Ledger) Used(name string) Amounts {
	if t := l.teams[name]; t != nil {
		return t.used
	}
	return Amounts{}
}

// Guaranteed reports whether one more task of a size stays within a team's guarantee.
func (l *Ledger) Guaranteed(name string, size placement.Resources) bool {
	t := l.team(name)
	return !t.used.plus(AmountsOf(size, 1)).exceeds(t.guarantee)
}

// AboveGuarantee reports whether a team uses more CPUs than its guarantee. It is false for a
// team with neither a guarantee nor a limit on CPUs.
func (l *Ledger) AboveGuarantee(name string) bool {
	t := l.teams[name]
	return t != nil && (t.guarantee.CPUs > 0 || t.limit.CPUs > 0) && t.used.CPUs.Exceeds(t.guarantee.CPUs)
}

// AnyAboveGuarantee reports whether AboveGuarantee is true for any team.
func (l *Ledger) AnyAboveGuarantee() bool {
	for name := range l.teams {
		if l.AboveGuarantee(name) {
			return true
		}
	}
	return false
}

// Limited returns the names of the teams that have a limit.
func (l *Ledger) Limited() iter.Seq[string] {
	return func(yield func(string) bool) {
		for name, t := range l.teams {
			if !t.limit.isZero() && !yield(name) {
				return
			}
		}
	}
}

// IsLimited reports whether a team has a limit.
func (l *Ledger) IsLimited(name string) bool {
	t := l.teams[name]
	return t != nil && !t.limit.isZero()
}

// UsedByTeam returns, by name, what each team uses for which include returns true.
func (l *Ledger) UsedByTeam(include func(team string) bool) map[string]Amounts {
	used := map[string]Amounts{}
	for name, t := range l.teams {
		if include(name) {
			used[name] = t.used
		}
	}
	return used
}

// logRefusal logs that tasks of a job are refused. A refusal that is repeated in every pass is
// logged once, until the team's usage changes.
func (l *Ledger) logRefusal(name string, t *team, job string, tasks int, why Refusal) {
	if t.refusals[job] == why || !l.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	t.refusals[job] = why
	l.log.LogAttrs(context.Background(), slog.LevelDebug, "start refused",
		append(l.state(name, t), slog.String("job", job), slog.Int("tasks", tasks), slog.String("why", string(why)))...)
}

// logChange logs that an attempt is about to be counted or released.
func (l *Ledger) logChange(message, name string, t *team, key fleet.Key, more ...slog.Attr) {
	if !l.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	attrs := append(l.state(name, t), keyAttrs(key)...)
	l.log.LogAttrs(context.Background(), slog.LevelDebug, message, append(attrs, more...)...)
}

// keyAttrs returns the attributes that name an attempt.
func keyAttrs(key fleet.Key) []slog.Attr {
	return []slog.Attr{slog.String("task", key.Task), slog.Uint64("attempt", key.Attempt)}
}

// state returns the attributes that describe a team's usage and what it rests on.
func (l *Ledger) state(name string, t *team) []slog.Attr {
	return []slog.Attr{
		slog.String("team", name),
		slog.Float64("used_cpus", t.used.CPUs.Amount()), slog.Float64("limit_cpus", t.limit.CPUs.Amount()),
		slog.Float64("used_gpus", t.used.GPUs.Amount()), slog.Float64("limit_gpus", t.limit.GPUs.Amount()),
		slog.Uint64("token", l.basis.Token), slog.Uint64("assignment", l.basis.Assignment), slog.Uint64("revision", l.basis.Revision),
	}
}
