package callerconn

import (
	"cmp"
	"net"
	"net/http"
	"os"
	"slices"
	"syscall"
	"time"
)

const (
	// connectionBytes is the memory that a connection without a request uses: the goroutine and the buffers of net/http (24 KiB),
	// and what the kernel may hold unread (ReceiveWindow).
	connectionBytes = 24<<10 + ReceiveWindow
	// headCost is the memory that a head uses for each of its bytes: it exists in the buffer of its line and in the header.
	headCost = 2
	// readAheadBytes is how much net/http may read beyond the end of a head: the size of its buffer.
	readAheadBytes = 4 << 10
	// batchDivisor sets how many connections without a request in progress are closed at once, as a fraction of the open ones:
	// otherwise each new connection would make the listener go through all of them while the limits are reached.
	batchDivisor = 64
	// reservedDivisor sets how many connections with an unfinished request are closed only after idle ones, as a fraction of the
	// open ones: otherwise no new connection could be used while all others are idle.
	reservedDivisor = 16
	// tooLargeHead is the answer to a head that exceeds the limit.
	tooLargeHead = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// Limits bounds what the connections of a listener use. Zero values mean no limit.
type Limits struct {
	// Connections bounds the number of connections, and Memory the bytes that they use together.
	Connections int
	Memory      int64
	// Head, if set, returns the maximum size of the head of a request, and how long it may take from its first byte to its end.
	Head func() (size int, timeout time.Duration)
	// OnShed, if set, is called for connections that are closed because Connections or Memory is reached.
	OnShed func(Shed)
}

// Shed describes connections that were closed because the limits on all connections were reached.
type Shed struct {
	// Incomplete is the number of connections without a complete head of a request, Unsent of those whose request had not been
	// passed on to a target, and Idle of those that were idle after a request.
	Incomplete, Unsent, Idle int
	// Connections and Bytes are the number of open connections and the memory that they used before.
	Connections int
	Bytes       int64
}

// phase is what a connection does. Connections are closed in the order of their phases, the first two alike: a new connection
// whose head is about to arrive must not be closed before one whose body has stalled.
type phase int

const (
	// incomplete is a connection on which a request has not arrived with its whole head, unless it is idle.
	incomplete phase = iota
	// unsent is one whose request has not been passed on to a target, for example since its body is arriving.
	unsent
	// idle is one that waits for another request.
	idle
	// inProgress is one whose request has been passed on to a target. It is never closed.
	inProgress
)

// phase returns what the connection does. The caller holds c.mu.
func (c *conn) phase() phase {
	switch {
	case c.passedOn:
		return inProgress
	case c.handling:
		return unsent
	case c.served && c.headBytes == 0:
		return idle
	}
	return incomplete
}

// cost returns the memory that the connection uses. The caller holds c.mu.
func (c *conn) cost() int64 { return connectionBytes + headCost*c.headBytes }

// addUsed adds a change, which may be negative, to the memory that all connections use.
func (l *Listener) addUsed(change int64) { l.used.Add(change) }

// exceeded reports whether the connections exceed the limits. The caller holds l.mu.
func (l *Listener) exceeded(connections int, used int64) bool {
	limits := &l.options.Limits
	return limits.Connections > 0 && connections > limits.Connections || limits.Memory > 0 && used > limits.Memory
}

// candidate is a connection that may be closed.
type candidate struct {
	conn  *conn
	phase phase
	// weight is the memory that the connection uses times the seconds since its phase began.
	weight float64
}

// enforceLimits closes connections while the limits are exceeded: those first whose request is incomplete or has not been passed
// on, then idle ones; of each kind those first that have used much memory for a long time without progress.
func (l *Listener) enforceLimits() {
	l.mu.Lock()
	connections, used := len(l.conns), l.used.Load()
	if !l.exceeded(connections, used) {
		l.mu.Unlock()
		return
	}
	shed := Shed{Connections: connections, Bytes: used}
	batch := connections / batchDivisor
	var closing []candidate
	for _, v := range l.candidates() {
		if !l.exceeded(connections, used) && (v.phase > unsent || len(closing) >= batch) {
			break
		}
		cost, ok := v.conn.markShed(v.phase)
		if !ok {
			continue
		}
		connections, used = connections-1, used-cost
		delete(l.conns, v.conn)
		closing = append(closing, v)
	}
	l.mu.Unlock()
	for _, v := range closing {
		switch v.phase {
		case incomplete:
			shed.Incomplete++
		case unsent:
			shed.Unsent++
		case idle:
			shed.Idle++
		}
		v.conn.endShed(v.phase)
	}
	if l.options.Limits.OnShed != nil && len(closing) > 0 {
		l.options.Limits.OnShed(shed)
	}
}

// candidates returns the connections that may be closed in the order in which they are to be. The caller holds l.mu.
func (l *Listener) candidates() []candidate {
	now := time.Now()
	var starting, idling []candidate
	for c := range l.conns {
		c.mu.Lock()
		v := candidate{conn: c, phase: c.phase(), weight: float64(c.cost()) * now.Sub(c.phaseBegan).Seconds()}
		refused := c.refused
		c.mu.Unlock()
		switch {
		case refused || v.phase == inProgress:
		case v.phase == idle:
			idling = append(idling, v)
		default:
			starting = append(starting, v)
		}
	}
	heaviestFirst := func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) }
	slices.SortFunc(starting, heaviestFirst)
	slices.SortFunc(idling, heaviestFirst)
	ahead := max(0, len(starting)-max(1, len(l.conns)/reservedDivisor))
	return slices.Concat(starting[:ahead], idling, starting[ahead:])
}

