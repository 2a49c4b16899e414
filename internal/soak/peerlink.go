package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
)

// peerLink forwards the connections of one controller to another one, until it is cut.
type peerLink struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	cut         bool
	connections map[net.Conn]bool
}

// newPeerLink returns a link to a target address, which is closed when ctx ends.
func newPeerLink(ctx context.Context, target string) (*peerLink, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listening for a peer link: %w", err)
	}
	l := &peerLink{listener: listener, target: target, connections: map[net.Conn]bool{}}
	context.AfterFunc(ctx, func() {
		_ = listener.Close()
		l.setCut(true)
	})
	go l.accept()
	return l, nil
}

// address returns the address that the controller connects to.
func (l *peerLink) address() string { return l.listener.Addr().String() }

// accept forwards connections until the listener is closed.
func (l *peerLink) accept() {
	for {
		from, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(from)
	}
}

// forward connects a connection with the target until one of them or the link is closed.
func (l *peerLink) forward(from net.Conn) {
	defer func() { _ = from.Close() }()
	to, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	if !l.add(from, to) {
		return
	}
	defer l.remove(from, to)
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{from, to}, {to, from}} {
		go func() {
			_, _ = io.Copy(pair[0], pair[1])
			done <- struct{}{}
		}()
	}
	<-done
}

// add registers connections. It returns false if the link is cut.
func (l *peerLink) add(connections ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return false
	}
	for _, c := range connections {
		l.connections[c] = true
	}
	return true
}

func (l *peerLink) remove(connections ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range connections {
		delete(l.connections, c)
	}
}

// setCut closes the link's connections and refuses new ones, or accepts them again.
func (l *peerLink) setCut(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = on
	if on {
		for c := range l.connections {
			_ = c.Close()
		}
	}
}

// freeAddress returns an address with a port that is free now, at a loopback host where nothing
// else of the run listens: a port that a killed controller leaves stays free.
func freeAddress(host string) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", fmt.Errorf("looking for a free port: %w", err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}
