// Package peer implements RPC between daemons: net/rpc over TCP, with a deadline for each call, a shared token and
// optional TLS. A connection on which a call has timed out is closed and replaced.
package peer

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/hyssophoist/hyssophoist/core/errkind"
)

const (
	// DefaultCallTimeout bounds a call that has no earlier deadline.
	DefaultCallTimeout = time.Second

	// DefaultIdleTimeout is the time after which an unused connection is closed. With 410 daemons, a given pair calls
	// each other about every 7 minutes. With a shorter timeout, nearly every call would open a new connection, on
	// which gob sends its type descriptions again.
	DefaultIdleTimeout = 20 * time.Minute

	maxTokenBytes = 1024
)

// ClientOptions configures a Client.
type ClientOptions struct {
	// Token is the shared token, sent at the start of each connection; at most 1,024 bytes.
	Token string
	// TLS, if set, returns the TLS configuration. It is called for each new connection, so that reloaded files take
	// effect.
	TLS func() *tls.Config
	// LocalAddress is the source address of connections; the operating system chooses one if nil.
	LocalAddress net.Addr
	// CallTimeout bounds one call, including the time to connect; DefaultCallTimeout if 0.
	CallTimeout time.Duration
	// IdleTimeout is the time after which CloseIdle closes an unused connection; DefaultIdleTimeout if 0.
	IdleTimeout time.Duration
}

// Client calls other daemons over one connection to each. It is safe for concurrent use.
type Client struct {
	options ClientOptions
	dials   singleflight.Group
	traffic Traffic

	mu          sync.Mutex
	connections map[string]*connection
	closed      bool
}

// Traffic counts the bytes written to and read from TCP connections, including those of TLS, excluding packet headers.
type Traffic struct {
	Sent     atomic.Uint64
	Received atomic.Uint64
}

type connection struct {
	rpc      *rpc.Client
	lastUsed time.Time
}

// NewClient returns a client without open connections.
func NewClient(options ClientOptions) *Client {
	if options.CallTimeout == 0 {
		options.CallTimeout = DefaultCallTimeout
	}
	if options.IdleTimeout == 0 {
		options.IdleTimeout = DefaultIdleTimeout
	}
	return &Client{options: options, connections: make(map[string]*connection)}
}

// Traffic returns the counters of all connections of the client.
func (c *Client) Traffic() *Traffic { return &c.traffic }

// Call calls a method of the daemon at address and waits for the reply until the context ends or the call timeout
// expires. After an error of kind errkind.DeadlineExceeded or errkind.TargetFailed, the daemon may have received the
// call, unless the run outcome of the error is errkind.NotRun: then the call was not sent.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	return c.CallWithin(ctx, c.options.CallTimeout, address, method, args, reply)
}

// CallWithin is like Call, with the given timeout in place of ClientOptions.CallTimeout.
func (c *Client) CallWithin(
	ctx context.Context, timeout time.Duration, address, method string, args, reply any,
) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := c.connection(ctx, address)
	if err != nil {
		return errkind.WithRun(
			errkind.Wrap(errkind.TargetFailed, err, "cannot connect to daemon at %s", address), errkind.NotRun)
	}
	call := conn.rpc.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		c.drop(address, conn)
		return errkind.Wrap(errkind.DeadlineExceeded, ctx.Err(), "call of %s at %s did not complete", method, address)
	case <-call.Done:
	}
	if call.Error == nil {
		return nil
	}
	// After an error returned by the remote method, the connection is still usable; after any other error it is not.
	if _, remote := call.Error.(rpc.ServerError); !remote {
		c.drop(address, conn)
	}
	return errkind.Wrap(errkind.TargetFailed, call.Error, "call of %s at %s failed", method, address)
}

// connection returns the connection to address and opens one if there is none. Concurrent callers share one dial.
func (c *Client) connection(ctx context.Context, address string) (*connection, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, net.ErrClosed
	}
	conn := c.connections[address]
	if conn != nil {
		conn.lastUsed = time.Now()
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	opened := c.dials.DoChan(address, func() (any, error) { return c.open(address) })
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case result := <-opened:
		if result.Err != nil {
			return nil, result.Err
		}
		return result.Val.(*connection), nil
	}
}

