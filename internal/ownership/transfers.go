package ownership

import (
	"encoding/json"
	"slices"

	"heronwick/internal/fleet"
	"heronwick/internal/state"
)

const (
	// imagesDivisor limits the image list of one machine: it takes at most the size
	// limit of a transfer's value divided by imagesDivisor.
	imagesDivisor = 16
	// recordOverheadBytes is an upper bound of what a machine takes in a transfer in
	// addition to its name and its record.
	recordOverheadBytes = 8
	// releaseOverheadBytes is what a released machine takes in a transfer in addition to
	// its name.
	releaseOverheadBytes = len(`"":null,`)
)

// Records holds the values that one transfer writes, by machine name: the record of a
// machine that is handed over, null for one that is released.
type Records map[string]json.RawMessage

// Transfers holds the changes of ownership that are not written yet. The zero value is
// ready to use.
type Transfers struct {
	moving     map[string]bool // machines whose new owner is being written
	released   []string        // released machines that must still be announced to the other controllers
	announcing bool            // whether an announcement is being written
}

// BeginMove records that the new owner of a machine is being written.
func (t *Transfers) BeginMove(machine string) {
	if t.moving == nil {
		t.moving = map[string]bool{}
	}
	t.moving[machine] = true
}

// EndMove records that the write of the new owner has ended, whether or not it
// succeeded.
func (t *Transfers) EndMove(machine string) { delete(t.moving, machine) }

// Moving reports whether the new owner of the machine is being written.
func (t *Transfers) Moving(machine string) bool { return t.moving[machine] }

// MovingCount returns the number of machines whose new owner is being written.
func (t *Transfers) MovingCount() int { return len(t.moving) }

// Release adds a released machine. It must be announced, so that no other controller
// assumes that the machine still exists.
func (t *Transfers) Release(machine string) { t.released = append(t.released, machine) }

// Unannounced returns the released machines whose announcement has not been confirmed.
func (t *Transfers) Unannounced() []string { return slices.Clone(t.released) }

// BeginAnnouncement begins an announcement of as many released machines as fit into one
// write of limit bytes. It returns their names and the records to write. It returns none
// while another announcement is being written, until EndAnnouncement is called.
func (t *Transfers) BeginAnnouncement(limit int) (names []string, records Records) {
	if t.announcing || len(t.released) == 0 {
		return nil, nil
	}
	t.announcing = true
	names = t.released[:state.CountFittingNames(t.released, 0, releaseOverheadBytes, limit)]
	records = Records{}
	for _, name := range names {
		records[name] = json.RawMessage("null")
	}
	return names, records
}

// EndAnnouncement ends an announcement of the given number of machines. If it was not
// written, the next announcement includes them again.
func (t *Transfers) EndAnnouncement(machines int, written bool) {
	t.announcing = false
	if written {
		t.released = t.released[machines:]
	}
}

// Encode returns the record with which a machine is handed over, in a write of at most
// limit bytes.
func Encode(m *fleet.Machine, limit int) (json.RawMessage, error) {
	record := m.TransferRecord()
	record.LimitImages(limit / imagesDivisor)
	return json.Marshal(record)
}

// RecordBytes returns an upper bound of the bytes that a machine takes in a transfer.
func RecordBytes(machine string, record json.RawMessage) int {
	return len(machine) + len(record) + recordOverheadBytes
}
