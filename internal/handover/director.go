package handover

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"heronwick/internal/standin"
)

// Controller is a controller of a rehearsal, wherever it runs.
type Controller interface {
	Arm(at Point)
	Frozen() bool
	// Resume lets it go on, or disarms it.
	Resume()
	// Kill ends it for good.
	Kill()
}

// Result is what a rehearsal has shown.
type Result struct {
	Handovers int
	Verdict   Verdict
	// Undone is how many intents were still open at the end.
	Undone int
	// Took is how long handovers took, in seconds, from the choice of the successor until
	// it held the duties: where a lease had to lapse, and where the former holder's
	// membership was over.
	Lapsed, Removed []float64
	// Frozen counts the handovers by the point at which the holder was frozen.
	Frozen [Points]int
	// Missed counts handovers that did not come about in time.
	Missed int
}

// Add adds the result of another group.
func (r *Result) Add(o Result) {
	r.Handovers, r.Undone, r.Missed = r.Handovers+o.Handovers, r.Undone+o.Undone, r.Missed+o.Missed
	r.Lapsed, r.Removed = append(r.Lapsed, o.Lapsed...), append(r.Removed, o.Removed...)
	for point, count := range o.Frozen {
		r.Frozen[point] += count
	}
	v := &r.Verdict
	v.Returned, v.Rented, v.Late = v.Returned+o.Verdict.Returned, v.Rented+o.Verdict.Rented, v.Late+o.Verdict.Late
	v.AfterRefusal, v.Stale = v.AfterRefusal+o.Verdict.AfterRefusal, v.Stale+o.Verdict.Stale
	v.Findings = append(v.Findings, o.Verdict.Findings...)
}

// Director forces handovers.
type Director struct {
	State    *standin.State
	Judge    *Judge
	Start    func(name string) Controller // of a name that was never used
	Seed     uint64
	Fenced   bool          // whether duties are on
	Patience time.Duration // for one handover
	Pace     time.Duration // between two actions of a controller
	Settle   time.Duration // at the end

	epoch       epoch
	random      *rand.Rand
	controllers map[string]Controller
	frozen      []string // resumed later
	result      Result
}

// atOnce is how many controllers run at once.
const atOnce = 3

// Run forces so many handovers and returns what they have shown.
func (d *Director) Run(handovers int) Result {
	d.random = rand.New(rand.NewPCG(d.Seed, 3))
	d.epoch.Members, d.controllers = map[string]uint64{}, map[string]Controller{}
	for range atOnce {
		d.start()
	}
	d.elect(d.others("")[0], false)
	d.awaitHolder(d.epoch.Leader)
	for range handovers {
		d.handOver()
	}
	for _, name := range d.frozen {
		d.controllers[name].Resume()
	}
	d.epoch.Quiet = true
	d.elect(d.epoch.Leader, false)
	time.Sleep(d.Settle)
	d.result.Handovers, d.result.Verdict = handovers, d.Judge.Verdict()
	d.result.Undone = len(d.State.Items(condemnedKeys)) + len(d.State.Items(rentalKeys))
	return d.result
}

// start starts a controller, a member from the next epoch on.
func (d *Director) start() {
	name := fmt.Sprintf("c%d", len(d.controllers)+1)
	d.controllers[name] = d.Start(name)
	d.epoch.Members[name] = 0
}

// others lists the members besides one, in order.
func (d *Director) others(name string) []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(d.epoch.Members)), func(member string) bool {
		return member == name || slices.Contains(d.frozen, member)
	})
}

// elect makes a controller the leader, and removes the former one if it is to. Who has
// been removed, or is new, is a member of the epoch after.
func (d *Director) elect(name string, remove bool) {
	for member, since := range d.epoch.Members {
		if since == 0 && member != d.epoch.Leader {
			d.epoch.Members[member] = d.State.Version(epochKey) + 1
		}
	}
	if remove {
		d.epoch.Members[d.epoch.Leader] = 0
	}
	d.epoch.Leader = name
	d.State.Put(epochKey, d.epoch)
}

// handOver freezes the holder somewhere in an action, has another take over, and
// resumes or ends the former one.
func (d *Director) handOver() {
	holder, at := d.epoch.Leader, Point(d.random.IntN(int(Points)))
	d.controllers[holder].Arm(at)
	if d.await(d.controllers[holder].Frozen) {
		d.result.Frozen[at]++
	} else {
		d.controllers[holder].Resume()
	}
	others := d.others(holder)
	next, removed := others[d.random.IntN(len(others))], d.random.IntN(2) == 0
	began := time.Now()
	d.elect(next, removed)
	switch held := d.awaitHolder(next); {
	case !held:
		d.result.Missed++
	case removed:
		d.result.Removed = append(d.result.Removed, time.Since(began).Seconds())
	default:
		d.result.Lapsed = append(d.result.Lapsed, time.Since(began).Seconds())
	}
	time.Sleep(time.Duration(d.random.Int64N(int64(20 * d.Pace))))
	d.release(holder)
}

// release has the former holder go on, at once or after later handovers, or ends it.
func (d *Director) release(holder string) {
	switch d.random.IntN(3) {
	case 0:
		d.controllers[holder].Resume()
	case 1:
		d.controllers[holder].Kill()
		delete(d.epoch.Members, holder)
		d.start()
	default:
		d.frozen = append(d.frozen, holder)
	}
	for len(d.frozen) > 1 {
		d.controllers[d.frozen[0]].Resume()
		d.frozen = d.frozen[1:]
	}
}

// awaitHolder waits until a controller holds the duties of the fleet.
func (d *Director) awaitHolder(name string) bool {
	return !d.Fenced || d.await(func() bool {
		return holderIn(d.State, holderOfRentals) == name && holderIn(d.State, holderOfReturns) == name
	})
}

// lookEvery is how often what is waited for is looked at.
const lookEvery = 5 * time.Millisecond

// await waits until something holds, for as long as patience lasts.
func (d *Director) await(holds func() bool) bool {
	for until := time.Now().Add(d.Patience); !holds(); time.Sleep(lookEvery) {
		if time.Now().After(until) {
			return false
		}
	}
	return true
}
