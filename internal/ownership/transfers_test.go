package ownership

import (
	"slices"
	"strings"
	"testing"

	"heronwick/internal/fleet"
	"heronwick/wire"
)

// Released machines that did not fit into one write, or whose write failed, are announced
// by a later write. A controller that misses an announcement may assume that the machine
// still exists.
func TestEveryReleasedMachineIsAnnounced(t *testing.T) {
	var transfers Transfers
	for _, name := range []string{"m1", "m2", "m3"} {
		transfers.Release(name)
	}
	limit := 2 * (len("m1") + releaseOverheadBytes)
	names, records := transfers.BeginAnnouncement(limit)
	if !slices.Equal(names, []string{"m1", "m2"}) || len(records) != 2 || string(records["m1"]) != "null" {
		t.Errorf("got machines %v with records %s to announce, want m1 and m2 with null records", names, records)
	}
	if again, _ := transfers.BeginAnnouncement(limit); len(again) > 0 {
		t.Errorf("got %v to announce while an announcement is being written, want none", again)
	}
	transfers.EndAnnouncement(len(names), false)
	if left := transfers.Unannounced(); len(left) != 3 {
		t.Errorf("got unannounced machines %v after a failed write, want all three", left)
	}
	names, _ = transfers.BeginAnnouncement(limit)
	transfers.EndAnnouncement(len(names), true)
	if names, _ = transfers.BeginAnnouncement(limit); !slices.Equal(names, []string{"m3"}) {
		t.Errorf("got %v in the announcement after a successful one, want m3", names)
	}
	transfers.EndAnnouncement(len(names), true)
	if left := transfers.Unannounced(); len(left) > 0 {
		t.Errorf("got unannounced machines %v after all were written, want none", left)
	}
}

// A machine counts as moving from BeginMove to EndMove.
func TestMoving(t *testing.T) {
	var transfers Transfers
	if transfers.Moving("m1") {
		t.Error("m1 counts as moving before BeginMove")
	}
	transfers.BeginMove("m1")
	if !transfers.Moving("m1") || transfers.Moving("m2") || transfers.MovingCount() != 1 {
		t.Errorf("got %d machines moving after BeginMove, want m1 only", transfers.MovingCount())
	}
	transfers.EndMove("m1")
	if transfers.Moving("m1") || transfers.MovingCount() != 0 {
		t.Errorf("got %d machines moving after EndMove, want none", transfers.MovingCount())
	}
}

// The image list of a machine takes at most its share of a transfer, however many images
// the machine holds.
func TestImagesOfARecordAreLimited(t *testing.T) {
	const (
		limit             = 16 << 10
		listOverheadBytes = 16 // upper bound of what the list takes in addition to its entries
	)
	m := fleet.NewMachine("m1")
	m.Type = &wire.MachineType{Name: "m", CPUs: 8, MemoryGB: 32}
	few, err := Encode(m, limit)
	if err != nil {
		t.Fatal(err)
	}
	for _, letter := range "abcdefghijklmnopqrstuvwxyz" {
		m.CachedImages[strings.Repeat(string(letter), 200)] = fleet.CachedImage{GB: 1}
	}
	many, err := Encode(m, limit)
	if err != nil {
		t.Fatal(err)
	}
	if images := len(many) - len(few); images <= 0 || images > limit/imagesDivisor+listOverheadBytes {
		t.Errorf("got %d bytes of images in a record, want more than 0 and at most about %d", images, limit/imagesDivisor)
	}
}
