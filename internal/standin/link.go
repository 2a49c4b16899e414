package standin

import (
	"context"
	"errors"
	"time"

	"heronwick/internal/wait"
	"heronwick/wire"
)

// LinkFrom returns the workers as one controller reaches them.
func (f *Fleet) LinkFrom(node string) *Link { return &Link{f, node} }

// Link is one controller's connection to the workers. A request that is not answered
// returns an error when its context ends.
type Link struct {
	fleet *Fleet
	node  string
}

// blocked reports whether no message passes between the controller and a worker; if so it
// waits until ctx ends.
func (l *Link) blocked(ctx context.Context, address string) bool {
	l.fleet.mu.Lock()
	w := l.fleet.workers[address]
	blocked := w != nil && !l.fleet.reachableLocked(l.node, w)
	l.fleet.mu.Unlock()
	if blocked {
		<-ctx.Done()
	}
	return blocked
}

// Command sends commands to a worker and returns its status after them, as a heartbeat.
func (l *Link) Command(ctx context.Context, address string, req *wire.CommandRequest) (*wire.Heartbeat, error) {
	l.fleet.Checker.ObserveCommands(req.Commands)
	if l.blocked(ctx, address) {
		return nil, errNoAnswer
	}
	return l.fleet.command(ctx, address, req)
}

// Status requests a worker's status, as a heartbeat.
func (l *Link) Status(ctx context.Context, address string) (*wire.Heartbeat, error) {
	if l.blocked(ctx, address) {
		return nil, errNoAnswer
	}
	return l.fleet.status(ctx, address)
}

// errNoAnswer is returned for a request that a worker does not answer.
var errNoAnswer = errors.New("standin: no answer from the worker")

// command delivers commands. Delayed or held back, they also arrive after the caller has
// given up.
func (f *Fleet) command(ctx context.Context, address string, req *wire.CommandRequest) (*wire.Heartbeat, error) {
	delay := f.messageDelay(address)
	time.Sleep(time.Millisecond + delay)
	defer wait.Sleep(ctx, delay)
	f.mu.Lock()
	w := f.workers[address]
	if w != nil && (w.holdCommands || w.paused) {
		w.heldCommands = append(w.heldCommands, req)
	}
	if w == nil || w.disconnected || w.dropInbound || w.holdCommands || w.paused {
		f.mu.Unlock()
		<-ctx.Done()
		return nil, errNoAnswer
	}
	defer f.mu.Unlock()
	w.commandLocked(req)
	w.sequence++
	return w.heartbeatLocked(), nil
}

// status returns a worker's status, as a heartbeat.
func (f *Fleet) status(ctx context.Context, address string) (*wire.Heartbeat, error) {
	wait.Sleep(ctx, 2*f.messageDelay(address))
	f.mu.Lock()
	w := f.workers[address]
	if w == nil || w.disconnected || w.dropInbound || w.paused {
		f.mu.Unlock()
		<-ctx.Done()
		return nil, errNoAnswer
	}
	defer f.mu.Unlock()
	w.sequence++
	return w.heartbeatLocked(), nil
}
