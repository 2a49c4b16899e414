package fleet

import "slices"

// Attempts is the set of attempts that may be on one machine, in the order in which
// they were added. It is a slice rather than a map because a machine has only a few
// attempts, and each heartbeat and scheduling pass iterates over them.
type Attempts struct {
	all []*Attempt
}

// All returns all attempts. Later calls of Put and Delete do not change the returned
// slice, so a loop over it may call them.
func (as *Attempts) All() []*Attempt { return as.all }

// Len returns the number of attempts.
func (as *Attempts) Len() int { return len(as.all) }

// Get returns the attempt with the key, or nil if there is none.
func (as *Attempts) Get(key Key) *Attempt {
	if i := as.index(key); i >= 0 {
		return as.all[i]
	}
	return nil
}

// Put adds an attempt, replacing one with the same key.
func (as *Attempts) Put(a *Attempt) {
	if i := as.index(a.Key); i >= 0 {
		as.all = slices.Clone(as.all)
		as.all[i] = a
		return
	}
	as.all = append(as.all, a)
}

// Delete removes the attempt with the key, if it exists.
func (as *Attempts) Delete(key Key) {
	if i := as.index(key); i >= 0 {
		as.all = slices.Concat(as.all[:i], as.all[i+1:])
	}
}

// removeIf removes the attempts that match. It calls match once for each attempt.
func (as *Attempts) removeIf(match func(*Attempt) bool) {
	for i, a := range as.all {
		if match(a) {
			as.all = append(slices.Clone(as.all[:i]), keepUnless(match, as.all[i+1:])...)
			return
		}
	}
}

// keepUnless returns the attempts that do not match.
func keepUnless(match func(*Attempt) bool, attempts []*Attempt) (kept []*Attempt) {
	for _, a := range attempts {
		if !match(a) {
			kept = append(kept, a)
		}
	}
	return kept
}

// index returns the index of the attempt with the key, or -1 if there is none.
func (as *Attempts) index(key Key) int {
	for i, a := range as.all {
		if a.Attempt == key.Attempt && a.Task == key.Task {
			return i
		}
	}
	return -1
}
