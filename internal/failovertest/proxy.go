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

// FreezePoint is a point in a controller's action, identified by the request that the
// controller sends there.
type FreezePoint int

// The points at which a controller can be frozen. A request that it has already sent is
// carried out when the controller is resumed, or after it has been killed.
const (
	Reading               FreezePoint = iota // before or after a read of the store
	BeforeWrite                              // before a transaction is sent
	BeforeWriteResponse                      // after a transaction is carried out, before its response is delivered
	BeforeRequest                            // before a request to the machine service is sent
	BeforeRequestResponse                    // after the request is carried out, before its response is delivered
	WhileClosing                             // before or after the deletion of a key
	NumFreezePoints                          // number of points, not a point itself
)

// freezePointNames are the names of the points, which are printed in the result.
var freezePointNames = [NumFreezePoints]string{
	"reading",
	"before a write",
	"before a write's answer",
	"before a request",
	"before a request's answer",
	"while closing an intent",
}

// String returns the name of the point.
func (p FreezePoint) String() string { return freezePointNames[p] }

// MaxDelay bounds the delay of requests that the Proxy delays.
const MaxDelay = 20 * time.Second

// fault is what the Proxy does to a request to the machine service. Values above responseLost
// mean no fault.
type fault int

const (
	delayed      fault = iota // carried out late, without a response
	duplicated                // carried out immediately and again late
	responseLost              // carried out immediately, without a response
)

// faultRange is the number of values from which a fault is drawn: three of sixteen requests
// suffer one.
const faultRange = 16

// Proxy is a fault-injecting proxy through which one controller reaches the store and the
// machine service. Some requests to the machine service suffer a fault. While the controller
// is frozen, the proxy forwards nothing.
type Proxy struct {
	checker *Checker
	node    string
	store   *standin.Conn
	freeze  func() // pauses the controller itself

	mu     sync.Mutex
	random *rand.Rand
	armed  bool          // the controller freezes when it reaches the point
	at     FreezePoint   // the point, if armed
	resume chan struct{} // closed when the controller is resumed; nil if it is not frozen
}

// NewProxy returns the proxy of the controller with the given name. freeze pauses the
// controller and is called while the Proxy's lock is held; seed determines the faults.
func NewProxy(checker *Checker, name string, seed uint64, freeze func()) *Proxy {
	return &Proxy{checker: checker, node: name, store: checker.state.Connect(name), freeze: freeze, random: rand.New(rand.NewPCG(seed, 2))}
}

// Arm makes the controller freeze the next time it reaches a point.
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

// Resume disarms the proxy and lets waiting requests continue.
func (p *Proxy) Resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.armed = false
	if p.resume != nil {
		close(p.resume)
		p.resume = nil
	}
}

// pauseAt freezes the controller if the proxy is armed for the point, and blocks while the
// controller is frozen.
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

// deleteField is the JSON field of a wire.Change that deletes a key.
var deleteField = []byte(`"drop"`)

// freezePoints returns the points before and after a request to the store. Leases, lists and
// watches have none; they still block while the controller is frozen.
func freezePoints(target string, body []byte) (before, after FreezePoint) {
	switch {
	case target != wire.PathTxn && !strings.HasPrefix(target, wire.PathKeys+"/"):
		return NumFreezePoints, NumFreezePoints
	case bytes.Contains(body, deleteField):
		return WhileClosing, WhileClosing
	case target == wire.PathTxn:
		return BeforeWrite, BeforeWriteResponse
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

// deliver carries out a request to the machine service with a random fault, and reports
// whether the controller gets a response.
func (p *Proxy) deliver(carryOut func()) (responded bool) {
	p.mu.Lock()
	drawn, delay := fault(p.random.IntN(faultRange)), time.Duration(p.random.Int64N(int64(MaxDelay)))
	p.mu.Unlock()
	p.pauseAt(BeforeRequest)
	if drawn == delayed || drawn == duplicated {
		time.AfterFunc(delay, carryOut)
	}
	if drawn != delayed {
		carryOut()
	}
	p.pauseAt(BeforeRequestResponse)
	return drawn != delayed && drawn != responseLost
}

// Rent implements duty.Provider. It returns cloud.ErrUnavailable if there is no response.
func (p *Proxy) Rent(_ context.Context, req wire.RentRequest) ([]string, error) {
	rented := make(chan []string, 2) // a duplicated request writes two results
	if !p.deliver(func() { rented <- p.checker.rent(p.node, req) }) {
		return nil, cloud.ErrUnavailable
	}
	if names := <-rented; len(names) > 0 {
		return names, nil
	}
	return nil, cloud.ErrNoCapacity
}

// Return implements duty.Provider. It returns cloud.ErrUnavailable if there is no response.
func (p *Proxy) Return(_ context.Context, machines []string) error {
	if !p.deliver(func() { p.checker.returnMachines(p.node, machines) }) {
		return cloud.ErrUnavailable
	}
	return nil
}

// List implements MachineService.
func (p *Proxy) List(context.Context) ([]wire.Machine, error) { return p.checker.list(), nil }
