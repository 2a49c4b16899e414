package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// Move To Front as defined in section 2.2 of "Dynamic Vector Bin Packing for Online
// Resource Allocation in the Cloud": the item goes to the first machine in the list that
// can take it, and this machine moves to the front.
func TestFindAndMoveToFront(t *testing.T) {
	for _, test := range []struct {
		name  string
		fits  string
		want  string
		order []string
	}{
		{"front fits", "abc", "a", []string{"a", "b", "c"}},
		{"middle fits", "bc", "b", []string{"b", "a", "c"}},
		{"last fits", "c", "c", []string{"c", "a", "b"}},
		{"none fits", "", "", []string{"a", "b", "c"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := List[string]{}
			for _, m := range []string{"a", "b", "c"} {
				l.Append(m)
			}
			got, ok := l.FindAndMoveToFront(func(m string) bool { return slices.Contains([]byte(test.fits), m[0]) })
			if got != test.want || ok != (test.want != "") || !slices.Equal(l.Order(), test.order) {
				t.Errorf("got %q, order %v; want %q, order %v", got, l.Order(), test.want, test.order)
			}
		})
	}
}

// A newly opened machine is first in the list. Closing a machine keeps the others.
func TestOpenAndClose(t *testing.T) {
	l := List[string]{}
	l.MoveToFront("a")
	l.MoveToFront("b")
	if !slices.Equal(l.Order(), []string{"b", "a"}) {
		t.Errorf("got order %v after opening b, want b first", l.Order())
	}
	l.Close("b")
	if l.Has("b") || !l.Has("a") {
		t.Errorf("got order %v after closing b, want a only", l.Order())
	}
}

// bookings places tasks on machines of equal capacity with a Move To Front list.
type bookings struct {
	capacity    Resources
	booked      map[string]Resources // by machine
	tasks       []placedTask
	list        List[string]
	openedCount int // number of machines opened so far
}

type placedTask struct {
	machine string
	size    Resources
}

// remove removes the task with index i and closes its machine if no task is left on it.
func (b *bookings) remove(i int) {
	removed := b.tasks[i]
	b.tasks = slices.Delete(b.tasks, i, i+1)
	b.booked[removed.machine] = b.booked[removed.machine].Minus(removed.size)
	if !slices.ContainsFunc(b.tasks, func(p placedTask) bool { return p.machine == removed.machine }) {
		b.list.Close(removed.machine)
	}
}

// place books a task of the size on an open machine, or on a new one if none fits.
func (b *bookings) place(t *testing.T, size Resources) (machine string) {
	t.Helper()
	fits := func(m string) bool { return size.Within(b.capacity.Minus(b.booked[m])) }
	machine, ok := b.list.FindAndMoveToFront(fits)
	if !ok {
		if slices.ContainsFunc(b.list.Order(), fits) {
			t.Fatal("no machine was found although an open one fits")
		}
		b.openedCount++
		machine = fmt.Sprint("m", b.openedCount)
		b.list.MoveToFront(machine)
	}
	b.booked[machine] = b.booked[machine].Plus(size)
	b.tasks = append(b.tasks, placedTask{machine, size})
	return machine
}

// sum returns the resources that the tasks on the machine take.
func (b *bookings) sum(machine string) Resources {
	sum := Resources{}
	for _, p := range b.tasks {
		if p.machine == machine {
			sum = sum.Plus(p.size)
		}
	}
	return sum
}

// With tasks added and removed at random, no machine is booked beyond its capacity in
// any resource, and a machine is opened only if no open one fits.
func TestNeverOverbooked(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	b := bookings{capacity: Resources{16, 4, 64}, booked: map[string]Resources{}}
	for range 5000 {
		if len(b.tasks) > 0 && random.IntN(2) == 0 {
			b.remove(random.IntN(len(b.tasks)))
			continue
		}
		machine := b.place(t, Resources{float64(1 + random.IntN(16)), float64(random.IntN(5)), float64(1+random.IntN(640)) / 10})
		if sum := b.sum(machine); !sum.Within(b.capacity) {
			t.Fatalf("machine %s is overbooked: its tasks take %+v", machine, sum)
		}
	}
}
