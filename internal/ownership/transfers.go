package ownership

import (
	"encoding/json"
	"slices"

	"heronwick/internal/fleet"
	"heronwick/internal/state"
)

const (
	// imagesPart is which part of a transfer's value the images of one machine
	// may take.
	imagesPart = 16
	// recordSyntax is more than a machine takes of a transfer beside its name
	// and its record.
	recordSyntax = 8
	// releaseSyntax is what a released machine takes of one beside its name.
	releaseSyntax = len(`"":null,`)
)

// Records are the values that one transfer writes, by machine: the record of
// one that is handed over, null for one that is released.
type Records map[string]json.RawMessage

// Transfers are the changes of owner that are not written yet. The zero value
// is ready to use.
type Transfers struct {
	moving     map[string]bool
	released   []string // still to be announced to the other controllers
	announcing bool     // some of them are being written
}

// BeginMove notes that the owner of a machine is being written.
func (t *Transfers) BeginMove(machine string) {
	if t.moving == nil {
		t.moving = map[string]bool{}
	}
	t.moving[machine] = true
}

// EndMove notes that it was written, or could not be.
func (t *Transfers) EndMove(machine string) { delete(t.moving, machine) }

// Moving reports whether the owner of a machine is being written.
func (t *Transfers) Moving(machine string) bool { return t.moving[machine] }

// MovingCount is of how many machines the owner is being written.
func (t *Transfers) MovingCount() int { return len(t.moving) }

// Release adds a released machine that is to be announced: none of the other
// controllers may take it for one that is there.
func (t *Transfers) Release(machine string) { t.released = append(t.released, machine) }

// Unannounced returns the released machines that are not known to be announced.
func (t *Transfers) Unannounced() []string { return slices.Clone(t.released) }

// BeginAnnouncement returns as many released machines as one write of limit
// bytes holds, and what to write. It returns none while an announcement is
// under way; EndAnnouncement ends it.
func (t *Transfers) BeginAnnouncement(limit int) (names []string, records Records) {
	if t.announcing || len(t.released) == 0 {
		return nil, nil
	}
	t.announcing = true
	names = t.released[:state.CountFittingNames(t.released, 0, releaseSyntax, limit)]
	records = Records{}
	for _, name := range names {
		records[name] = json.RawMessage("null")
	}
	return names, records
}

// EndAnnouncement ends the announcement of the first machines; those that were
// not written are announced again.
func (t *Transfers) EndAnnouncement(machines int, written bool) {
	t.announcing = false
	if written {
		t.released = t.released[machines:]
	}
}

// Encode returns the record with which a machine is handed over by writes of
// limit bytes.
func Encode(m *fleet.Machine, limit int) (json.RawMessage, error) {
	record := m.TransferRecord()
	record.KeepImages(limit / imagesPart)
	return json.Marshal(record)
}

// RecordBytes is at most what a machine takes of a transfer.
func RecordBytes(machine string, record json.RawMessage) int {
	return len(machine) + len(record) + recordSyntax
}
