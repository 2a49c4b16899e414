package checkpoint

import (
	"maps"
	"slices"

	"heronwick/internal/fleet"
	"heronwick/internal/state"
)

// writeBucket writes a bucket, fenced by the epoch and by its own version. What
// does not fit it goes to other buckets, in writes of their own; it is itself
// written once those hold what it held.
func (w *Writer) writeBucket(b *Bucket, priority state.Priority) {
	for _, m := range b.machines {
		w.scheduler.DropStaleHostedAttempts(m)
	}
	if b.empty() {
		w.deleteBucket(b, priority)
		return
	}
	w.splitBucket(b, priority)
	if b.oversized {
		return
	}
	write := w.newWrite(priority)
	write.consolidates = priority == state.Background
	b.consolidating = write.consolidates
	if write.consolidates {
		w.consolidating++
	}
	content := w.bucketContent(b, write)
	for _, m := range b.machines {
		w.recordMachine(write, m)
	}
	w.putBucket(write, b, content)
}

// deleteBucket removes a bucket that holds nothing any more.
func (w *Writer) deleteBucket(b *Bucket, priority state.Priority) {
	if b.version == 0 {
		delete(w.buckets, b.key)
		return
	}
	guard, err := w.scheduler.CleanupGuard()
	if err != nil {
		b.untidy = true // removed later
		return
	}
	delete(w.buckets, b.key)
	write := w.newWrite(priority)
	write.delete(b, guard)
	w.start(write)
}

// splitBucket moves machines that do not fit a bucket to others, which are
// written at once. Until then the bucket keeps its records of them, and if with
// those it does not fit a value, it is not written.
func (w *Writer) splitBucket(b *Bucket, priority state.Priority) {
	limit := w.limit.Bytes()
	size := 0
	for name, r := range b.leftover {
		if b.machines[name] == nil {
			size += r.MaxBytes(name)
		}
	}
	var moving []*Machine
	for i, name := range slices.Sorted(maps.Keys(b.machines)) {
		m := b.machines[name]
		more := w.recordSize(m)
		if size += more; size > limit && (i > 0 || len(b.leftover) > 0) {
			moving = append(moving, m)
			size -= more
		}
	}
	for len(moving) > 0 {
		moving = w.moveToNewBucket(b, moving, priority)
	}
	kept := 0
	for name, r := range b.leftover {
		kept += r.MaxBytes(name)
	}
	for _, m := range b.machines {
		kept += w.recordSize(m)
	}
	b.oversized = len(b.leftover) > 0 && kept > limit
}

// moveToNewBucket moves as many of the machines as fit from a bucket to a new
// one and writes that. It returns the others.
func (w *Writer) moveToNewBucket(from *Bucket, machines []*Machine, priority state.Priority) (others []*Machine) {
	to := w.add()
	size := 0
	for i, m := range machines {
		if size += w.recordSize(m); i > 0 && size > w.limit.Bytes() {
			others = machines[i:]
			break
		}
		delete(from.machines, m.Name)
		to.put(m)
		if from.version == 0 {
			continue
		}
		if _, ok := from.Retained(m.Name); !ok {
			from.Retain(m.Name, w.record(m, func(a *fleet.Attempt) bool { return !a.Recorded }))
		}
		if !slices.Contains(m.elsewhere, from) {
			w.scatter(m, from)
		}
	}
	w.writeBucket(to, priority)
	return others
}

// record returns what a bucket holds of a machine, without the attempts that
// are left out.
func (w *Writer) record(m *Machine, leaveOut func(*fleet.Attempt) bool) fleet.Record {
	r := m.Record(leaveOut)
	r.LimitImages(w.limit.imageBytes())
	return r
}

// recordSize is how much the machine's record takes of a bucket at most.
func (w *Writer) recordSize(m *Machine) int {
	r := w.record(m, func(*fleet.Attempt) bool { return false })
	return r.MaxBytes(m.Name)
}

// bucketContent is what a bucket is to hold.
func (w *Writer) bucketContent(b *Bucket, write *bucketWrite) fleet.RecordBucket {
	content := fleet.RecordBucket{Machines: make(map[string]fleet.Record, len(b.machines)), Write: w.scheduler.UniqueWriteID()}
	maps.Copy(content.Machines, b.leftover)
	for name, m := range b.machines {
		content.Machines[name] = w.record(m, func(a *fleet.Attempt) bool {
			return !a.Recorded && (write.consolidates || !w.admits(write, a))
		})
	}
	return content
}

// recordMachine notes what a write of the machine's bucket records of it.
func (w *Writer) recordMachine(write *bucketWrite, m *Machine) {
	if len(m.elsewhere) > 0 {
		write.gathered = append(write.gathered, m)
	}
	m.due = false
	if !write.consolidates {
		m.Dirty = false
	}
	for _, a := range m.Attempts.All() {
		switch {
		case a.Exited():
		case a.Recorded:
			if a.Journal != "" {
				write.moved = append(write.moved, a)
			}
		case write.consolidates:
		case w.admits(write, a):
			write.records(m, a)
		default:
			m.Dirty = true
		}
	}
}
