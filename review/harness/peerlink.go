package main

import (
	"net"
	"sync/atomic"
	"time"
)

// peerLink carries the connections from one controller to another. While it is cut,
// nothing passes in either direction; what was sent arrives after the cut.
type peerLink struct {
	address string
	target  string
	cut     atomic.Bool
	slow    atomic.Int64 // what each message takes in addition, in nanoseconds
}

// addPeerLinks adds a link for each ordered pair of controllers.
func (s *site) addPeerLinks() error {
	for _, from := range s.controllers {
		for _, to := range s.controllers {
			if from == to {
				continue
			}
			l, err := listen()
			if err != nil {
				return err
			}
			link := &peerLink{address: l.Addr().String(), target: to.peerBind}
			s.peerLinks[from.name+" "+to.name] = link
			go link.serve(l)
		}
	}
	return nil
}

func (p *peerLink) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go p.connect(conn)
	}
}

// connect carries one connection until either side closes it.
func (p *peerLink) connect(from net.Conn) {
	defer func() { _ = from.Close() }()
	p.wait()
	to, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	done := make(chan struct{}, 2)
	go p.carry(from, to, done)
	go p.carry(to, from, done)
	<-done
}

func (p *peerLink) carry(from, to net.Conn, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		time.Sleep(time.Duration(p.slow.Load()))
		p.wait()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// wait returns once the link is not cut.
func (p *peerLink) wait() {
	for p.cut.Load() {
		time.Sleep(5 * time.Millisecond)
	}
}

// cutPeers cuts a controller off from the others, or ends that.
func (s *site) cutPeers(c *controller, on bool) {
	s.rec.event("controller %s: cut from the others: %v", c.name, on)
	for _, other := range s.controllers {
		if other != c {
			s.peerLinks[c.name+" "+other.name].cut.Store(on)
			s.peerLinks[other.name+" "+c.name].cut.Store(on)
		}
	}
}
