package placement

import (
	"slices"

	"heronwick/wire"
)

// Resources is an amount of each resource, which a machine has or a task takes.
type Resources struct {
	CPUs, GPUs, MemoryGB float64
}

// tolerance absorbs the rounding errors of floating-point sums.
const tolerance = 1e-6

// Plus returns the sum of r and other.
func (r Resources) Plus(other Resources) Resources {
	return Resources{r.CPUs + other.CPUs, r.GPUs + other.GPUs, r.MemoryGB + other.MemoryGB}
}

// Minus returns r minus other.
func (r Resources) Minus(other Resources) Resources {
	return Resources{r.CPUs - other.CPUs, r.GPUs - other.GPUs, r.MemoryGB - other.MemoryGB}
}

// Times returns r multiplied by n.
func (r Resources) Times(n float64) Resources {
	return Resources{r.CPUs * n, r.GPUs * n, r.MemoryGB * n}
}

// Within reports whether r is at most room in every resource, up to the tolerance.
func (r Resources) Within(room Resources) bool {
	return r.CPUs <= room.CPUs+tolerance && r.GPUs <= room.GPUs+tolerance && r.MemoryGB <= room.MemoryGB+tolerance
}

// TaskResources returns the resources that one task of the job takes.
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

// Spread is the distribution over zones of the tasks of one job that may be on machines.
type Spread struct {
	ByZone map[string]int // number of tasks by zone; for tasks under "" the zone is unknown
}

// Allows reports whether one more task of the job may run on a machine of the pool, given
// the zones where its other tasks may be. It does not check resources.
func Allows(j *wire.Job, pool Pool, others Spread) bool {
	if pool.Spot && !j.Spot {
		return false
	}
	if j.Zone != nil && *j.Zone != pool.Zone {
		return false
	}
	if len(j.Types) > 0 && !slices.Contains(j.Types, pool.Type) {
		return false
	}
	if j.Spread && others.ByZone[pool.Zone]+others.ByZone[""]+1 > (j.Tasks+1)/2 {
		return false
	}
	if j.OneZone {
		for zone, n := range others.ByZone {
			if n > 0 && zone != pool.Zone {
				return false
			}
		}
	}
	return true
}

// FitsAnyType reports whether a task of the job fits on an empty machine of any type
// that the job allows.
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
