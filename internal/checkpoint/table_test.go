package checkpoint

import (
	"fmt"
	"strings"
	"testing"

	"heronwick/internal/fleet"
)

func newTestTable() *Table {
	return &Table{
		buckets: map[string]*Bucket{}, inSeveralBuckets: map[*Machine]bool{},
		bucketKey:   func(n uint64) string { return fleet.BucketKey("me", 1, n) },
		journalKey:  func(n int) string { return fleet.JournalKey("me", 1, n) },
		bucketLimit: func() int { return 2048 },
		owns:        func(*Machine) bool { return true },
	}
}

func newTestMachine(number int) *Machine {
	return &Machine{Machine: fleet.NewMachine(fmt.Sprint("m", number))}
}

// addJournaled returns a machine with an attempt that only the journal contains, and
// whose task has a name of the given length.
func addJournaled(journal *Bucket, number, bytes int) *Machine {
	m := newTestMachine(number)
	a := &fleet.Attempt{Key: fleet.Key{Task: strings.Repeat("x", bytes), Attempt: uint64(number)}, Recorded: true, Journal: journal.key}
	m.Attempts.Put(a)
	journal.journaled[m] = true
	return m
}

// Machines share a bucket while it has space. If several buckets contain records of a
// machine, the other buckets retain them until the machine's own bucket contains all.
func TestTableBuckets(t *testing.T) {
	table := newTestTable()
	var machines []*Machine
	for i := range 5 {
		m := newTestMachine(i)
		table.assign(m)
		machines = append(machines, m)
	}
	if machines[0].bucket != machines[3].bucket || machines[4].bucket == machines[0].bucket {
		t.Error("got machines in the wrong buckets, want four in a bucket of 2 KiB and the fifth in another")
	}
	m, former := machines[0], &Bucket{key: "machines/former/1/1", machines: map[string]*Machine{}, retained: map[string]fleet.Record{"m0": {}, "m9": {}}}
	table.addOtherBuckets(m, former)
	if !table.inSeveralBuckets[m] || len(former.retained) != 2 {
		t.Error("got the record in another bucket not tracked or not retained, want both")
	}
	own := m.bucket
	own.version = 3
	table.RemoveMachine(m)
	if table.inSeveralBuckets[m] || m.bucket != nil || own.machines["m0"] != nil || !own.stale {
		t.Error("got a removed machine still in its bucket, or the bucket not stale")
	}
	if _, kept := former.Retained("m0"); kept || len(former.retained) != 1 || !former.stale {
		t.Errorf("got retained records %v in the other bucket, want only m9, and the bucket stale", former.retained)
	}
}

// The same journal is written until its running attempts fill three quarters of it, then
// the emptiest one. Only when all journals are more than half full must the buckets of
// the fullest one be written.
func TestTableJournals(t *testing.T) {
	const limit, most = 4000, 2
	table := newTestTable()
	first, full := table.nextJournal(limit, most)
	if again, _ := table.nextJournal(limit, most); again != first || full != nil {
		t.Fatal("got another journal or a full one, want the empty journal again")
	}
	large := addJournaled(first, 1, 3000)
	second, full := table.nextJournal(limit, most)
	if second == first || second == nil || full != nil {
		t.Fatal("got the full journal again or none, want another one")
	}
	addJournaled(second, 2, 3100)
	if _, full = table.nextJournal(limit, most); full != second {
		t.Error("got no full journal while all are full, want the fullest one")
	}
	large.Attempts.Delete(large.Attempts.All()[0].Key)
	if next, full := table.nextJournal(limit, most); next != first || full != nil {
		t.Error("got another journal, want the one that is empty again")
	}
	if journalRecords := table.journalRecords(first); len(journalRecords) != 0 || len(first.journaled) != 0 {
		t.Errorf("got records %v in an empty journal, want none", journalRecords)
	}
	first.writeInFlight = true
	if next, _ := table.nextJournal(limit, most); next == first {
		t.Error("got a journal with a write in flight, want another one or none")
	}
	if len(table.buckets) != most {
		t.Errorf("got %d journals, want %d", len(table.buckets), most)
	}
}
