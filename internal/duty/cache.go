package duty

import (
	"encoding/json"
	"log/slog"
	"maps"
	"strings"
	"sync"

	"heronwick/wire"
)

// RecordCache is a local copy of the duties and intents in the store. The watch that delivers
// the epoch keeps it up to date. It makes no decisions and is safe for concurrent use.
type RecordCache struct {
	log *slog.Logger

	mu       sync.Mutex
	revision uint64           // store revision up to which the cache is complete
	entries  map[string]entry // by key
	// Indexes of the entries.
	holders  map[ID]holder
	sessions map[string]uint64 // version of the session key, by node
	machines map[string]string // key of the intent to return, by machine
}

// entry is the latest known value of a key of this package.
type entry struct {
	version      uint64
	returnIntent *returnRecord // nil if the key holds no intent to return
	rentalIntent *rentalRecord // nil if the key holds no intent to rent
}

// holder is the stored holder of a duty.
type holder struct {
	holderRecord
	token   uint64
	corrupt bool // the record cannot be decoded
}

// NewRecordCache returns an empty RecordCache.
func NewRecordCache(log *slog.Logger) *RecordCache {
	return &RecordCache{log: log, entries: map[string]entry{}, holders: map[ID]holder{}, sessions: map[string]uint64{}, machines: map[string]string{}}
}

// Replace replaces the entries with a listing of all keys as of a revision. It keeps entries
// that are newer than the listing.
func (c *RecordCache) Replace(items []wire.Item, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := map[string]bool{}
	for _, item := range items {
		if isDutyKey(item.Key) {
			listed[item.Key] = true
			c.putLocked(item.Key, item.Value, item.Version)
		}
	}
	for key, e := range c.entries {
		if !listed[key] && e.version <= revision {
			c.deleteLocked(key)
		}
	}
	c.revision = max(c.revision, revision)
}

// Apply applies all watch events up to a revision.
func (c *RecordCache) Apply(events []wire.Event, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range events {
		switch {
		case !isDutyKey(e.Put + e.Delete):
		case e.Put != "":
			c.putLocked(e.Put, e.Value, e.Version)
		case c.entries[e.Delete].version < e.Version:
			c.deleteLocked(e.Delete)
		}
	}
	c.revision = max(c.revision, revision)
}

// applyWrite applies a write of this controller without waiting for the watch to deliver it.
func (c *RecordCache) applyWrite(key string, value json.RawMessage, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.putLocked(key, value, version)
}

// applyRemoval applies this controller's removal of a key that had the given version,
// without waiting for the watch to deliver it.
func (c *RecordCache) applyRemoval(key string, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries[key].version == version {
		c.deleteLocked(key)
	}
}

// putLocked replaces the entry of a key unless the cached version is the same or newer.
func (c *RecordCache) putLocked(key string, value json.RawMessage, version uint64) {
	if version <= c.entries[key].version {
		return
	}
	c.deleteLocked(key)
	e := entry{version: version}
	var err error
	switch {
	case strings.HasPrefix(key, holderPrefix):
		err = c.putHolderLocked(strings.TrimPrefix(key, holderPrefix), value, version)
	case strings.HasPrefix(key, sessionPrefix):
		c.sessions[strings.TrimPrefix(key, sessionPrefix)] = version
	case strings.HasPrefix(key, returnPrefix):
		e.returnIntent = &returnRecord{}
		err = json.Unmarshal(value, e.returnIntent)
		// The machines that could be decoded from a corrupt record are indexed as well,
		// because another controller may return them.
		for _, machine := range e.returnIntent.Machines {
			c.machines[machine] = key
		}
	case strings.HasPrefix(key, rentalPrefix):
		e.rentalIntent = &rentalRecord{}
		err = json.Unmarshal(value, e.rentalIntent)
	}
	if err != nil {
		e.rentalIntent = nil
		c.log.Error("duty record cannot be decoded and is never treated as free", "key", key, "version", version, "err", err)
	}
	c.entries[key] = e
}

// putHolderLocked indexes the holder record of the duty whose ID is name.
func (c *RecordCache) putHolderLocked(name string, value json.RawMessage, version uint64) error {
	id, err := ParseID(name)
	if err != nil {
		return err
	}
	h := holder{token: version}
	err = json.Unmarshal(value, &h.holderRecord)
	h.corrupt = err != nil
	c.holders[id] = h
	return err
}

// deleteLocked removes the entry of a key from the cache and its indexes.
func (c *RecordCache) deleteLocked(key string) {
	switch {
	case strings.HasPrefix(key, holderPrefix):
		if id, err := ParseID(strings.TrimPrefix(key, holderPrefix)); err == nil {
			delete(c.holders, id)
		}
	case strings.HasPrefix(key, sessionPrefix):
		delete(c.sessions, strings.TrimPrefix(key, sessionPrefix))
	case strings.HasPrefix(key, returnPrefix):
		maps.DeleteFunc(c.machines, func(_, by string) bool { return by == key })
	}
	delete(c.entries, key)
}

// holderOf returns the holder of a duty.
func (c *RecordCache) holderOf(id ID) holder {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holders[id]
}

// allHolders returns the holders of all duties that have a holder record.
func (c *RecordCache) allHolders() map[ID]holder {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.holders)
}

// sessionOf returns the version of a node's session key, or 0 if the key does not exist.
func (c *RecordCache) sessionOf(node string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sessions[node]
}

// caughtUpTo reports whether the cache includes everything written up to a revision.
func (c *RecordCache) caughtUpTo(revision uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision >= revision
}
