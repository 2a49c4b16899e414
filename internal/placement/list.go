package placement

import "slices"

// List is the Move To Front list of open machines, which are the machines that have
// tasks. The most recently used machine is first. The zero value is an empty list.
type List[M comparable] struct {
	machines []M
	open     map[M]bool // the same machines as a set
}

// Find returns the first machine that fits, without changing the list.
func (l *List[M]) Find(fits func(machine M) bool) (machine M, ok bool) {
	for _, m := range l.machines {
		if fits(m) {
			return m, true
		}
	}
	return machine, false
}

// FindAndMoveToFront returns the first machine that fits and moves it to the front of
// the list.
func (l *List[M]) FindAndMoveToFront(fits func(machine M) bool) (machine M, ok bool) {
	machine, ok = l.Find(fits)
	if ok {
		l.MoveToFront(machine)
	}
	return machine, ok
}

// MoveToFront moves a machine to the front of the list, adding it if it is missing.
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

// Append adds a machine at the end of the list, unless it is in the list already.
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

// Close removes a machine from the list, if it is there. It is called when the last
// task of the machine has ended.
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

// Order returns a copy of the list, from front to back.
func (l *List[M]) Order() []M { return slices.Clone(l.machines) }
