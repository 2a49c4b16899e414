package detector

import (
	"iter"
	"slices"
	"sort"
	"time"
)

// heartbeatIndex answers how many workers have been heard from since a given time, and
// how many of the workers with failed probes have not. It is built once per assessment and
// used for all workers that may be dead, since hundreds can fail at once.
type heartbeatIndex struct {
	all   heartbeatTimes
	zones map[string]*heartbeatTimes
}

// newHeartbeatIndex returns the index of all workers.
func newHeartbeatIndex(workers iter.Seq[*Worker]) *heartbeatIndex {
	index := &heartbeatIndex{zones: map[string]*heartbeatTimes{}}
	for w := range workers {
		zone := index.zones[w.Zone]
		if zone == nil {
			zone = &heartbeatTimes{}
			index.zones[w.Zone] = zone
		}
		index.all.add(w)
		zone.add(w)
	}
	index.all.sort()
	for _, zone := range index.zones {
		zone.sort()
	}
	return index
}

// heartbeatTimes holds the sorted times of the last heartbeats: of all workers, and of
// the workers with failed probes.
type heartbeatTimes struct {
	last, failing []time.Time
}

// add adds a worker. sort must be called after the last add and before countSince.
func (h *heartbeatTimes) add(w *Worker) {
	h.last = append(h.last, w.LastHeartbeat)
	if w.failedProbes > 0 {
		h.failing = append(h.failing, w.LastHeartbeat)
	}
}

// sort sorts the times, as countSince requires.
func (h *heartbeatTimes) sort() {
	slices.SortFunc(h.last, time.Time.Compare)
	slices.SortFunc(h.failing, time.Time.Compare)
}

// countSince returns how many workers have been heard from after t, and how many of the
// workers with failed probes have not.
func (h *heartbeatTimes) countSince(t time.Time) (heard, failed int) {
	after := func(times []time.Time) int {
		return sort.Search(len(times), func(i int) bool { return times[i].After(t) })
	}
	return len(h.last) - after(h.last), after(h.failing)
}
