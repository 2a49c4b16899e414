package handover

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"heronwick/internal/cloud"
	"heronwick/wire"
)

// MaxLate is how late a request is carried out at most.
const MaxLate = 20 * time.Second

// Network is one controller's way to the machine service: requests are carried out
// late, or twice, and answers get lost.
type Network struct {
	judge  *Judge
	sender string

	mu     sync.Mutex
	random *rand.Rand
}

// NewNetwork makes the way of a sender to the machine service.
func NewNetwork(judge *Judge, sender string, seed uint64) *Network {
	return &Network{judge: judge, sender: sender, random: rand.New(rand.NewPCG(seed, 2))}
}

// fate is what becomes of a request.
type fate int

const (
	fine fate = iota
	lateOnly
	answerLost
	repeated
	fates
)

// draw draws what becomes of a request; most are fine.
func (n *Network) draw() (fate, time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	late := time.Duration(n.random.Int64N(int64(MaxLate)))
	if n.random.IntN(4) > 0 {
		return fine, late
	}
	return fate(n.random.IntN(int(fates))), late
}

// send carries a request out as its fate is.
func (n *Network) send(carryOut func()) (answered bool) {
	what, late := n.draw()
	if what == lateOnly || what == repeated {
		time.AfterFunc(late, carryOut)
	}
	if what != lateOnly {
		carryOut()
	}
	return what == fine || what == repeated
}

// Rent implements duty.Provider.
func (n *Network) Rent(_ context.Context, req wire.RentRequest) ([]string, error) {
	var names []string
	var mu sync.Mutex
	answered := n.send(func() {
		mu.Lock()
		defer mu.Unlock()
		names = n.judge.Rent(n.sender, req)
	})
	mu.Lock()
	defer mu.Unlock()
	switch {
	case !answered:
		return nil, cloud.ErrTrouble
	case len(names) == 0:
		return nil, cloud.ErrNoCapacity
	}
	return names, nil
}

// Return implements duty.Provider.
func (n *Network) Return(_ context.Context, machines []string) error {
	if !n.send(func() { n.judge.Return(n.sender, machines) }) {
		return cloud.ErrTrouble
	}
	return nil
}
