// Package connpool is a pool of connections to targets.
//
// It replaces http.Transport because callers need to know whether a request may have reached a target, a request must
// never be resent implicitly, and a connection must have no unread bytes before it is reused. Requests and responses
// are still written and read by net/http.
package connpool

import (
	"bufio"
	"context"
	"errors"
	"hash/maphash"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/logging"
)

const (
	// DialTimeout bounds the time to open a connection, also if Get allows more. Targets are at most a few milliseconds away.
	DialTimeout = 400 * time.Millisecond
	// maxIdleTime bounds how long a connection stays idle in the pool, also if the target keeps it open for longer or
	// does not say for how long. Targets bound the connections of all callers together and reset those beyond: with a longer
	// time, idle connections of all instances used up the 48 of a plain service, and postings got no answer.
	maxIdleTime = 4 * time.Second
	// keepAliveMargin is subtracted from the keep-alive timeout that a target announces.
	keepAliveMargin = 500 * time.Millisecond
	// maxIdlePerTarget bounds the idle connections to one target.
	maxIdlePerTarget = 16
	// maxIdleTotal bounds the idle connections to all targets. It is a tenth of the 3,900 descriptors that the smallest
	// instances have for connections, and allows several for each of a hundred targets.
	maxIdleTotal = 390
	// maxRequestsPerConn bounds the requests that a connection carries, and so the memory in which it records them: 2 KiB.
	maxRequestsPerConn = 256
	// ackTimeout is the time after which a connection fails if sent data is not acknowledged (TCP_USER_TIMEOUT).
	ackTimeout = 3 * time.Second
	// lateTimeout is how much longer than its timeout a failed dial takes if this process was paused meanwhile.
	lateTimeout    = 100 * time.Millisecond
	readBufferSize = 4 << 10
)

var log = logging.For("connpool")

// Conn is a connection to a target.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	// Reused reports whether the connection has carried a request before.
	Reused  bool
	address string
	// carried holds the requests that the connection has carried, the one in progress last.
	carried []requestKey
	// idleSince and idleUntil are set while the connection is idle in the pool.
	idleSince, idleUntil time.Time
	limiter              *readLimiter
}

// ErrReadLimit is returned by reads after the limit that LimitReads has set.
var ErrReadLimit = errors.New("target sent more than the limit")

// LimitReads makes reads fail with ErrReadLimit after n more bytes have arrived from the target, or never if n is
// negative. Bytes that the Reader has already buffered do not count.
func (c *Conn) LimitReads(n int) { c.limiter.remaining = n }

// readLimiter is the source of a connection's Reader.
type readLimiter struct {
	conn net.Conn
	// remaining is the number of bytes that may still arrive; negative if it is not limited.
	remaining int
}

// Read implements io.Reader.
func (l *readLimiter) Read(p []byte) (int, error) {
	if l.remaining < 0 {
		return l.conn.Read(p)
	}
	if l.remaining == 0 {
		return 0, ErrReadLimit
	}
	n, err := l.conn.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

// requestKey is the hash of the id of a request: long ids take no more memory than short ones. Two requests with the same hash count
// as the same one.
type requestKey uint64

// keySeed makes the hashes of request ids, which callers choose, unpredictable.
var keySeed = maphash.MakeSeed()

func keyOf(requestID string) requestKey { return requestKey(maphash.String(keySeed, requestID)) }

// Use is what a connection is wanted for.
type Use struct {
	// Address is the host:port of the target.
	Address string
	// RequestID is the id of the request that the connection is to carry, as the target repeats it in its response. A
	// connection carries a request with the same id once: the id names the request and not the attempt, so that a late copy of
	// the response to an earlier attempt could not be told from the response to a later one.
	RequestID string
	// New asks for a new connection.
	New bool
	// Timeout bounds the time to open a connection, as DialTimeout does.
	Timeout time.Duration
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	// Dial, if set, opens connections in place of net.Dialer.DialContext. Set it before the first Get.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnDial, if set, is called for each opened connection.
	OnDial func()

	mu sync.Mutex
	// idle holds the idle connections by address, the most recently used last. idleCount is their number, at most maxIdle.
	idle               map[string][]*Conn
	idleCount, maxIdle int
}

// New returns an empty pool.
func New() *Pool {
	return &Pool{
		idle: make(map[string][]*Conn), maxIdle: maxIdleTotal,
		dialer: net.Dialer{Control: setAckTimeout, KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2,
		}},
	}
}

