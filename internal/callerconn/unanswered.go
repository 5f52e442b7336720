package callerconn

import (
	"net"
	"syscall"
	"time"
)

// reportUnanswered reports that the connection is closed by this side although something had arrived and nothing was
// written back.
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
