package standin

import (
	"context"
	"errors"
	"time"

	"heronwick/internal/wait"
	"heronwick/wire"
)

// LinkFrom returns a controller's connection to the workers.
func (f *Fleet) LinkFrom(node string) *Link { return &Link{f, node} }

// Link is one controller's connection to the workers. A request that gets no response returns
// an error when its context ends.
type Link struct {
	fleet *Fleet
	node  string
}

// blocked reports whether the controller and a worker cannot exchange messages. If so, it
// returns only when ctx ends, like a request that times out.
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

// Command sends commands to a worker and returns its resulting status, as a heartbeat.
func (l *Link) Command(ctx context.Context, address string, req *wire.CommandRequest) (*wire.Heartbeat, error) {
	l.fleet.Checker.ObserveCommands(req.Commands)
	if l.blocked(ctx, address) {
		return nil, errNoWorkerResponse
	}
	return l.fleet.command(ctx, address, req)
}

// Status requests a worker's status, as a heartbeat.
func (l *Link) Status(ctx context.Context, address string) (*wire.Heartbeat, error) {
	if l.blocked(ctx, address) {
		return nil, errNoWorkerResponse
	}
	return l.fleet.status(ctx, address)
}

// errNoWorkerResponse is returned for a request to which a worker does not respond.
var errNoWorkerResponse = errors.New("standin: no response from the worker")

// command delivers commands to a worker. Commands that are delayed or held back arrive even
// after the caller has given up.
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
		return nil, errNoWorkerResponse
	}
	defer f.mu.Unlock()
	w.applyCommandRequestLocked(req)
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
		return nil, errNoWorkerResponse
	}
	defer f.mu.Unlock()
	w.sequence++
	return w.heartbeatLocked(), nil
}
