package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// proxy forwards connections to one address. Silence makes the open ones silent for good: both ends keep them open, and
// nothing passes any more, while new ones work.
type proxy struct {
	address, to string

	mu    sync.Mutex
	links map[*link]struct{}
}

type link struct{ silent atomic.Bool }

func newProxy(to string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: listener.Addr().String(), to: to, links: make(map[*link]struct{})}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(conn)
		}
	}()
	return p, nil
}

func (p *proxy) forward(from net.Conn) {
	to, err := net.Dial("tcp", p.to)
	if err != nil {
		from.Close()
		return
	}
	l := &link{}
	p.mu.Lock()
	p.links[l] = struct{}{}
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	for _, ends := range [][2]net.Conn{{from, to}, {to, from}} {
		go func() {
			l.copy(ends[1], ends[0])
			done <- struct{}{}
		}()
	}
	<-done
	from.Close()
	to.Close()
	<-done
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// copy passes bytes on until the connection ends. The bytes of a silent connection are dropped.
func (l *link) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !l.silent.Load() {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// silence makes the connections that are open now silent, and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.silent.Store(true)
	}
	return len(p.links)
}
