// Package callerconn tracks the connections of callers to an HTTP server, so that the server can end without dropping
// requests that have arrived.
//
// The method Shutdown of http.Server cannot do that: it closes connections on which a request has arrived but is not
// parsed, resets those that it has not accepted yet, and drops requests whose head it parses later.
package callerconn

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssophoist/hyssophoist/core/drain"
)

const (
	// lastAcceptTime is how long connections are accepted once more after drain.Linger: a listener whose deadline has
	// passed does not look into its queue, so that those which arrived in a pause of the process would be reset.
	lastAcceptTime = 100 * time.Millisecond
	// finishPollInterval is the time between two checks whether all connections have ended.
	finishPollInterval = 5 * time.Millisecond
)

// ErrFinished is returned by Accept after Finish.
var ErrFinished = errors.New("listener has finished")

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
	// IdleTimeout, if set, returns how long a connection stays open between two requests if that is shorter than the
	// server's own timeout; 0 for no limit.
	IdleTimeout func() time.Duration
	// ClosingResponse, if set, returns the response that is written to a connection without a request before it is
	// closed after a timeout. It must say that a request which is on its way has not run and will not run. It is not
	// written to TLS connections.
	ClosingResponse func() []byte
	// OnCrossed, if set, is called for each connection on which something arrived after its ClosingResponse.
	OnCrossed func(Crossed)
	// Limits bounds what the connections use.
	Limits Limits
}

// idleDeadline returns the deadline of a connection that becomes idle, to which the server gives the given one.
func (o *Options) idleDeadline(deadline time.Time) time.Time {
	if o.IdleTimeout == nil {
		return deadline
	}
	timeout := o.IdleTimeout()
	if own := time.Now().Add(timeout); timeout > 0 && own.Before(deadline) {
		return own
	}
	return deadline
}

// Listener accepts connections and tracks them. It is safe for concurrent use.
type Listener struct {
	*net.TCPListener
	options Options
	// used is the memory that the connections use, see Limits.
	used atomic.Int64

	// mu is never taken while the mutex of a connection is held.
	mu        sync.Mutex
	conns     map[*conn]struct{}
	finishing bool
	// lingerTime is how long a connection without a request is still read once finishing is set.
	lingerTime time.Duration
	// acceptsOnceMore reports whether the deadline of Finish has passed, and another one is set.
	acceptsOnceMore bool
	// accepted is closed when Accept has returned ErrFinished.
	accepted chan struct{}
	end      sync.Once
}

// Track returns a listener that tracks the connections that it accepts from inner. The server must call SetState.
func Track(inner *net.TCPListener, options Options) *Listener {
	return &Listener{
		TCPListener: inner, options: options, conns: make(map[*conn]struct{}), accepted: make(chan struct{}),
	}
}

// Accept implements net.Listener. After Finish it returns the connections in the queue, and then ErrFinished.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.TCPListener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) && l.acceptOnceMore() {
		inner, err = l.TCPListener.Accept()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		l.end.Do(func() { close(l.accepted) })
		return nil, ErrFinished
	}
	if err != nil {
		return nil, err
	}
	c := l.track(inner)
	l.enforceLimits()
	return c, nil
}

// acceptOnceMore sets the deadline of the listener to lastAcceptTime from now. It returns false if it has done so before:
// connections may go on arriving.
func (l *Listener) acceptOnceMore() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.acceptsOnceMore {
		return false
	}
	l.acceptsOnceMore = true
	return l.TCPListener.SetDeadline(time.Now().Add(lastAcceptTime)) == nil
}

func (l *Listener) track(inner net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &conn{Conn: inner, listener: l, phaseBegan: time.Now()}
	l.addUsed(c.cost())
	if l.finishing {
		c.linger(l.lingerTime)
	}
	l.conns[c] = struct{}{}
	return c
}

// SetState is the ConnState hook of the server. It tells a connection whether a request is in progress on it.
func (l *Listener) SetState(c net.Conn, state http.ConnState) {
	_, encrypted := c.(*tls.Conn)
	tracked := trackedConn(c)
	tracked.mu.Lock()
	defer tracked.mu.Unlock()
	tracked.encrypted = encrypted
	tracked.setPhase(state)
	tracked.handling = state == http.StateActive
	tracked.becomesIdle = state == http.StateIdle
}

// trackedConn returns the connection of the listener below what the server uses.
func trackedConn(c net.Conn) *conn {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	return c.(*conn)
}

// Finish stops accepting connections and closes those that carry no request, each once nothing has arrived on it for
// drain.Linger, with Options.ClosingResponse. Requests that arrive until then are served. It returns when all connections
// have ended, or with the error of ctx.
func (l *Listener) Finish(ctx context.Context) error {
	l.mu.Lock()
	l.finishing, l.lingerTime = true, drain.Linger
	err := l.TCPListener.SetDeadline(time.Now().Add(drain.Linger))
	for c := range l.conns {
		c.linger(drain.Linger)
	}
	l.mu.Unlock()
	if err != nil {
		return err
	}
	select {
	case <-l.accepted:
	case <-ctx.Done():
		return ctx.Err()
	}
	return l.Wait(ctx)
}

