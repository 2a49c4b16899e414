package failovertest

import (
	"bytes"
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"heronwick/internal/cloud"
	"heronwick/internal/standin"
	"heronwick/internal/state"
	"heronwick/wire"
)

// FreezePoint is a point of a controller's action, as its requests show it.
type FreezePoint int

// The points at which a controller can be frozen. A request that it has sent is carried
// out once it is resumed, or after it was killed.
const (
	Reading           FreezePoint = iota // around a read of the store
	BeforeWrite                          // before a transaction is sent
	WriteUnanswered                      // the transaction is carried out, its answer not delivered
	BeforeRequest                        // before a request to the machine service is sent
	RequestUnanswered                    // the request is carried out, its answer not delivered
	WhileClosing                         // around the removal of a key
	NumFreezePoints                      // how many there are; no point itself
)

// freezePointNames are the names of the points, by point.
var freezePointNames = [NumFreezePoints]string{
	"reading",
	"before a write",
	"before a write's answer",
	"before a request",
	"before a request's answer",
	"while closing an intent",
}

// String returns the point's name.
func (p FreezePoint) String() string { return freezePointNames[p] }

// MaxDelay is the longest delay of a request that the Proxy delays.
const MaxDelay = 20 * time.Second

// fault is what the Proxy does to a request to the machine service. Any value above
// replyLost is no fault.
type fault int

const (
	delayed    fault = iota // carried out late, and not answered
	duplicated              // carried out at once and again late
	replyLost               // carried out at once, and not answered
)

// faultDraws is how many values a fault is drawn from: three requests in sixteen fail.
const faultDraws = 16

// Proxy is a fault-injecting proxy through which one controller reaches the store and the
// machine service. Some requests to the latter suffer a fault. Nothing passes while the
// controller is frozen.
type Proxy struct {
	checker *Checker
	node    string
	store   *standin.Conn
	freeze  func() // pauses the controller itself

	mu     sync.Mutex
	random *rand.Rand
	armed  bool          // the controller is to be frozen at the point
	at     FreezePoint   // when armed
	resume chan struct{} // closed when the controller is resumed; nil: it is not frozen
}

// NewProxy returns the proxy of the controller called name. freeze pauses the controller
// and is called under the Proxy's lock; seed determines the faults.
func NewProxy(checker *Checker, name string, seed uint64, freeze func()) *Proxy {
	return &Proxy{checker: checker, node: name, store: checker.state.Connect(name), freeze: freeze, random: rand.New(rand.NewPCG(seed, 2))}
}

// Arm makes the controller freeze when it next reaches a point.
func (p *Proxy) Arm(at FreezePoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.armed, p.at = true, at
}

// Frozen reports whether the controller is frozen.
func (p *Proxy) Frozen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resume != nil
}

// Resume disarms the proxy and lets the requests pass that wait.
func (p *Proxy) Resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.armed = false
	if p.resume != nil {
		close(p.resume)
		p.resume = nil
	}
}

// pauseAt freezes the controller if it is to be frozen at a point, and waits while it is
// frozen.
func (p *Proxy) pauseAt(point FreezePoint) {
	p.mu.Lock()
	if p.armed && p.at == point && p.resume == nil {
		p.armed, p.resume = false, make(chan struct{})
		p.freeze()
	}
	resumed := p.resume
	p.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// removalField is the JSON field of a wire.Change that removes a key.
var removalField = []byte(`"drop"`)

// freezePoints returns the points before and after a request to the store. Leases and
// watches have none, but do not pass while the controller is frozen either.
func freezePoints(target string, body []byte) (before, after FreezePoint) {
	switch {
	case target != wire.PathTxn && !strings.HasPrefix(target, wire.PathKeys+"/"):
		return NumFreezePoints, NumFreezePoints
	case bytes.Contains(body, removalField):
		return WhileClosing, WhileClosing
	case target == wire.PathTxn:
		return BeforeWrite, WriteUnanswered
	}
	return Reading, Reading
}

// Do implements state.Transport.
func (p *Proxy) Do(ctx context.Context, method, target string, body []byte) (state.Response, error) {
	before, after := freezePoints(target, body)
	p.pauseAt(before)
	response, err := p.store.Do(ctx, method, target, body)
	p.pauseAt(after)
	return response, err
}

// deliver carries out a request to the machine service, with the fault that is drawn, and
// reports whether it is answered.
func (p *Proxy) deliver(carryOut func()) (answered bool) {
	p.mu.Lock()
	drawn, delay := fault(p.random.IntN(faultDraws)), time.Duration(p.random.Int64N(int64(MaxDelay)))
	p.mu.Unlock()
	p.pauseAt(BeforeRequest)
	if drawn == delayed || drawn == duplicated {
		time.AfterFunc(delay, carryOut)
	}
	if drawn != delayed {
		carryOut()
	}
	p.pauseAt(RequestUnanswered)
	return drawn != delayed && drawn != replyLost
}

// Rent implements duty.Provider. A request without an answer is cloud.ErrUnavailable.
func (p *Proxy) Rent(_ context.Context, req wire.RentRequest) ([]string, error) {
	rented := make(chan []string, 2) // a duplicated request answers twice
	if !p.deliver(func() { rented <- p.checker.rent(p.node, req) }) {
		return nil, cloud.ErrUnavailable
	}
	if names := <-rented; len(names) > 0 {
		return names, nil
	}
	return nil, cloud.ErrNoCapacity
}

// Return implements duty.Provider. A request without an answer is cloud.ErrUnavailable.
func (p *Proxy) Return(_ context.Context, machines []string) error {
	if !p.deliver(func() { p.checker.returnMachines(p.node, machines) }) {
		return cloud.ErrUnavailable
	}
	return nil
}

// List implements Machines.
func (p *Proxy) List(context.Context) ([]wire.Machine, error) { return p.checker.list(), nil }
