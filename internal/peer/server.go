package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/logging"
)

const (
	// maxConnections bounds the accepted connections: two for each of the 410 daemons that the system is designed for,
	// and as many again for connections that the other end has already abandoned.
	maxConnections = 1640

	handshakeTimeout = 3 * time.Second
	acceptRetryDelay = 50 * time.Millisecond
)

var log = logging.For("peer")

// ServerOptions configures a Server.
type ServerOptions struct {
	Handler Handler
	// Token is the shared token that callers must send.
	Token string
	// TLS, if set, is used for all connections.
	TLS *tls.Config
	// IdleTimeout is the time after which a connection without calls is closed; twice DefaultIdleTimeout if 0.
	IdleTimeout time.Duration
}

// Server serves calls from other daemons.
type Server struct {
	options ServerOptions
	rpc     *rpc.Server
	traffic Traffic
	slots   chan struct{}

	mu          sync.Mutex
	connections map[net.Conn]struct{}
	closed      bool
	serving     sync.WaitGroup
}

// NewServer returns a server that exports the methods of options.Handler. It fails if the handler cannot be registered.
func NewServer(options ServerOptions) (*Server, error) {
	// The wrapper keeps methods of the handler that are not in the Handler interface from being registered.
	return NewRPCServer("Peer", &methods{options.Handler}, options)
}

// NewRPCServer returns a server that exports the methods of receiver under name and ignores options.Handler. It fails
// if the receiver cannot be registered.
func NewRPCServer(name string, receiver any, options ServerOptions) (*Server, error) {
	if options.IdleTimeout == 0 {
		options.IdleTimeout = 2 * DefaultIdleTimeout
	}
	registry := rpc.NewServer()
	if err := registry.RegisterName(name, receiver); err != nil {
		return nil, err
	}
	return &Server{
		options:     options,
		rpc:         registry,
		slots:       make(chan struct{}, maxConnections),
		connections: make(map[net.Conn]struct{}),
	}, nil
}

// methods exports exactly the methods of Handler.
type methods struct{ Handler }

// Traffic returns the counters of all accepted connections.
func (s *Server) Traffic() *Traffic { return &s.traffic }

// Serve accepts connections until the context ends or the listener is closed, then closes all connections. It returns
// nil if the context has ended.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	defer s.close()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			// The error may be temporary, such as too many open files, which lasts until other connections are closed.
			log.Warningf("failed to accept a connection: %v", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case s.slots <- struct{}{}:
			s.serving.Go(func() {
				s.serve(conn)
				<-s.slots
			})
		default:
			conn.Close()
		}
	}
}

func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	if !s.track(conn) {
		return
	}
	defer s.untrack(conn)
	var wrapped net.Conn = &countingConn{Conn: conn, traffic: &s.traffic}
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	if s.options.TLS != nil {
		tlsConn := tls.Server(wrapped, s.options.TLS)
		if err := tlsConn.Handshake(); err != nil {
			log.Warningf("TLS handshake with %s failed: %v", conn.RemoteAddr(), err)
			return
		}
		wrapped = tlsConn
	}
	token, err := readToken(wrapped)
	if err != nil {
		log.Debugf("failed to read the peer token from %s: %v", conn.RemoteAddr(), err)
		return
	}
	if !equalTokens(token, s.options.Token) {
		log.Warningf("connection from %s refused: wrong peer token", conn.RemoteAddr())
		return
	}
	_ = conn.SetDeadline(time.Time{})
	s.rpc.ServeConn(&timeoutConn{Conn: wrapped, timeout: s.options.IdleTimeout})
}

// equalTokens compares the hashes of two tokens in constant time, so that the duration of the comparison reveals
// neither content nor length.
func equalTokens(a, b string) bool {
	x, y := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.connections[conn] = struct{}{}
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, conn)
}

func (s *Server) close() {
	s.mu.Lock()
	s.closed = true
	for conn := range s.connections {
		conn.Close()
	}
	s.mu.Unlock()
	s.serving.Wait()
}

// timeoutConn is a connection whose reads fail when nothing arrives for timeout, and whose writes have a deadline.
type timeoutConn struct {
	net.Conn
	timeout time.Duration
}

// Read implements io.Reader.
func (c *timeoutConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write implements io.Writer.
func (c *timeoutConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(DefaultCallTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
