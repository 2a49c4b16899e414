package placement

import (
	"slices"

	"heronwick/wire"
)

// Resources is what a machine has or a task takes.
type Resources struct {
	CPUs, GPUs, MemoryGB float64
}

// slack absorbs the rounding of sums of decimal numbers.
const slack = 1e-6

// Plus adds resources.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPUs + o.CPUs, r.GPUs + o.GPUs, r.MemoryGB + o.MemoryGB}
}

// Minus subtracts resources.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPUs - o.CPUs, r.GPUs - o.GPUs, r.MemoryGB - o.MemoryGB}
}

// Times multiplies resources.
func (r Resources) Times(n float64) Resources {
	return Resources{r.CPUs * n, r.GPUs * n, r.MemoryGB * n}
}

// Within tells whether r fits into room in every resource.
func (r Resources) Within(room Resources) bool {
	return r.CPUs <= room.CPUs+slack && r.GPUs <= room.GPUs+slack && r.MemoryGB <= room.MemoryGB+slack
}

// Of returns what each task of the job takes.
func Of(j *wire.Job) Resources { return Resources{j.CPUs, j.GPUs, j.MemoryGB} }

// Capacity returns what a machine of the type has.
func Capacity(t *wire.MachineType) Resources { return Resources{t.CPUs, t.GPUs, t.MemoryGB} }

// Place is where a machine stands and what it is.
type Place struct {
	Type string
	Zone string
	Spot bool
}

// Spread tells where the tasks of one job are that may be on machines now. Those
// under "" may be in any zone.
type Spread struct {
	ByZone map[string]int
}

// Allows tells whether one more task of the job may go to a machine at the
// place, given where its other tasks may be.
func Allows(j *wire.Job, at Place, others Spread) bool {
	if at.Spot && !j.Spot {
		return false
	}
	if j.Zone != nil && *j.Zone != at.Zone {
		return false
	}
	if len(j.Types) > 0 && !slices.Contains(j.Types, at.Type) {
		return false
	}
	if j.Spread && others.ByZone[at.Zone]+others.ByZone[""]+1 > (j.Tasks+1)/2 {
		return false
	}
	if j.OneZone {
		for zone, n := range others.ByZone {
			if n > 0 && zone != at.Zone {
				return false
			}
		}
	}
	return true
}

// CanEver tells whether a task of the job fits an empty machine of some type
// that the job allows.
func CanEver(j *wire.Job, types []wire.MachineType) bool {
	for i := range types {
		t := &types[i]
		if !Of(j).Within(Capacity(t)) {
			continue
		}
		for _, zone := range t.Zones {
			if Allows(j, Place{Type: t.Name, Zone: zone}, Spread{}) {
				return true
			}
		}
	}
	return false
}

// List is a Move To Front list: the open machines, the most recently used
// first.
type List[M comparable] struct {
	machines []M
	open     map[M]bool
}

// Find returns the first machine that fits and leaves the list as it is.
func (l *List[M]) Find(fits func(machine M) bool) (machine M, ok bool) {
	for _, m := range l.machines {
		if fits(m) {
			return m, true
		}
	}
	return machine, false
}

// Walk calls fits from the front on and returns the first machine that fits,
// which it moves to the front.
func (l *List[M]) Walk(fits func(machine M) bool) (machine M, ok bool) {
	machine, ok = l.Find(fits)
	if ok {
		l.MoveToFront(machine)
	}
	return machine, ok
}

// MoveToFront puts a machine first; one that is not listed is opened so.
func (l *List[M]) MoveToFront(machine M) {
	at := len(l.machines)
	if l.Has(machine) {
		at = slices.Index(l.machines, machine)
	} else {
		l.Append(machine)
	}
	copy(l.machines[1:at+1], l.machines[:at])
	l.machines[0] = machine
}

// Append adds a machine at the end, when a list is rebuilt.
func (l *List[M]) Append(machine M) {
	if l.Has(machine) {
		return
	}
	if l.open == nil {
		l.open = map[M]bool{}
	}
	l.open[machine] = true
	l.machines = append(l.machines, machine)
}

// Close removes a machine whose last task has ended.
func (l *List[M]) Close(machine M) {
	if !l.Has(machine) {
		return
	}
	delete(l.open, machine)
	at := slices.Index(l.machines, machine)
	l.machines = slices.Delete(l.machines, at, at+1)
}

// Has tells whether the machine is open.
func (l *List[M]) Has(machine M) bool { return l.open[machine] }

// Order returns the machines, front first.
func (l *List[M]) Order() []M { return slices.Clone(l.machines) }