// withServerName returns config with the host of address as the name to verify, unless it has one already.
func withServerName(config *tls.Config, address string) *tls.Config {
	if config.ServerName != "" {
		return config
	}
	config = config.Clone()
	config.ServerName, _, _ = net.SplitHostPort(address) // the address has been dialed, so it is valid
	return config
}

// open connects to address and sends the token. It has its own deadline because several callers may wait for it.
func (c *Client) open(address string) (*connection, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.options.CallTimeout)
	defer cancel()
	dialer := net.Dialer{LocalAddr: c.options.LocalAddress}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	raw = &countingConn{Conn: raw, traffic: &c.traffic}
	if c.options.TLS != nil {
		tlsConn := tls.Client(raw, withServerName(c.options.TLS(), address))
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			raw.Close()
			return nil, err
		}
		raw = tlsConn
	}
	_ = raw.SetWriteDeadline(time.Now().Add(c.options.CallTimeout))
	if err := writeToken(raw, c.options.Token); err != nil {
		raw.Close()
		return nil, err
	}
	// Each write has a deadline, since a write to a peer that has stopped reading would block all calls on the
	// connection.
	conn := &connection{
		rpc:      rpc.NewClient(&deadlineWriter{Conn: raw, timeout: c.options.CallTimeout}),
		lastUsed: time.Now(),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		conn.rpc.Close()
		return nil, net.ErrClosed
	}
	c.connections[address] = conn
	return conn, nil
}

// drop closes conn. It also removes conn from the client, unless another connection has replaced it already.
func (c *Client) drop(address string, conn *connection) {
	c.mu.Lock()
	if c.connections[address] == conn {
		delete(c.connections, address)
	}
	c.mu.Unlock()
	conn.rpc.Close()
}

// CloseIdle closes the connections that have not been used for longer than IdleTimeout.
func (c *Client) CloseIdle(now time.Time) {
	c.mu.Lock()
	var idle []*connection
	for address, conn := range c.connections {
		if now.Sub(conn.lastUsed) > c.options.IdleTimeout {
			delete(c.connections, address)
			idle = append(idle, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range idle {
		conn.rpc.Close()
	}
}

// Close closes all connections. Calls in progress fail.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	connections := c.connections
	c.connections = nil
	c.mu.Unlock()
	for _, conn := range connections {
		conn.rpc.Close()
	}
}

// writeToken writes the length of the token as a big-endian uint16, then the token.
func writeToken(w io.Writer, token string) error {
	if len(token) > maxTokenBytes {
		return errkind.New(errkind.BadRequest, "peer token has %d bytes, limit is %d", len(token), maxTokenBytes)
	}
	message := binary.BigEndian.AppendUint16(nil, uint16(len(token)))
	_, err := w.Write(append(message, token...))
	return err
}

// readToken reads a token written by writeToken.
func readToken(r io.Reader) (string, error) {
	var length [2]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return "", err
	}
	n := binary.BigEndian.Uint16(length[:])
	if n > maxTokenBytes {
		return "", errkind.New(errkind.BadRequest, "peer token has %d bytes, limit is %d", n, maxTokenBytes)
	}
	token := make([]byte, n)
	_, err := io.ReadFull(r, token)
	return string(token), err
}

// deadlineWriter is a connection that sets a deadline for each write.
type deadlineWriter struct {
	net.Conn
	timeout time.Duration
}

// Write implements io.Writer.
func (w *deadlineWriter) Write(p []byte) (int, error) {
	if err := w.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
		return 0, err
	}
	return w.Conn.Write(p)
}

// countingConn is a connection that counts the bytes read and written.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements io.Reader.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(uint64(n))
	return n, err
}

// Write implements io.Writer.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(uint64(n))
	return n, err
}
