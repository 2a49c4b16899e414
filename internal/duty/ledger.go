package duty

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"

	"heronwick/internal/state"
	"heronwick/wire"
)

// Ledger is what this controller has seen of duties and intents in the store. Its
// keys are watched together with the epoch. It decides nothing.
type Ledger struct {
	log *slog.Logger

	mu       sync.Mutex
	revision uint64 // everything up to here has been seen
	entries  map[string]entry
	// What the entries say, by what is asked for.
	holders  map[ID]holder
	sessions map[string]uint64 // by node, the version of its session key
	machines map[string]string // condemned, with the intent's key
}

// entry is a key of this package as it was last seen.
type entry struct {
	version   uint64
	condemned *condemnedRecord
	rental    *rentalRecord
}

// holder is who holds a duty.
type holder struct {
	holderRecord
	token   uint64
	damaged bool
}

// NewLedger makes a Ledger that has seen nothing.
func NewLedger(log *slog.Logger) *Ledger {
	return &Ledger{log: log, entries: map[string]entry{}, holders: map[ID]holder{}, sessions: map[string]uint64{}, machines: map[string]string{}}
}

// Replace takes a listing of all keys as of a revision. What was seen since stays.
func (l *Ledger) Replace(items []wire.Item, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := map[string]bool{}
	for _, item := range items {
		if isOwnKey(item.Key) {
			listed[item.Key] = true
			l.putLocked(item.Key, item.Value, item.Version)
		}
	}
	for key, e := range l.entries {
		if !listed[key] && e.version <= revision {
			l.deleteLocked(key)
		}
	}
	l.revision = max(l.revision, revision)
}

// Apply takes what a watch has shown up to a revision.
func (l *Ledger) Apply(events []wire.Event, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range events {
		switch {
		case !isOwnKey(e.Put + e.Delete):
		case e.Put != "":
			l.putLocked(e.Put, e.Value, e.Version)
		case l.entries[e.Delete].version < e.Version:
			l.deleteLocked(e.Delete)
		}
	}
	l.revision = max(l.revision, revision)
}

// note takes an own write before the watch tells of it.
func (l *Ledger) note(key string, value json.RawMessage, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.putLocked(key, value, version)
}

// forget takes the removal of a key by an own write, of the version that was removed.
func (l *Ledger) forget(key string, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries[key].version == version {
		l.deleteLocked(key)
	}
}

func (l *Ledger) putLocked(key string, value json.RawMessage, version uint64) {
	if version <= l.entries[key].version {
		return
	}
	l.deleteLocked(key)
	e := entry{version: version}
	var err error
	switch {
	case strings.HasPrefix(key, holderPrefix):
		err = l.putHolderLocked(strings.TrimPrefix(key, holderPrefix), value, version)
	case strings.HasPrefix(key, sessionPrefix):
		l.sessions[strings.TrimPrefix(key, sessionPrefix)] = version
	case strings.HasPrefix(key, condemnedPrefix):
		e.condemned = &condemnedRecord{}
		err = json.Unmarshal(value, e.condemned)
		// Of a damaged one, whatever could be read counts.
		for _, machine := range e.condemned.Machines {
			l.machines[machine] = key
		}
	case strings.HasPrefix(key, rentalPrefix):
		e.rental = &rentalRecord{}
		err = json.Unmarshal(value, e.rental)
	}
	if err != nil {
		e.rental = nil
		l.log.Error("a record of duties cannot be read; nothing is taken for free because of it", "key", key, "version", version, "err", err)
	}
	l.entries[key] = e
}

func (l *Ledger) putHolderLocked(name string, value json.RawMessage, version uint64) error {
	id, err := ParseID(name)
	if err != nil {
		return err
	}
	h := holder{token: version}
	if err := json.Unmarshal(value, &h.holderRecord); err != nil {
		h.damaged = true
		l.holders[id] = h
		return err
	}
	l.holders[id] = h
	return nil
}

func (l *Ledger) deleteLocked(key string) {
	switch {
	case strings.HasPrefix(key, holderPrefix):
		if id, err := ParseID(strings.TrimPrefix(key, holderPrefix)); err == nil {
			delete(l.holders, id)
		}
	case strings.HasPrefix(key, sessionPrefix):
		delete(l.sessions, strings.TrimPrefix(key, sessionPrefix))
	case strings.HasPrefix(key, condemnedPrefix):
		maps.DeleteFunc(l.machines, func(_, by string) bool { return by == key })
	}
	delete(l.entries, key)
}

// holderOf returns who holds a duty.
func (l *Ledger) holderOf(id ID) holder {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holders[id]
}

// allHolders returns who holds which duty.
func (l *Ledger) allHolders() map[ID]holder {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.holders)
}

// sessionOf returns the version of a node's session key; 0: it has none.
func (l *Ledger) sessionOf(node string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sessions[node]
}

// hasSeen tells whether everything up to a revision has been seen.
func (l *Ledger) hasSeen(revision uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision >= revision
}

// Condemned tells whether a machine is to be returned: nobody may place on it.
func (l *Ledger) Condemned(machine string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machines[machine] != ""
}

// Abandoned returns the condemned machines whose intents were recorded by memberships
// that are over, or by a former holder of a duty for the fleet: the leader finishes
// those.
func (l *Ledger) Abandoned(current func(node string, since uint64) bool) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var machines []string
	for machine, key := range l.machines {
		node, since, ok := state.MemberOfKey(condemnedPrefix, key)
		if !ok || !current(node, since) || l.supersededLocked(l.entries[key].condemned) {
			machines = append(machines, machine)
		}
	}
	slices.Sort(machines)
	return machines
}

// supersededLocked tells whether an intent was recorded by a former holder of a duty for
// the fleet. What a share has condemned it returns itself, under whatever token.
func (l *Ledger) supersededLocked(intent *condemnedRecord) bool {
	id, err := ParseID(intent.Duty)
	return err == nil && id.Scope == Fleet && l.holders[id].token != intent.Token
}

// openCondemnation is an intent to return machines that is not closed.
type openCondemnation struct {
	condemnedRecord
	key     string
	version uint64
}

// condemnations returns the open intents to return.
func (l *Ledger) condemnations() []openCondemnation {
	l.mu.Lock()
	defer l.mu.Unlock()
	var open []openCondemnation
	for key, e := range l.entries {
		if e.condemned != nil {
			open = append(open, openCondemnation{*e.condemned, key, e.version})
		}
	}
	slices.SortFunc(open, func(a, b openCondemnation) int { return strings.Compare(a.key, b.key) })
	return open
}

// OpenRental is an intent to rent that is not closed.
type OpenRental struct {
	Requests []wire.RentRequest
	token    uint64
	key      string
	version  uint64
}

// rentals returns the open intents to rent, the oldest first.
func (l *Ledger) rentals() []OpenRental {
	l.mu.Lock()
	defer l.mu.Unlock()
	var open []OpenRental
	for key, e := range l.entries {
		if e.rental != nil {
			open = append(open, OpenRental{Requests: e.rental.Requests, token: e.rental.Token, key: key, version: e.version})
		}
	}
	slices.SortFunc(open, func(a, b OpenRental) int { return cmp.Compare(a.version, b.version) })
	return open
}

// recorded tells whether a rental's request is part of an open intent.
func (l *Ledger) recorded(request string) bool {
	for _, open := range l.rentals() {
		if slices.ContainsFunc(open.Requests, func(r wire.RentRequest) bool { return r.Request == request }) {
			return true
		}
	}
	return false
}
