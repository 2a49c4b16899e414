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

// RecordPrefix is the prefix of the keys of machines' records. One key holds those
// of many machines.
const RecordPrefix = "machines/"

// RecordBucket is the value of one key: the records of some dozens of machines, by
// name. The store limits how many changes are made rather than their size, so a
// burst over a hundred machines is a handful of changes.
type RecordBucket struct {
	Machines map[string]Record `json:"machines"`
	// Write differs between any two writes, so that a read-back shows which one it
	// was.
	Write string `json:"write"`
}

// BucketKey returns the key of a member's n-th bucket. since is the epoch token of
// its membership.
func BucketKey(node string, since, n uint64) string {
	return state.MemberKey(RecordPrefix, node, since, strconv.FormatUint(n, 10))
}

// journalMark is the first letter of a journal's name.
const journalMark = "j"

// JournalKey returns the key of a member's n-th journal: a bucket that holds
// attempts on any of its machines that the machines' own buckets do not hold yet.
func JournalKey(node string, since uint64, n int) string {
	return state.MemberKey(RecordPrefix, node, since, journalMark+strconv.Itoa(n))
}

// IsJournal reports whether a key is that of a journal.
func IsJournal(key string) bool {
	return strings.HasPrefix(key[strings.LastIndexByte(key, '/')+1:], journalMark)
}

// BucketOwner returns the membership whose bucket a key is. ok is false for a key of
// the earlier form, which holds one machine and has no owner.
func BucketOwner(key string) (owner state.KeyOwner, ok bool) {
	return state.OwnerOfKey(RecordPrefix, key)
}

// ReadBucket decodes the value of a key, also in the earlier form: the record of
// the one machine that the key names.
func ReadBucket(key string, value json.RawMessage) (RecordBucket, error) {
	var bucket RecordBucket
	if err := json.Unmarshal(value, &bucket); err != nil {
		return RecordBucket{}, fmt.Errorf("records under %s: %w", key, err)
	}
	if bucket.Machines == nil {
		var r Record
		if err := json.Unmarshal(value, &r); err != nil {
			return RecordBucket{}, fmt.Errorf("record under %s: %w", key, err)
		}
		bucket.Machines = map[string]Record{strings.TrimPrefix(key, RecordPrefix): r}
	}
	return bucket, nil
}

// Record is a machine's record in the store: the attempts that may be on it. It is
// written before the start of any of them can be sent.
type Record struct {
	Address      string            `json:"address,omitempty"`
	Type         string            `json:"type,omitempty"`
	Zone         string            `json:"zone,omitempty"`
	Spot         bool              `json:"spot,omitempty"`
	Incarnation  uint64            `json:"session"`
	Seq          uint64            `json:"seq,omitempty"`      // of the newest heartbeat, in transfers only
	FencingToken uint64            `json:"token,omitempty"`    // that the worker has seen, in transfers only
	Attempts     map[string]uint64 `json:"attempts,omitempty"` // by task
	Images       []ImageRecord     `json:"images,omitempty"`   // the most recently used first
}

// ImageRecord is an image that a machine holds.
type ImageRecord struct {
	Name string  `json:"name"`
	GB   float64 `json:"gb"`
}

// Record returns the machine's record, without the attempts for which leaveOut
// returns true.
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

// attemptNumbers returns, by task, the numbers of the attempts that have not exited
// and for which include returns true; nil if there are none.
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

// JournalRecord returns the part of the machine's record that belongs into one
// journal: its attempts there. ok is false if there are none. hasBucket says that
// the machine has a bucket, which holds its place.
func (m *Machine) JournalRecord(journal string, hasBucket bool) (r Record, ok bool) {
	r.Incarnation = m.Incarnation
	if !hasBucket {
		r.Address, r.Type, r.Zone, r.Spot = m.Address, m.TypeName, m.Zone, m.Spot
	}
	r.Attempts = m.attemptNumbers(func(a *Attempt) bool { return a.Journal == journal })
	return r, r.Attempts != nil
}

// TransferRecord returns the record of an idle machine for its next owner.
func (m *Machine) TransferRecord() Record {
	r := m.Record(func(*Attempt) bool { return true })
	r.Seq, r.FencingToken = m.Seq, m.FencingToken
	return r
}

// FromRecord rebuilds a machine from its record. Every recorded attempt may be on
// it until a heartbeat under token, the new epoch's, shows otherwise.
func FromRecord(name string, r Record, token uint64, now time.Time) *Machine {
	m := NewMachine(name)
	m.Seq, m.FencingToken = r.Seq, r.FencingToken
	m.MergeRecord(r, token, now)
	return m
}

// MergeRecord adds what another record says may be on the machine: while a machine is
// transferred, its owner before may still have an older record of it.
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
			continue // no record that this software writes holds such a name
		}
		key := Key{task, attempt}
		// An older leader may have sent it directly, under any older token.
		m.Attempts.Put(&Attempt{Key: key, Job: job, Index: index, Recorded: true, incarnation: r.Incarnation,
			PlacedAt: now, Unconfirmed: true, unansweredToken: token - 1})
	}
}