// FinishNow closes connections that carry no request without waiting for drain.Linger, and the others once their request
// has been answered. It is called after Finish, shortly before the server ends.
func (l *Listener) FinishNow() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lingerTime = 0
	for c := range l.conns {
		c.linger(0)
	}
}

// Wait returns when all connections have ended, or with the error of ctx.
func (l *Listener) Wait(ctx context.Context) error {
	ticker := time.NewTicker(finishPollInterval)
	defer ticker.Stop()
	for l.Count() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// Count returns the number of open connections.
func (l *Listener) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, open := l.conns[c]; !open {
		return
	}
	delete(l.conns, c)
	c.mu.Lock()
	defer c.mu.Unlock()
	l.addUsed(-c.cost())
	c.shed = true // nothing that is read later counts
}

// conn is a connection of a caller.
type conn struct {
	net.Conn
	listener *Listener
	close    sync.Once

	mu sync.Mutex
	// encrypted reports whether the server uses TLS on the connection.
	encrypted bool
	// refused reports whether the connection ends with Options.ClosingResponse.
	refused bool
	// handling reports whether the server handles a request, becomesIdle whether the next deadline that it sets is that
	// of an idle connection.
	handling, becomesIdle bool
	// received counts the bytes read since the last write; firstAt is when the first of them was read.
	received int64
	firstAt  time.Time
	// ended reports whether the caller has ended or lost the connection.
	ended bool
	// readDeadline is the deadline that the server has set. While lingering is set and no request arrives, the
	// connection has an earlier one.
	readDeadline time.Time
	lingering    bool
	lingerTime   time.Duration

	// headBytes counts the bytes that were read before the request in progress, or the next one, was handled. headDeadline is
	// when its head must be complete; zero for no limit.
	headBytes    int64
	headDeadline time.Time
	// phaseBegan is when the connection was accepted, became idle, began to receive a head or a request was handled.
	phaseBegan time.Time
	// served reports whether a request has ended on the connection, passedOn whether that in progress was passed on to a
	// target, and shed whether the connection has been closed because of Options.Limits.
	served, passedOn, shed bool
	// writesDropped reports whether all that the server still writes is dropped: net/http takes the part of a line before a
	// failed read for a malformed request, and answers it with 400.
	writesDropped bool
}

// carriesRequest reports whether a request is arriving or in progress. The caller holds c.mu.
func (c *conn) carriesRequest() bool { return c.handling || c.received > 0 }

// linger makes reads fail once nothing has arrived for lingerTime, unless a request is arriving or in progress.
func (c *conn) linger(lingerTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingering, c.lingerTime = true, lingerTime
	if !c.refused && !c.carriesRequest() {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) // an error means that the connection is closed
	}
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.becomesIdle {
		deadline = c.listener.options.idleDeadline(deadline)
		c.becomesIdle = false
	}
	c.readDeadline = deadline
	if c.lingering && !c.carriesRequest() {
		deadline = time.Now().Add(c.lingerTime)
	}
	if c.headLimited(deadline) {
		deadline = c.headDeadline
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.isRefused() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.onReadTimeout() {
		n, err = c.Conn.Read(p)
	}
	tooLarge, over := c.recordRead(n, err)
	if over {
		c.listener.enforceLimits()
	}
	if tooLarge {
		return 0, c.refuseHead()
	}
	if c.isShed() {
		return 0, os.ErrDeadlineExceeded // after which the server closes the connection without an answer
	}
	return n, err
}

// recordRead records what a read has returned. It reports whether the head of a request is too large, and whether it makes
// the connections use more memory than they may.
func (c *conn) recordRead(n int, err error) (tooLarge, over bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shed {
		return false, false
	}
	if n > 0 {
		if c.received == 0 {
			c.firstAt = time.Now()
		}
		if c.lingering && !c.carriesRequest() {
			_ = c.Conn.SetReadDeadline(c.readDeadline) // an error shows at the next read
		}
		c.received += int64(n)
		tooLarge = c.countHead(n)
		over = !c.handling && c.listener.memoryExceeded()
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.ended = true
	}
	return tooLarge, over
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.isRefused() || c.dropsWrites() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received = 0
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.ended = true
	}
	return n, err
}

// Close implements net.Conn. A connection that is refused is closed in the background.
func (c *conn) Close() error {
	if c.isRefused() {
		c.close.Do(func() { go c.endRefused() })
		return nil
	}
	c.close.Do(func() {
		if !c.dropsWrites() {
			c.reportUnanswered()
		}
		c.listener.remove(c)
	})
	return c.Conn.Close()
}

// CloseWrite closes the sending side; net/http does so before it discards the rest of a request.
func (c *conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}
