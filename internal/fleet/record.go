package fleet

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"heronwick/wire"
)

// RecordPrefix is where the machines' records are.
const RecordPrefix = "machines/"

// RecordKey is the key of a machine's record.
func RecordKey(machine string) string { return RecordPrefix + machine }

// Record is what the store holds of a machine: which attempts may be on it.
// It is written before the start of any of them can be sent.
type Record struct {
	Address  string            `json:"address"`
	Type     string            `json:"type"`
	Zone     string            `json:"zone"`
	Spot     bool              `json:"spot"`
	Session  uint64            `json:"session"`
	Attempts map[string]uint64 `json:"attempts"`
	Images   []Image           `json:"images,omitempty"` // the most recently used first
	// Write differs between any two writes, so that a read-back tells whose
	// it was.
	Write string `json:"write"`
}

// Image is an image that a machine holds.
type Image struct {
	Name string  `json:"name"`
	GB   float64 `json:"gb"`
}

// Record returns the machine's record as of now.
func (m *Machine) Record(write string) Record {
	r := Record{Address: m.Address, Type: m.TypeName, Zone: m.Zone, Spot: m.Spot, Session: m.Session,
		Attempts: map[string]uint64{}, Write: write}
	for _, a := range m.Attempts {
		if !a.Exited() {
			r.Attempts[a.Task] = max(r.Attempts[a.Task], a.Attempt)
		}
	}
	for name, h := range m.Images {
		r.Images = append(r.Images, Image{Name: name, GB: h.GB})
	}
	slices.SortFunc(r.Images, func(a, b Image) int { return m.Images[b.Name].Used.Compare(m.Images[a.Name].Used) })
	return r
}

// FromRecord rebuilds a machine from its record. Everything recorded may be
// on it until a report under token, the new epoch's, shows otherwise.
func FromRecord(name string, value json.RawMessage, token uint64, now time.Time) (*Machine, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, fmt.Errorf("record of machine %s: %w", name, err)
	}
	m := NewMachine(name)
	m.Address, m.TypeName, m.Zone, m.Spot, m.Session = r.Address, r.Type, r.Zone, r.Spot, r.Session
	for i, image := range r.Images {
		m.Images[image.Name] = Held{GB: image.GB, Used: now.Add(-time.Duration(i) * time.Second)}
	}
	for task, attempt := range r.Attempts {
		job, index, ok := wire.SplitTaskID(task)
		if !ok {
			return nil, fmt.Errorf("record of machine %s: no task %q", name, task)
		}
		key := Key{task, attempt}
		// An older leader may have sent it directly, under any older token.
		m.Attempts[key] = &Attempt{Key: key, Job: job, Index: index, Durable: true, session: r.Session,
			Placed: now, Recovered: true, doubt: token - 1}
	}
	return m, nil
}
