package duty

import (
	"encoding/json"
	"log/slog"
	"maps"
	"strings"
	"sync"

	"heronwick/wire"
)

// Ledger mirrors the duties and intents in the store, as far as this controller has seen
// them. It is fed by the same watch as the epoch, takes no decisions, and is safe for
// concurrent use.
type Ledger struct {
	log *slog.Logger

	mu       sync.Mutex
	revision uint64 // everything up to here has been seen
	entries  map[string]entry
	// Indexes of the entries.
	holders  map[ID]holder
	sessions map[string]uint64 // versions of the session keys, by node
	machines map[string]string // keys of the intents to return, by machine
}

// entry is a stored key of this package as it was last seen.
type entry struct {
	version      uint64
	returnIntent *returnRecord // nil: the key holds no intent to return
	rentalIntent *rentalRecord // nil: the key holds no intent to rent
}

// holder is the stored holder of a duty.
type holder struct {
	holderRecord
	token   uint64
	corrupt bool // the record cannot be decoded
}

// NewLedger returns an empty Ledger.
func NewLedger(log *slog.Logger) *Ledger {
	return &Ledger{log: log, entries: map[string]entry{}, holders: map[ID]holder{}, sessions: map[string]uint64{}, machines: map[string]string{}}
}

// Replace takes a listing of all keys as of a revision. Newer entries stay.
func (l *Ledger) Replace(items []wire.Item, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := map[string]bool{}
	for _, item := range items {
		if isDutyKey(item.Key) {
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

// Apply takes all events of a watch up to a revision.
func (l *Ledger) Apply(events []wire.Event, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range events {
		switch {
		case !isDutyKey(e.Put + e.Delete):
		case e.Put != "":
			l.putLocked(e.Put, e.Value, e.Version)
		case l.entries[e.Delete].version < e.Version:
			l.deleteLocked(e.Delete)
		}
	}
	l.revision = max(l.revision, revision)
}

// applyWrite takes a key that this controller has written before the watch delivers it.
func (l *Ledger) applyWrite(key string, value json.RawMessage, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.putLocked(key, value, version)
}

// applyRemoval takes a key's removal by this controller, which removed that version.
func (l *Ledger) applyRemoval(key string, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries[key].version == version {
		l.deleteLocked(key)
	}
}

// putLocked replaces a key's entry unless it is as new.
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
	case strings.HasPrefix(key, returnPrefix):
		e.returnIntent = &returnRecord{}
		err = json.Unmarshal(value, e.returnIntent)
		// What could be decoded of a corrupt record counts: its machines may be returned.
		for _, machine := range e.returnIntent.Machines {
			l.machines[machine] = key
		}
	case strings.HasPrefix(key, rentalPrefix):
		e.rentalIntent = &rentalRecord{}
		err = json.Unmarshal(value, e.rentalIntent)
	}
	if err != nil {
		e.rentalIntent = nil
		l.log.Error("duty record cannot be decoded and is never treated as free", "key", key, "version", version, "err", err)
	}
	l.entries[key] = e
}

// putHolderLocked indexes the holder record of the duty called name.
func (l *Ledger) putHolderLocked(name string, value json.RawMessage, version uint64) error {
	id, err := ParseID(name)
	if err != nil {
		return err
	}
	h := holder{token: version}
	err = json.Unmarshal(value, &h.holderRecord)
	h.corrupt = err != nil
	l.holders[id] = h
	return err
}

// deleteLocked removes a key's entry and what is indexed of it.
func (l *Ledger) deleteLocked(key string) {
	switch {
	case strings.HasPrefix(key, holderPrefix):
		if id, err := ParseID(strings.TrimPrefix(key, holderPrefix)); err == nil {
			delete(l.holders, id)
		}
	case strings.HasPrefix(key, sessionPrefix):
		delete(l.sessions, strings.TrimPrefix(key, sessionPrefix))
	case strings.HasPrefix(key, returnPrefix):
		maps.DeleteFunc(l.machines, func(_, by string) bool { return by == key })
	}
	delete(l.entries, key)
}

// holderOf returns the holder of a duty.
func (l *Ledger) holderOf(id ID) holder {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holders[id]
}

// allHolders returns the holders of all duties that have a record.
func (l *Ledger) allHolders() map[ID]holder {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.holders)
}

// sessionOf returns the version of a node's session key; 0 if it has none.
func (l *Ledger) sessionOf(node string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sessions[node]
}

// hasSeen reports whether everything up to a revision has been seen.
func (l *Ledger) hasSeen(revision uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision >= revision
}
