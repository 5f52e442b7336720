package postingstore

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/internal/service"
)

// closingServer responds to the first request of each connection and closes the connection after it has read the
// second one, without a response. It counts the requests by idempotency key.
type closingServer struct {
	listener          net.Listener
	mu                sync.Mutex
	arrived           map[string]int
	closedConnections atomic.Int64
	handlers          sync.WaitGroup
}

func newClosingServer(t *testing.T) *closingServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &closingServer{listener: listener, arrived: map[string]int{}}
	s.handlers.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			s.handlers.Go(func() { s.serve(connection) })
		}
	})
	t.Cleanup(func() {
		listener.Close()
		s.handlers.Wait()
	})
	return s
}

func (s *closingServer) serve(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for served := 0; ; served++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := request.Body.Read(make([]byte, 1)); err == nil {
			request.Body.Close() // reads the rest of the body
		}
		s.mu.Lock()
		s.arrived[request.Header.Get("Idempotency-Key")]++
		s.mu.Unlock()
		if served == 1 {
			s.closedConnections.Add(1)
			return
		}
		connection.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	}
}

// repeatedKeys returns the number of keys that arrived more than once.
func (s *closingServer) repeatedKeys() (keys int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.arrived {
		if n > 1 {
			keys++
		}
	}
	return keys
}

// TestTransportResends guards against a posting that reaches its target twice because the HTTP transport resends it:
// a POST with an Idempotency-Key and a replayable body is resent by the default client when a reused connection
// closes. The client of internal/service must never do so, with or without a body, on new or reused connections.
func TestTransportResends(t *testing.T) {
	const calls = 3000
	body := func(i int) string { return strings.Repeat("x", i%3) } // every third body is empty
	t.Run("default client", func(t *testing.T) {
		s := newClosingServer(t)
		transport := &http.Transport{}
		defer transport.CloseIdleConnections()
		client := &http.Client{Transport: transport}
		for i := range 20 {
			request, err := http.NewRequest(http.MethodPost, "http://"+s.listener.Addr().String(), strings.NewReader(body(i)))
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("Idempotency-Key", uniqueKey(i))
			if response, err := client.Do(request); err == nil {
				io.Copy(io.Discard, response.Body) // a connection is reused only if the body was read
				response.Body.Close()
			}
		}
		if s.repeatedKeys() == 0 {
			t.Error("no call was resent: the test no longer shows the behaviour that internal/service guards against")
		}
	})
	for _, reuse := range []bool{false, true} {
		name := map[bool]string{false: "service client", true: "service client on reused connections"}[reuse]
		t.Run(name, func(t *testing.T) {
			s := newClosingServer(t)
			client := service.NewClient()
			defer client.Close()
			failed := 0
			for i := range calls {
				_, err := client.Do(context.Background(), service.Call{
					URL: "http://" + s.listener.Addr().String(), Method: http.MethodPost, Body: []byte(body(i)),
					Header: http.Header{"Idempotency-Key": {uniqueKey(i)}}, Idempotent: reuse,
				})
				if err != nil {
					failed++
					if errkind.RunOf(err) != errkind.Unknown {
						t.Fatalf("call %d reached the server and was reported as not run: %v", i, err)
					}
				}
			}
			if n := s.repeatedKeys(); n > 0 {
				t.Errorf("%d of %d calls were resent", n, calls)
			}
			if reuse && (failed == 0 || s.closedConnections.Load() == 0) {
				t.Error("no reused connection was closed during a call")
			}
		})
	}
}

func uniqueKey(i int) string { return "key-" + strconv.Itoa(i) }
