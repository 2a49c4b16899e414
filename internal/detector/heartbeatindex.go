package detector

import (
	"iter"
	"slices"
	"sort"
	"time"
)

// heartbeatIndex tells how many workers have sent a heartbeat since a given
// time, and of those that fail to answer probes, how many have not. It is made
// once for all machines that may be dead: hundreds can fail at once.
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

// heartbeatTimes are the times of the workers' last heartbeats, sorted: of all
// workers, and of those that fail to answer probes.
type heartbeatTimes struct {
	last, failing []time.Time
}

// add adds a worker; sort must follow the last.
func (h *heartbeatTimes) add(w *Worker) {
	h.last = append(h.last, w.LastHeartbeat)
	if w.failedProbes > 0 {
		h.failing = append(h.failing, w.LastHeartbeat)
	}
}

// sort puts the times in order, for since.
func (h *heartbeatTimes) sort() {
	slices.SortFunc(h.last, time.Time.Compare)
	slices.SortFunc(h.failing, time.Time.Compare)
}

// since tells how many were heard after t, and how many of those that fail
// were not.
func (h *heartbeatTimes) since(t time.Time) (heard, failed int) {
	after := func(times []time.Time) int {
		return sort.Search(len(times), func(i int) bool { return times[i].After(t) })
	}
	return len(h.last) - after(h.last), after(h.failing)
}
