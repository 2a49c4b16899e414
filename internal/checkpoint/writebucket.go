package checkpoint

import (
	"maps"
	"slices"

	"heronwick/internal/fleet"
	"heronwick/internal/state"
)

// writeBucket writes a bucket, fenced by the epoch and by the bucket's version. Machines
// whose records do not fit are moved to other buckets, which are written separately. An
// oversized bucket is written only after those.
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
	write.forConsolidation = priority == state.Background
	b.consolidating = write.forConsolidation
	if write.forConsolidation {
		w.consolidating++
	}
	content := w.bucketContent(b, write)
	for _, m := range b.machines {
		w.addMachineToWrite(write, m)
	}
	w.putBucket(write, b, content)
}

// deleteBucket deletes an empty bucket.
func (w *Writer) deleteBucket(b *Bucket, priority state.Priority) {
	if b.version == 0 {
		delete(w.buckets, b.key)
		return
	}
	guard, err := w.scheduler.CleanupGuard()
	if err != nil {
		b.stale = true // retry the deletion later
		return
	}
	delete(w.buckets, b.key)
	write := w.newWrite(priority)
	write.delete(b, guard)
	w.start(write)
}

// splitBucket moves machines whose records do not fit in a bucket to new buckets, and
// starts to write those. The bucket retains its records of these machines until then. If
// it exceeds the value limit with them, it is marked as oversized.
func (w *Writer) splitBucket(b *Bucket, priority state.Priority) {
	limit := w.limit.Bytes()
	size := 0
	for name, r := range b.retained {
		if b.machines[name] == nil {
			size += r.MaxBytes(name)
		}
	}
	var moving []*Machine
	for i, name := range slices.Sorted(maps.Keys(b.machines)) {
		m := b.machines[name]
		more := w.maxRecordBytes(m)
		if size += more; size > limit && (i > 0 || len(b.retained) > 0) {
			moving = append(moving, m)
			size -= more
		}
	}
	for len(moving) > 0 {
		moving = w.moveToNewBucket(b, moving, priority)
	}
	total := 0
	for name, r := range b.retained {
		total += r.MaxBytes(name)
	}
	for _, m := range b.machines {
		total += w.maxRecordBytes(m)
	}
	b.oversized = len(b.retained) > 0 && total > limit
}

// moveToNewBucket moves as many of the machines as fit from a bucket to a new bucket, and
// starts to write that. It returns the other machines.
func (w *Writer) moveToNewBucket(from *Bucket, machines []*Machine, priority state.Priority) (others []*Machine) {
	to := w.addBucket()
	size := 0
	for i, m := range machines {
		if size += w.maxRecordBytes(m); i > 0 && size > w.limit.Bytes() {
			others = machines[i:]
			break
		}
		delete(from.machines, m.Name)
		to.addMachine(m)
		if from.version == 0 {
			continue
		}
		if _, ok := from.Retained(m.Name); !ok {
			from.Retain(m.Name, w.record(m, func(a *fleet.Attempt) bool { return !a.Recorded }))
		}
		if !slices.Contains(m.otherBuckets, from) {
			w.addOtherBuckets(m, from)
		}
	}
	w.writeBucket(to, priority)
	return others
}

// record returns the record of a machine for a bucket, without the attempts for which
// leaveOut returns true.
func (w *Writer) record(m *Machine, leaveOut func(*fleet.Attempt) bool) fleet.Record {
	r := m.Record(leaveOut)
	r.LimitImages(w.limit.imageBytes())
	return r
}

// maxRecordBytes returns the maximum number of bytes that the machine's record takes in
// a bucket.
func (w *Writer) maxRecordBytes(m *Machine) int {
	r := w.record(m, func(*fleet.Attempt) bool { return false })
	return r.MaxBytes(m.Name)
}

// bucketContent returns the content to write to a bucket.
func (w *Writer) bucketContent(b *Bucket, write *bucketWrite) fleet.RecordBucket {
	content := fleet.RecordBucket{Machines: make(map[string]fleet.Record, len(b.machines)), Write: w.scheduler.UniqueWriteID()}
	maps.Copy(content.Machines, b.retained)
	for name, m := range b.machines {
		content.Machines[name] = w.record(m, func(a *fleet.Attempt) bool {
			return !a.Recorded && (write.forConsolidation || !w.addJobCondition(write, a))
		})
	}
	return content
}

// addMachineToWrite adds to a write of the machine's bucket what it records of the
// machine.
func (w *Writer) addMachineToWrite(write *bucketWrite, m *Machine) {
	if len(m.otherBuckets) > 0 {
		write.consolidated = append(write.consolidated, m)
	}
	m.checkpointDue = false
	if !write.forConsolidation {
		m.Dirty = false
	}
	for _, a := range m.Attempts.All() {
		switch {
		case a.Exited():
		case a.Recorded:
			if a.Journal != "" {
				write.fromJournal = append(write.fromJournal, a)
			}
		case write.forConsolidation:
		case w.addJobCondition(write, a):
			write.addAttempt(m, a)
		default:
			m.Dirty = true
		}
	}
}
