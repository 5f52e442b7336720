package callerconn

import (
	"io"
	"time"

	"github.com/hyssophoist/hyssophoist/core/drain"
)

// Crossed describes a connection on which something arrived after it had got Options.ClosingResponse. The server has not
// seen it.
type Crossed struct {
	Remote string
	// Discarded is the number of bytes that arrived.
	Discarded int64
	// Open is the time between the response and the end of the connection.
	Open time.Duration
}

// onReadTimeout decides what follows when a read has timed out. It returns true if the read is to be repeated. A
// connection without a request is refused: from then on its reads and writes fail.
func (c *conn) onReadTimeout() (repeat bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused || c.carriesRequest() {
		return false
	}
	if c.lingering && hasUnread(c.Conn) {
		// A read whose deadline has passed does not look for bytes that have arrived meanwhile. The server's own deadline
		// may have passed too.
		return c.Conn.SetReadDeadline(time.Time{}) == nil
	}
	c.refused = !c.encrypted && c.listener.options.ClosingResponse != nil
	return false
}

// isRefused reports whether the connection is refused.
func (c *conn) isRefused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}

// endRefused writes the closing response, discards what arrives until the caller closes the connection, at most for
// drain.Linger, and closes it. Without the time to discard, a request on its way would reset the connection, and the
// caller could lose the response.
func (c *conn) endRefused() {
	defer c.listener.remove(c)
	defer c.Conn.Close()
	refusedAt := time.Now()
	if err := c.Conn.SetDeadline(refusedAt.Add(drain.Linger)); err != nil {
		return // the connection is already closed
	}
	if _, err := c.Conn.Write(c.listener.options.ClosingResponse()); err != nil {
		return // the caller has closed the connection
	}
	_ = c.CloseWrite()                          // an error shows at the next read
	discarded, _ := io.Copy(io.Discard, c.Conn) // an error means that the connection has ended or the time is over
	if discarded == 0 || c.listener.options.OnCrossed == nil {
		return
	}
	c.listener.options.OnCrossed(Crossed{
		Remote: c.RemoteAddr().String(), Discarded: discarded, Open: time.Since(refusedAt),
	})
}
