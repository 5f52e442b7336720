package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// proxy stands between daemons and another party. Its connections can be made silent for good, while new ones work.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns []*proxied
}

type proxied struct {
	silent atomic.Bool
	ends   [2]net.Conn
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) serve(in net.Conn) {
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		in.Close()
		return
	}
	c := &proxied{ends: [2]net.Conn{in, out}}
	p.mu.Lock()
	p.conns = append(p.conns, c)
	p.mu.Unlock()
	for _, pair := range [][2]net.Conn{{in, out}, {out, in}} {
		go func() {
			buffer := make([]byte, 32<<10)
			for {
				n, err := pair[0].Read(buffer)
				if c.silent.Load() {
					// Nothing passes any more, in either direction, not even the end of the connection.
					if err != nil {
						return
					}
					continue
				}
				if _, writeErr := pair[1].Write(buffer[:n]); err != nil || writeErr != nil {
					if err == io.EOF {
						_ = pair[1].(*net.TCPConn).CloseWrite()
					} else {
						in.Close()
						out.Close()
					}
					return
				}
			}
		}()
	}
}

// silence makes all open connections silent for good, and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.silent.Store(true)
	}
	n := len(p.conns)
	p.conns = nil
	return n
}
