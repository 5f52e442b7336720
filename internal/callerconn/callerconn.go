// Package callerconn tracks the connections of callers to an HTTP server. It reports connections that the server closes
// although it has received bytes of a request and written nothing back: net/http logs nothing of these.
package callerconn

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Unanswered describes a connection that the server has closed although a request, or a part of one, had arrived.
type Unanswered struct {
	Remote string
	// Received is the number of bytes that were read since the last response; Unread reports whether more had arrived.
	Received int64
	Unread   bool
	// Waited is the time since the first of these bytes was read; 0 if none was.
	Waited time.Duration
}

// Options configures a Listener.
type Options struct {
	// OnUnanswered, if set, is called for each connection that is closed without an answer.
	OnUnanswered func(Unanswered)
}

// Listener accepts connections and tracks them. It is safe for concurrent use.
type Listener struct {
	net.Listener
	options Options
}

// Track returns a listener that tracks the connections that it accepts from inner.
func Track(inner net.Listener, options Options) *Listener {
	return &Listener{Listener: inner, options: options}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: inner, listener: l}, nil
}

// conn is a connection of a caller.
type conn struct {
	net.Conn
	listener *Listener
	close    sync.Once

	mu sync.Mutex
	// received counts the bytes read since the last write; firstAt is when the first of them was read.
	received int64
	firstAt  time.Time
	// ended reports whether the caller has ended or lost the connection.
	ended bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		if c.received == 0 {
			c.firstAt = time.Now()
		}
		c.received += int64(n)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.ended = true
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received = 0
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.ended = true
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.close.Do(c.reportUnanswered)
	return c.Conn.Close()
}

// CloseWrite closes the sending side; net/http does so before it discards the rest of a request.
func (c *conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

func (c *conn) reportUnanswered() {
	c.mu.Lock()
	event := Unanswered{Remote: c.RemoteAddr().String(), Received: c.received}
	if c.received > 0 {
		event.Waited = time.Since(c.firstAt)
	}
	ended := c.ended
	c.mu.Unlock()
	if ended || c.listener.options.OnUnanswered == nil {
		return
	}
	event.Unread = hasUnread(c.Conn)
	if event.Received > 0 || event.Unread {
		c.listener.options.OnUnanswered(event)
	}
}

// hasUnread reports whether bytes have arrived that have not been read. Another goroutine may be waiting to read them.
func hasUnread(c net.Conn) bool {
	source, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false // the connection is already closed
	}
	unread := false
	_ = raw.Control(func(fd uintptr) { // an error means that the connection is already closed
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return unread
}
