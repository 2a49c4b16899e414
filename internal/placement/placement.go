package placement

import (
	"slices"

	"heronwick/wire"
)

// Resources are the resources that a machine has or a task takes.
type Resources struct {
	CPUs, GPUs, MemoryGB float64
}

// tolerance absorbs the rounding errors of sums of decimal numbers.
const tolerance = 1e-6

// Plus returns the sum of two resources.
func (r Resources) Plus(other Resources) Resources {
	return Resources{r.CPUs + other.CPUs, r.GPUs + other.GPUs, r.MemoryGB + other.MemoryGB}
}

// Minus returns the difference of two resources.
func (r Resources) Minus(other Resources) Resources {
	return Resources{r.CPUs - other.CPUs, r.GPUs - other.GPUs, r.MemoryGB - other.MemoryGB}
}

// Times returns the resources multiplied by n.
func (r Resources) Times(n float64) Resources {
	return Resources{r.CPUs * n, r.GPUs * n, r.MemoryGB * n}
}

// Within reports whether r fits into room in every resource.
func (r Resources) Within(room Resources) bool {
	return r.CPUs <= room.CPUs+tolerance && r.GPUs <= room.GPUs+tolerance && r.MemoryGB <= room.MemoryGB+tolerance
}

// TaskResources returns the resources that each task of the job takes.
func TaskResources(j *wire.Job) Resources { return Resources{j.CPUs, j.GPUs, j.MemoryGB} }

// Capacity returns the resources of a machine of the type.
func Capacity(t *wire.MachineType) Resources { return Resources{t.CPUs, t.GPUs, t.MemoryGB} }

// Pool is a set of interchangeable machines: those of one machine type in one zone,
// either all spot or all ordinary machines.
type Pool struct {
	Type string
	Zone string
	Spot bool
}

// Spread is the distribution of those tasks of one job that may be on machines now.
type Spread struct {
	ByZone map[string]int // number of tasks; those under "" may be in any zone
}

// Allows reports whether one more task of the job may run on a machine at the place,
// given where its other tasks may be. It does not look at resources.
func Allows(j *wire.Job, at Pool, others Spread) bool {
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

// FitsAnyType reports whether a task of the job fits an empty machine of some type that
// the job allows.
func FitsAnyType(j *wire.Job, types []wire.MachineType) bool {
	for i := range types {
		t := &types[i]
		if !TaskResources(j).Within(Capacity(t)) {
			continue
		}
		for _, zone := range t.Zones {
			if Allows(j, Pool{Type: t.Name, Zone: zone}, Spread{}) {
				return true
			}
		}
	}
	return false
}
