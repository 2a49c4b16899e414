package handover

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"heronwick/internal/standin"
)

// Controllers are the controllers of a rehearsal, wherever they run.
type Controllers interface {
	// Start starts another controller of a name that was never used.
	Start(name string)
	// Arm freezes a controller when it next comes to a point; Frozen tells whether
	// it has. Resume lets it go on, or disarms it.
	Arm(name string, at Point)
	Frozen(name string) bool
	Resume(name string)
	// Kill ends a controller for good.
	Kill(name string)
}

// Result is what a rehearsal has shown.
type Result struct {
	Handovers int
	Verdict   Verdict
	// Undone is how many intents were still open at the end.
	Undone int
	// Took is how long each handover took, from the choice of the successor until it
	// held the duties, by whether the former holder's membership had ended.
	Took map[bool][]time.Duration
	// Frozen counts the handovers by the point at which the holder was frozen.
	Frozen map[Point]int
	// Missed counts handovers that did not come about in time.
	Missed int
}

// Director forces handovers.
type Director struct {
	State       *standin.State
	Judge       *Judge
	Controllers Controllers
	Seed        uint64
	Fenced      bool          // whether duties are on
	Patience    time.Duration // for one handover
	Pace        time.Duration // between two actions of a controller
	Settle      time.Duration // at the end

	epoch  epoch
	random *rand.Rand
	names  int
	frozen []string // resumed later
	result Result
}

// controllers is how many run at once.
const controllers = 3

// Run forces so many handovers and returns what they have shown.
func (d *Director) Run(handovers int) Result {
	d.random = rand.New(rand.NewPCG(d.Seed, 3))
	d.epoch.Members = map[string]uint64{}
	d.result = Result{Took: map[bool][]time.Duration{}, Frozen: map[Point]int{}}
	for range controllers {
		d.start()
	}
	d.elect(d.others("")[0], false)
	d.awaitHolder(d.epoch.Leader)
	for range handovers {
		d.handOver()
	}
	for _, name := range d.frozen {
		d.Controllers.Resume(name)
	}
	d.epoch.Quiet = true
	d.elect(d.epoch.Leader, false)
	time.Sleep(d.Settle)
	d.result.Handovers, d.result.Verdict, d.result.Undone = handovers, d.Judge.Verdict(), d.Judge.Open()
	return d.result
}

// start starts a controller, a member from the next epoch on.
func (d *Director) start() {
	d.names++
	name := fmt.Sprintf("c%d", d.names)
	d.Controllers.Start(name)
	d.epoch.Members[name] = 0
}

// others lists the members besides one, in order.
func (d *Director) others(name string) []string {
	var others []string
	for member := range d.epoch.Members {
		if member != name && !slices.Contains(d.frozen, member) {
			others = append(others, member)
		}
	}
	slices.Sort(others)
	return others
}

// elect makes a controller the leader, and removes the former one if it is to. Who has
// been removed, or is new, is a member of the epoch after.
func (d *Director) elect(name string, remove bool) {
	former := d.epoch.Leader
	since := d.State.Version(epochKey) + 1
	for member, began := range d.epoch.Members {
		if began == 0 && member != former {
			d.epoch.Members[member] = since
		}
	}
	if remove {
		d.epoch.Members[former] = 0
	}
	d.epoch.Leader = name
	d.State.Put(epochKey, d.epoch)
}

// handOver freezes the holder somewhere in an action, has another take over, and
// resumes or ends the former one.
func (d *Director) handOver() {
	holder, at := d.epoch.Leader, Point(d.random.IntN(int(Points)))
	d.Controllers.Arm(holder, at)
	if d.await(func() bool { return d.Controllers.Frozen(holder) }) {
		d.result.Frozen[at]++
	} else {
		d.Controllers.Resume(holder)
	}
	others := d.others(holder)
	next, removed := others[d.random.IntN(len(others))], d.random.IntN(2) == 0
	began := time.Now()
	d.elect(next, removed)
	if d.awaitHolder(next) {
		d.result.Took[removed] = append(d.result.Took[removed], time.Since(began))
	} else {
		d.result.Missed++
	}
	time.Sleep(time.Duration(d.random.Int64N(int64(20 * d.Pace))))
	d.release(holder)
}

// release has the former holder go on, at once or after later handovers, or ends it.
func (d *Director) release(holder string) {
	switch d.random.IntN(3) {
	case 0:
		d.Controllers.Resume(holder)
	case 1:
		d.Controllers.Kill(holder)
		delete(d.epoch.Members, holder)
		d.start()
	default:
		d.frozen = append(d.frozen, holder)
	}
	for len(d.frozen) > 1 {
		d.Controllers.Resume(d.frozen[0])
		d.frozen = d.frozen[1:]
	}
}

// awaitHolder waits until a controller holds the duties of the fleet.
func (d *Director) awaitHolder(name string) bool {
	if !d.Fenced {
		return true // whom the epoch names acts
	}
	return d.await(func() bool {
		for _, key := range []string{holderOfRentals, holderOfReturns} {
			var holder struct {
				Node string `json:"node"`
			}
			if json.Unmarshal(d.State.Get(key), &holder) != nil || holder.Node != name {
				return false
			}
		}
		return true
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
