package placement

import "slices"

// List is a Move To Front list of the open machines, those that have a task: the most
// recently used first. Its zero value is empty.
type List[M comparable] struct {
	machines []M
	open     map[M]bool // the same machines
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

// FindAndMoveToFront returns the first machine that fits and moves it to the front.
func (l *List[M]) FindAndMoveToFront(fits func(machine M) bool) (machine M, ok bool) {
	machine, ok = l.Find(fits)
	if ok {
		l.MoveToFront(machine)
	}
	return machine, ok
}

// MoveToFront puts a machine first; one that is not in the list is added.
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

// Append adds a machine at the end, unless it is in the list.
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

// Has reports whether the machine is in the list.
func (l *List[M]) Has(machine M) bool { return l.open[machine] }

// Order returns a copy of the list, front first.
func (l *List[M]) Order() []M { return slices.Clone(l.machines) }
