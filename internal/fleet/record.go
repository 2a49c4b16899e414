package fleet

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"heronwick/internal/state"
	"heronwick/wire"
)

// RecordPrefix is the prefix of the keys of machine records. One key contains the
// records of many machines.
const RecordPrefix = "machines/"

// RecordBucket is the value of one key. It contains the records of some dozens of
// machines, by machine name. The store limits the number of changes rather than their
// size, so this way a burst of placements on a hundred machines takes only a few
// changes.
type RecordBucket struct {
	Machines map[string]Record `json:"machines"`
	// Write is a unique ID of the write, so that reading the key shows which write
	// produced its value.
	Write string `json:"write"`
}

// BucketKey returns the key of a member's n-th bucket. since is the token of the epoch
// in which the member joined.
func BucketKey(node string, since, n uint64) string {
	return state.MemberKey(RecordPrefix, node, since, strconv.FormatUint(n, 10))
}

// journalNamePrefix distinguishes the name of a journal from that of a bucket.
const journalNamePrefix = "j"

// JournalKey returns the key of a member's n-th journal. A journal contains attempts on
// any of the member's machines that are not yet in the buckets of those machines. since
// is the token of the epoch in which the member joined.
func JournalKey(node string, since uint64, n int) string {
	return state.MemberKey(RecordPrefix, node, since, journalNamePrefix+strconv.Itoa(n))
}

// IsJournal reports whether a key is the key of a journal.
func IsJournal(key string) bool {
	return strings.HasPrefix(key[strings.LastIndexByte(key, '/')+1:], journalNamePrefix)
}

// BucketOwner returns the membership that a bucket belongs to. ok is false for a key in
// the earlier format, which contains one machine and has no owner.
func BucketOwner(key string) (owner state.KeyOwner, ok bool) {
	return state.OwnerOfKey(RecordPrefix, key)
}

// ReadBucket decodes the value of a key. It also decodes the earlier format, in which
// the value is the record of the single machine that the key names.
func ReadBucket(key string, value json.RawMessage) (RecordBucket, error) {
	var bucket RecordBucket
	if err := json.Unmarshal(value, &bucket); err != nil {
		return RecordBucket{}, fmt.Errorf("decoding the machine records under %s: %w", key, err)
	}
	if bucket.Machines == nil {
		var r Record
		if err := json.Unmarshal(value, &r); err != nil {
			return RecordBucket{}, fmt.Errorf("decoding the machine record under %s: %w", key, err)
		}
		bucket.Machines = map[string]Record{strings.TrimPrefix(key, RecordPrefix): r}
	}
	return bucket, nil
}

// Record is the record of a machine in the store, with the attempts that may be on the
// machine. An attempt is written to the record before its start is sent.
type Record struct {
	Address      string            `json:"address,omitempty"`
	Type         string            `json:"type,omitempty"`
	Zone         string            `json:"zone,omitempty"`
	Spot         bool              `json:"spot,omitempty"`
	Incarnation  uint64            `json:"session"`
	Seq          uint64            `json:"seq,omitempty"`      // of the newest heartbeat; only in transfers
	FencingToken uint64            `json:"token,omitempty"`    // highest token that the worker has seen; only in transfers
	Attempts     map[string]uint64 `json:"attempts,omitempty"` // attempt numbers by task
	Images       []ImageRecord     `json:"images,omitempty"`   // most recently used first
}

// ImageRecord is an image in the cache of a machine.
type ImageRecord struct {
	Name string  `json:"name"`
	GB   float64 `json:"gb"`
}

// Record returns the machine's record without the attempts for which leaveOut returns
// true.
func (m *Machine) Record(leaveOut func(*Attempt) bool) Record {
	r := Record{Address: m.Address, Type: m.TypeName, Zone: m.Zone, Spot: m.Spot, Incarnation: m.Incarnation}
	r.Attempts = m.attemptNumbers(func(a *Attempt) bool { return !leaveOut(a) })
	for name, image := range m.CachedImages {
		r.Images = append(r.Images, ImageRecord{Name: name, GB: image.GB})
	}
	slices.SortFunc(r.Images, func(a, b ImageRecord) int {
		return m.CachedImages[b.Name].Used.Compare(m.CachedImages[a.Name].Used)
	})
	return r
}

// attemptNumbers returns the numbers, by task, of the attempts that have not exited and
// for which include returns true. It returns nil if there are none.
func (m *Machine) attemptNumbers(include func(*Attempt) bool) map[string]uint64 {
	var numbers map[string]uint64
	for _, a := range m.Attempts.All() {
		if a.Exited() || !include(a) {
			continue
		}
		if numbers == nil {
			numbers = make(map[string]uint64, m.Attempts.Len())
		}
		numbers[a.Task] = max(numbers[a.Task], a.Attempt)
	}
	return numbers
}

// JournalRecord returns the part of the machine's record that belongs in one journal:
// the attempts that only this journal contains. ok is false if there are none. inBucket
// tells whether a bucket already contains the machine's address, type and zone, so that
// the journal need not.
func (m *Machine) JournalRecord(journal string, inBucket bool) (r Record, ok bool) {
	r.Incarnation = m.Incarnation
	if !inBucket {
		r.Address, r.Type, r.Zone, r.Spot = m.Address, m.TypeName, m.Zone, m.Spot
	}
	r.Attempts = m.attemptNumbers(func(a *Attempt) bool { return a.Journal == journal })
	return r, r.Attempts != nil
}

// TransferRecord returns the record of an idle machine to pass to its next owner.
func (m *Machine) TransferRecord() Record {
	r := m.Record(func(*Attempt) bool { return true })
	r.Seq, r.FencingToken = m.Seq, m.FencingToken
	return r
}

// FromRecord restores a machine from its record. token is the fencing token of the new
// epoch. Each recorded attempt may be on the machine until a heartbeat under this token
// shows that it is not.
func FromRecord(name string, r Record, token uint64, now time.Time) *Machine {
	m := NewMachine(name)
	m.Seq, m.FencingToken = r.Seq, r.FencingToken
	m.MergeRecord(r, token, now)
	return m
}

// MergeRecord adds the attempts of another record of the machine. A machine has several
// records, for example, while it is transferred, because its previous owner may still
// have an older one.
func (m *Machine) MergeRecord(r Record, token uint64, now time.Time) {
	m.Incarnation = max(m.Incarnation, r.Incarnation)
	if m.Address == "" {
		m.Address, m.TypeName, m.Zone, m.Spot = r.Address, r.Type, r.Zone, r.Spot
	}
	if len(m.CachedImages) == 0 {
		for i, image := range r.Images {
			m.CachedImages[image.Name] = CachedImage{GB: image.GB, Used: now.Add(-time.Duration(i) * time.Second)}
		}
	}
	for task, attempt := range r.Attempts {
		job, index, ok := wire.SplitTaskID(task)
		if !ok {
			continue // heronwick writes no record with such a task ID
		}
		key := Key{task, attempt}
		m.Attempts.Put(&Attempt{Key: key, Job: job, Index: index, Recorded: true,
			PlacedAt: now, RestoredFromRecord: true, start: sentBefore(token)})
	}
	// A record with a higher incarnation may be the older one, if the worker has restarted
	// between the two. Only an incarnation above those of all records is a newer one.
	for _, a := range m.Attempts.All() {
		a.incarnation = m.Incarnation
	}
}
