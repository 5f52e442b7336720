package standin

import (
	"io"
	"net"
	"sync/atomic"
)

// proxy stands between a daemon and another party.
type proxy struct {
	listener net.Listener
	target   string
	// cut makes all connections silent, new ones too, as long as it is set. Those on which something was sent meanwhile
	// stay so.
	cut atomic.Bool
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
	var silent atomic.Bool
	for _, pair := range [][2]net.Conn{{in, out}, {out, in}} {
		go func() {
			buffer := make([]byte, 32<<10)
			for {
				n, err := pair[0].Read(buffer)
				if p.cut.Load() {
					silent.Store(true)
				}
				if silent.Load() {
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
