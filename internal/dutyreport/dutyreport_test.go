package dutyreport

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"heronwick/wire"
)

// sampleEvents returns seven events of two nodes, one second apart.
func sampleEvents() []wire.DutyEvent {
	began := time.Date(2026, 12, 2, 3, 0, 0, 0, time.UTC)
	var events []wire.DutyEvent
	for i, kind := range []string{"acquired", "condemned", "returned", "closed", "lost", "acquired", "refused"} {
		events = append(events, wire.DutyEvent{At: began.Add(time.Duration(i) * time.Second), Kind: kind, Duty: "reclaim/fleet",
			Node: []string{"perch-0", "perch-1"}[i/4], Token: uint64(10 + i), Count: i, TookS: float64(i) / 10})
	}
	return events
}

// ReadArchive returns the events that WriteArchive has written.
func TestArchiveRoundTrip(t *testing.T) {
	path := filepath.Join(t.TempDir(), "duties.parquet")
	events := sampleEvents()
	if err := WriteArchive(path, events); err != nil {
		t.Fatal(err)
	}
	read, err := ReadArchive(path)
	if err != nil || len(read) != len(events) {
		t.Fatalf("ReadArchive: got %d events and error %v, want all events", len(read), err)
	}
	for i := range events {
		if !read[i].At.Equal(events[i].At) {
			t.Errorf("got time %v of an event, want %v", read[i].At, events[i].At)
		}
		read[i].At = events[i].At
		if read[i] != events[i] {
			t.Errorf("got event %+v, want %+v", read[i], events[i])
		}
	}
}

// ReadArchive returns ErrRead for a missing or corrupt archive, and WriteArchive returns
// ErrWrite if it cannot write the file.
func TestArchiveErrors(t *testing.T) {
	dir := t.TempDir()
	if err := WriteArchive(filepath.Join(dir, "nowhere", "x"), nil); !errors.Is(err, ErrWrite) {
		t.Errorf("WriteArchive to a missing directory: got error %v, want ErrWrite", err)
	}
	path := filepath.Join(dir, "whole")
	if err := WriteArchive(path, sampleEvents()); err != nil {
		t.Fatal(err)
	}
	validArchive, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for name, content := range map[string][]byte{
		"empty": {}, "truncated": validArchive[:len(validArchive)/2], "text": []byte("not an archive"),
		"corrupt footer": append(validArchive[:len(validArchive)-8:len(validArchive)-8], "ABCDPAR1"...),
	} {
		path := filepath.Join(dir, "corrupt")
		if err := os.WriteFile(path, content, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadArchive(path); !errors.Is(err, ErrRead) {
			t.Errorf("ReadArchive of a corrupt archive (%s): got error %v, want ErrRead", name, err)
		}
	}
	if _, err := ReadArchive(filepath.Join(dir, "missing")); !errors.Is(err, ErrRead) {
		t.Errorf("ReadArchive of a missing archive: got error %v, want ErrRead", err)
	}
}

// The page embeds three plots and has a row for each duty and kind of event.
func TestPage(t *testing.T) {
	var page bytes.Buffer
	if err := WritePage(&page, sampleEvents()); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"7 events of 2 controllers", "<td>acquired</td><td>2</td>", "500ms"} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("got a page without %q, want it included", want)
		}
	}
	if plots := strings.Count(page.String(), "<svg"); plots != 3 {
		t.Errorf("got %d plots, want 3", plots)
	}
	page.Reset()
	if err := WritePage(&page, nil); err != nil || !strings.Contains(page.String(), "0 events") {
		t.Errorf("page without events: got error %v, want none and the text \"0 events\"", err)
	}
}
