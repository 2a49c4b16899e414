package handover

import (
	"bytes"
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"heronwick/internal/cloud"
	"heronwick/internal/standin"
	"heronwick/wire"
)

// Point is a moment of a controller's action, as the world outside sees it.
type Point int

// The points at which a controller can be frozen. What it has sent before an answer is
// carried out once it goes on, or after its end.
const (
	Reading Point = iota // before it knows what it will act on
	BeforeWrite
	WriteUnanswered // between an intent and the request
	BeforeRequest
	RequestUnanswered // between the request and its record
	WhileClosing
	Points
)

// String implements fmt.Stringer.
func (p Point) String() string {
	return [...]string{"reading", "before a write", "before a write's answer", "before a request", "before a request's answer", "while closing an intent"}[p]
}

// MaxLate is how late a request is carried out at most.
const MaxLate = 20 * time.Second

// Door is all that passes between one controller and the world: the store and the machine
// service. Three requests in sixteen to the latter are carried out late, or twice, or lose
// their answer. Nothing passes while the controller is frozen.
type Door struct {
	judge  *Judge
	sender string
	store  *standin.Path
	freeze func() // stops the controller itself

	mu     sync.Mutex
	random *rand.Rand
	armed  bool
	at     Point
	closed chan struct{} // nil: it is not frozen
}

// NewDoor makes the door of a controller.
func NewDoor(judge *Judge, name string, seed uint64, freeze func()) *Door {
	return &Door{judge: judge, sender: name, store: judge.state.Node(name), freeze: freeze, random: rand.New(rand.NewPCG(seed, 2))}
}

// Arm freezes the controller when it next comes to a point.
func (d *Door) Arm(at Point) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.armed, d.at = true, at
}

// Frozen tells whether the controller is frozen.
func (d *Door) Frozen() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.closed != nil
}

// Resume disarms the door and lets pass what waits.
func (d *Door) Resume() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.armed = false; d.closed != nil {
		close(d.closed)
		d.closed = nil
	}
}

// come freezes the controller if it is to be frozen at a point, and waits while it is.
func (d *Door) come(to Point) {
	d.mu.Lock()
	if d.armed && d.at == to && d.closed == nil {
		d.armed, d.closed = false, make(chan struct{})
		d.freeze()
	}
	closed := d.closed
	d.mu.Unlock()
	if closed != nil {
		<-closed
	}
}

// Do implements state.Doer.
func (d *Door) Do(ctx context.Context, method, target string, body []byte) (int, []byte, error) {
	before, after := Reading, Reading
	switch {
	case target != wire.PathTxn && !strings.HasPrefix(target, wire.PathKeys+"/"):
		before, after = Points, Points // a lease or a watch: no point, but nothing passes
	case bytes.Contains(body, []byte(`"drop"`)):
		before, after = WhileClosing, WhileClosing
	case target == wire.PathTxn:
		before, after = BeforeWrite, WriteUnanswered
	}
	d.come(before)
	status, reply, err := d.store.Do(ctx, method, target, body)
	d.come(after)
	return status, reply, err
}

// send carries a request out, now, late or both, and tells whether it is answered.
func (d *Door) send(carryOut func()) (answered bool) {
	d.mu.Lock()
	fate, late := d.random.IntN(16), time.Duration(d.random.Int64N(int64(MaxLate)))
	d.mu.Unlock()
	const lateOnly, repeated, answerLost = 0, 1, 2
	d.come(BeforeRequest)
	if fate == lateOnly || fate == repeated {
		time.AfterFunc(late, carryOut)
	}
	if fate != lateOnly {
		carryOut()
	}
	d.come(RequestUnanswered)
	return fate != lateOnly && fate != answerLost
}

// Rent implements duty.Provider.
func (d *Door) Rent(_ context.Context, req wire.RentRequest) ([]string, error) {
	rented := make(chan []string, 2)
	if !d.send(func() { rented <- d.judge.rent(d.sender, req) }) {
		return nil, cloud.ErrTrouble
	}
	if names := <-rented; len(names) > 0 {
		return names, nil
	}
	return nil, cloud.ErrNoCapacity
}

// Return implements duty.Provider.
func (d *Door) Return(_ context.Context, machines []string) error {
	if !d.send(func() { d.judge.giveBack(d.sender, machines) }) {
		return cloud.ErrTrouble
	}
	return nil
}

// List lists the machines.
func (d *Door) List(context.Context) ([]wire.Machine, error) { return d.judge.list(), nil }