func setAckTimeout(_, _ string, raw syscall.RawConn) error {
	const tcpUserTimeout = 18 // TCP_USER_TIMEOUT on Linux; not defined in package syscall
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout,
			int(ackTimeout.Milliseconds()))
	})
	if err == nil && optErr != nil {
		log.Warningf("failed to set the timeout for unacknowledged data (TCP_USER_TIMEOUT): %v", optErr)
	}
	return err
}

// Get returns a connection for a use: an idle one that has not carried the same request, if there is one and use.New is false,
// otherwise a new one. An error means that no connection could be opened, so nothing was sent.
func (p *Pool) Get(ctx context.Context, use Use) (*Conn, error) {
	request := keyOf(use.RequestID)
	for !use.New {
		conn := p.popIdle(use.Address, request)
		if conn == nil {
			break
		}
		if time.Now().Before(conn.idleUntil) && conn.reusable() {
			conn.Reused = true
			conn.carried = append(conn.carried, request)
			return conn, nil
		}
		conn.Close()
	}
	opened, err := p.dial(ctx, use.Address, min(use.Timeout, DialTimeout))
	if err != nil {
		return nil, err
	}
	if p.OnDial != nil {
		p.OnDial()
	}
	limiter := &readLimiter{conn: opened, remaining: -1}
	return &Conn{
		Conn: opened, Reader: bufio.NewReaderSize(limiter, readBufferSize), address: use.Address, limiter: limiter,
		carried: []requestKey{request},
	}, nil
}

// dial opens a connection. A timeout that is noticed late comes from a pause of this process, not from the target, so the
// dial is repeated once.
func (p *Pool) dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	begun := time.Now()
	conn, err := p.dialWithin(ctx, address, timeout)
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() && ctx.Err() == nil && time.Since(begun) > timeout+lateTimeout {
		return p.dialWithin(ctx, address, timeout)
	}
	return conn, err
}

func (p *Pool) dialWithin(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	if p.Dial != nil {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return p.Dial(ctx, "tcp", address)
	}
	dialer := p.dialer
	dialer.Timeout = timeout
	return dialer.DialContext(ctx, "tcp", address)
}

// popIdle takes from the pool the idle connection used last that has not carried the request; nil if there is none.
func (p *Pool) popIdle(address string, request requestKey) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	for i := len(conns) - 1; i >= 0; i-- {
		if conn := conns[i]; !slices.Contains(conn.carried, request) {
			p.idle[address] = slices.Delete(conns, i, i+1)
			p.idleCount--
			return conn
		}
	}
	return nil
}

// Put returns a connection to the pool after its last response was read to the end. keepAlive is the keep-alive timeout
// that the target announced, or 0 if it announced none. If the pool is full, the least recently used connection is closed. A
// connection that has carried maxRequestsPerConn requests is closed too.
func (p *Pool) Put(conn *Conn, keepAlive time.Duration) {
	idleTime := maxIdleTime
	if keepAlive > 0 {
		idleTime = min(idleTime, keepAlive-keepAliveMargin)
	}
	if idleTime <= 0 || len(conn.carried) >= maxRequestsPerConn || conn.Reader.Buffered() > 0 ||
		conn.SetDeadline(time.Time{}) != nil {
		conn.Close()
		return
	}
	conn.idleSince = time.Now()
	conn.idleUntil = conn.idleSince.Add(idleTime)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[conn.address]) >= maxIdlePerTarget {
		conn.Close()
		return
	}
	p.idle[conn.address] = append(p.idle[conn.address], conn)
	if p.idleCount++; p.idleCount > p.maxIdle {
		p.closeLeastRecent()
	}
}

// closeLeastRecent closes the least recently used idle connection. The caller holds p.mu.
func (p *Pool) closeLeastRecent() {
	var oldest *Conn
	for _, conns := range p.idle {
		if len(conns) > 0 && (oldest == nil || conns[0].idleSince.Before(oldest.idleSince)) {
			oldest = conns[0]
		}
	}
	if oldest == nil {
		return
	}
	oldest.Close()
	p.idle[oldest.address] = slices.Delete(p.idle[oldest.address], 0, 1)
	p.idleCount--
}

// CloseExpired closes the connections whose idle time has expired at now.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, conn := range conns {
			if now.Before(conn.idleUntil) {
				kept = append(kept, conn)
				continue
			}
			conn.Close()
			p.idleCount--
		}
		clear(conns[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// CloseIdle closes the idle connections to address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle[address] {
		conn.Close()
	}
	p.idleCount -= len(p.idle[address])
	delete(p.idle, address)
}

// reusable reports whether an idle connection is still open and has no unread bytes. Bytes after the last response
// belong to no request.
func (c *Conn) reusable() bool {
	if c.Reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = err == syscall.EAGAIN
		return true
	})
	return err == nil && reusable
}
