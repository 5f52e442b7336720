package edgeplatform

import (
	"net"
	"sync"
)

// lateCopyListener accepts connections on which the target sends its responses again because of TargetFaults.LateCopies.
type lateCopyListener struct {
	net.Listener
	target *Target
}

func (l lateCopyListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateCopyConn{Conn: conn, target: l.target}, nil
}

// lateCopyConn sends the last response again when the next request arrives, before the response to that one.
type lateCopyConn struct {
	net.Conn
	target *Target

	mu sync.Mutex
	// response holds what has been written since a request arrived last.
	response []byte
}

// Write implements net.Conn. It holds c.mu while it writes, so that the other side cannot answer what is not recorded yet.
func (c *lateCopyConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if c.target.lateCopies() > 0 {
		c.response = append(c.response, p[:n]...)
	}
	return n, err
}

// Read implements net.Conn.
func (c *lateCopyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.sendCopies()
	}
	return n, err
}

func (c *lateCopyConn) sendCopies() {
	copies := c.target.lateCopies()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.response) > 0 {
		for range copies {
			// An error means that the other side has closed the connection, which the response then meets too.
			_, _ = c.Conn.Write(c.response)
		}
	}
	c.response = nil
}

func (t *Target) lateCopies() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults.LateCopies
}