// markShed makes all reads and writes of the server fail, unless the connection is no longer in the given phase. It returns
// the memory that the connection used.
func (c *conn) markShed(expected phase) (cost int64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shed || c.phase() != expected {
		return 0, false
	}
	c.shed, c.writesDropped = true, true
	cost = c.cost()
	c.listener.addUsed(-cost)
	return cost, true
}

// endShed closes a connection after markShed. One on which no response can be under way gets the closing response: its
// request has not run and never will, since the server does not see it.
func (c *conn) endShed(was phase) {
	c.mu.Lock()
	encrypted := c.encrypted
	c.mu.Unlock()
	if was != unsent && !encrypted && c.listener.options.ClosingResponse != nil {
		writeNow(c.Conn, c.listener.options.ClosingResponse())
	}
	_ = c.Conn.Close() // an error means that the connection is already closed
}

// writeNow writes what the kernel takes at once.
func writeNow(c net.Conn, content []byte) {
	source, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return // the connection is already closed
	}
	_ = raw.Control(func(fd uintptr) { // an error means that the connection is already closed
		// The error is ignored: a caller that does not read its responses gets none.
		_, _ = syscall.SendmsgN(int(fd), content, nil, nil, syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL)
	})
}

// dropsWrites reports whether what the server writes is no longer sent, see writesDropped.
func (c *conn) dropsWrites() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writesDropped
}

// PassOn records that the request in progress on a connection of the listener is passed on to a target. It returns false if
// the connection has been closed because of the limits; the request must then not be passed on.
func (l *Listener) PassOn(c net.Conn) bool {
	tracked := trackedConn(c)
	tracked.mu.Lock()
	defer tracked.mu.Unlock()
	if tracked.shed {
		return false
	}
	tracked.passedOn = true
	return true
}

// Limits returns the limits on the connections.
func (l *Listener) Limits() Limits { return l.options.Limits }

// Used returns the memory that the connections use, as far as it counts towards Limits.Memory.
func (l *Listener) Used() int64 { return l.used.Load() }

// setPhase records the state that the server has set. The caller holds c.mu.
func (c *conn) setPhase(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.phaseBegan = time.Now()
	case http.StateIdle:
		c.phaseBegan, c.served, c.passedOn = time.Now(), true, false
		if !c.shed {
			c.listener.addUsed(-headCost * c.headBytes)
		}
		c.headBytes = 0
	}
}

// countHead counts bytes that were read while no request is handled. It reports whether the head exceeds its limit. The
// caller holds c.mu.
func (c *conn) countHead(n int) (tooLarge bool) {
	if c.handling || n == 0 {
		return false
	}
	size, timeout := 0, time.Duration(0)
	if c.listener.options.Limits.Head != nil {
		size, timeout = c.listener.options.Limits.Head()
	}
	first := c.headBytes == 0
	c.headBytes += int64(n)
	if first {
		c.phaseBegan = time.Now()
		c.headDeadline = time.Time{}
		if timeout > 0 {
			c.headDeadline = c.phaseBegan.Add(timeout)
		}
		if c.headLimited(c.readDeadline) {
			_ = c.Conn.SetReadDeadline(c.headDeadline) // an error shows at the next read
		}
	}
	c.listener.addUsed(headCost * int64(n))
	return size > 0 && c.headBytes > int64(size)+readAheadBytes
}

// headLimited reports whether the deadline of an unfinished head is earlier than the given one. The caller holds c.mu.
func (c *conn) headLimited(deadline time.Time) bool {
	return !c.handling && c.headBytes > 0 && !c.headDeadline.IsZero() && (deadline.IsZero() || c.headDeadline.Before(deadline))
}

// memoryExceeded reports whether the connections use more memory than they may.
func (l *Listener) memoryExceeded() bool {
	return l.options.Limits.Memory > 0 && l.used.Load() > l.options.Limits.Memory
}

// isShed reports whether the connection has been closed because of the limits.
func (c *conn) isShed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shed
}

// refuseHead answers a head that is too large. It returns the error with which the server ends the connection.
func (c *conn) refuseHead() error {
	c.mu.Lock()
	encrypted := c.encrypted
	c.writesDropped = true
	c.mu.Unlock()
	if !encrypted {
		writeNow(c.Conn, []byte(tooLargeHead))
	}
	return os.ErrDeadlineExceeded
}
