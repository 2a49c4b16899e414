package ownership

import (
	"slices"
	"strings"
	"testing"

	"heronwick/internal/fleet"
	"heronwick/wire"
)

// Released machines that one write can't hold, or that failed to be written, are
// announced by a later write: a controller that never hears of one may take it for a
// machine that is there.
func TestEveryReleasedMachineIsAnnounced(t *testing.T) {
	var transfers Transfers
	for _, name := range []string{"m1", "m2", "m3"} {
		transfers.Release(name)
	}
	limit := 2 * (len("m1") + releaseSyntax)
	names, records := transfers.BeginAnnouncement(limit)
	if !slices.Equal(names, []string{"m1", "m2"}) || len(records) != 2 || string(records["m1"]) != "null" {
		t.Errorf("got %v and %s to announce, want two machines as null", names, records)
	}
	if again, _ := transfers.BeginAnnouncement(limit); len(again) > 0 {
		t.Errorf("got %v to announce while an announcement is under way, want none", again)
	}
	transfers.EndAnnouncement(len(names), false)
	if left := transfers.Unannounced(); len(left) != 3 {
		t.Errorf("got %v left after a failed write, want all three", left)
	}
	names, _ = transfers.BeginAnnouncement(limit)
	transfers.EndAnnouncement(len(names), true)
	if names, _ = transfers.BeginAnnouncement(limit); !slices.Equal(names, []string{"m3"}) {
		t.Errorf("got %v in the second write, want the third machine", names)
	}
	transfers.EndAnnouncement(len(names), true)
	if left := transfers.Unannounced(); len(left) > 0 {
		t.Errorf("got %v left, want none", left)
	}
}

// A machine is moving from when its new owner is being written until that has ended.
func TestMoving(t *testing.T) {
	var transfers Transfers
	if transfers.Moving("m1") {
		t.Error("a machine is moving before its move has begun")
	}
	transfers.BeginMove("m1")
	if !transfers.Moving("m1") || transfers.Moving("m2") || transfers.MovingCount() != 1 {
		t.Errorf("got %d machines moving, want the first alone", transfers.MovingCount())
	}
	transfers.EndMove("m1")
	if transfers.Moving("m1") || transfers.MovingCount() != 0 {
		t.Errorf("got %d machines moving after the end, want none", transfers.MovingCount())
	}
}

// However many images a machine holds, they take no more of a transfer than their part.
func TestImagesOfARecordAreLimited(t *testing.T) {
	const (
		limit      = 16 << 10
		listSyntax = 16 // at least what the list takes beside its entries
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
	if images := len(many) - len(few); images <= 0 || images > limit/imagesPart+listSyntax {
		t.Errorf("got %d bytes of images in a record, want some and at most %d", images, limit/imagesPart)
	}
}
