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
	"heronwick/wire"
)

// FreezePoint is a moment of a controller's action, as the world outside sees it.
type FreezePoint int

// The points at which a controller can be frozen. What it has sent before an answer is
// carried out once it goes on, or after its end.
const (
	Reading FreezePoint = iota // before it knows what it will act on
	BeforeWrite
	WriteUnanswered // between an intent and the request
	BeforeRequest
	RequestUnanswered // between the request and its record
	WhileClosing
	NumFreezePoints
)

// String implements fmt.Stringer.
func (p FreezePoint) String() string {
	return [...]string{"reading", "before a write", "before a write's answer", "before a request", "before a request's answer", "while closing an intent"}[p]
}

// MaxDelay is how late a request is carried out at most.
const MaxDelay = 20 * time.Second

// Proxy is a fault-injecting proxy through which one controller reaches the store and the
// machine service. Three requests in sixteen to the latter are carried out late, or twice, or lose
// their answer. Nothing passes while the controller is frozen.
type Proxy struct {
	checker *Checker
	node    string
	store   *standin.Conn
	freeze  func() // stops the controller itself

	mu     sync.Mutex
	random *rand.Rand
	armed  bool
	at     FreezePoint
	resume chan struct{} // nil: it is not frozen
}

// NewProxy makes the proxy of the controller called name; freeze stops the controller.
func NewProxy(checker *Checker, name string, seed uint64, freeze func()) *Proxy {
	return &Proxy{checker: checker, node: name, store: checker.state.Connect(name), freeze: freeze, random: rand.New(rand.NewPCG(seed, 2))}
}

// Arm freezes the controller when it next comes to a point.
func (p *Proxy) Arm(at FreezePoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.armed, p.at = true, at
}

// Frozen tells whether the controller is frozen.
func (p *Proxy) Frozen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resume != nil
}

// Resume disarms the proxy and lets pass what waits.
func (p *Proxy) Resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.armed = false; p.resume != nil {
		close(p.resume)
		p.resume = nil
	}
}

// pauseAt freezes the controller if it is to be frozen at a point, and waits while it is.
func (p *Proxy) pauseAt(to FreezePoint) {
	p.mu.Lock()
	if p.armed && p.at == to && p.resume == nil {
		p.armed, p.resume = false, make(chan struct{})
		p.freeze()
	}
	closed := p.resume
	p.mu.Unlock()
	if closed != nil {
		<-closed
	}
}

// Do implements state.Doer.
func (p *Proxy) Do(ctx context.Context, method, target string, body []byte) (int, []byte, error) {
	before, after := Reading, Reading
	switch {
	case target != wire.PathTxn && !strings.HasPrefix(target, wire.PathKeys+"/"):
		before, after = NumFreezePoints, NumFreezePoints // a lease or a watch: no point, but nothing passes
	case bytes.Contains(body, []byte(`"drop"`)):
		before, after = WhileClosing, WhileClosing
	case target == wire.PathTxn:
		before, after = BeforeWrite, WriteUnanswered
	}
	p.pauseAt(before)
	status, reply, err := p.store.Do(ctx, method, target, body)
	p.pauseAt(after)
	return status, reply, err
}

// deliver carries a request out, now, late or both, and tells whether it is answered.
func (p *Proxy) deliver(carryOut func()) (answered bool) {
	p.mu.Lock()
	fault, delay := p.random.IntN(16), time.Duration(p.random.Int64N(int64(MaxDelay)))
	p.mu.Unlock()
	const delayedOnly, duplicated, replyLost = 0, 1, 2
	p.pauseAt(BeforeRequest)
	if fault == delayedOnly || fault == duplicated {
		time.AfterFunc(delay, carryOut)
	}
	if fault != delayedOnly {
		carryOut()
	}
	p.pauseAt(RequestUnanswered)
	return fault != delayedOnly && fault != replyLost
}

// Rent implements duty.Provider.
func (p *Proxy) Rent(_ context.Context, req wire.RentRequest) ([]string, error) {
	rented := make(chan []string, 2)
	if !p.deliver(func() { rented <- p.checker.rent(p.node, req) }) {
		return nil, cloud.ErrUnavailable
	}
	if names := <-rented; len(names) > 0 {
		return names, nil
	}
	return nil, cloud.ErrNoCapacity
}

// Return implements duty.Provider.
func (p *Proxy) Return(_ context.Context, machines []string) error {
	if !p.deliver(func() { p.checker.returnMachines(p.node, machines) }) {
		return cloud.ErrUnavailable
	}
	return nil
}

// List lists the machines.
func (p *Proxy) List(context.Context) ([]wire.Machine, error) { return p.checker.list(), nil }
