package callerconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/drain"
	"github.com/hyssophoist/hyssophoist/internal/testenv"
)

const waitLimit = 10 * time.Second

// testServer is an HTTP server on a tracked listener. It answers with the path of the request, and records it.
type testServer struct {
	t        *testing.T
	server   *http.Server
	listener *Listener
	address  string

	mu         sync.Mutex
	handled    map[string]int
	unanswered []Unanswered
	crossed    []Crossed
}

func newTestServer(t *testing.T) *testServer { return newTestServerWith(t, Options{}) }

// newTestServerWith returns a server whose listener has the given options. It records the events of its connections.
func newTestServerWith(t *testing.T, options Options) *testServer {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{t: t, address: inner.Addr().String(), handled: make(map[string]int)}
	options.OnUnanswered, options.OnCrossed = s.recordUnanswered, s.recordCrossed
	s.listener = Track(inner.(*net.TCPListener), options)
	s.server = &http.Server{Handler: s, ConnState: s.listener.SetState, IdleTimeout: time.Minute}
	t.Cleanup(func() { s.server.Close() })
	return s
}

func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.handled[r.URL.Path]++
	s.mu.Unlock()
	_, _ = io.WriteString(w, r.URL.Path) // the caller checks the response
}

func (s *testServer) recordUnanswered(u Unanswered) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unanswered = append(s.unanswered, u)
}

func (s *testServer) recordCrossed(c Crossed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crossed = append(s.crossed, c)
}

// serve serves in the background until Finish.
func (s *testServer) serve() <-chan error {
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(s.listener) }()
	return served
}

func (s *testServer) dial() net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	return c
}

func (s *testServer) finish() {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	if err := s.listener.Finish(ctx); err != nil {
		s.t.Errorf("finish: %v", err)
	}
}

// anyRequest reports whether any connection carries a request.
func (l *Listener) anyRequest() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.mu.Lock()
		carries := c.carriesRequest()
		c.mu.Unlock()
		if carries {
			return true
		}
	}
	return false
}

func get(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n"
}

func readAnswer(c net.Conn) (string, error) {
	if err := c.SetReadDeadline(time.Now().Add(waitLimit)); err != nil {
		return "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "", err
	}
	content, err := io.ReadAll(response.Body)
	return string(content), err
}

// TestRequestsInListenQueueAreServed guards against requests that are reset because their connection was not accepted
// before the server began to end.
func TestRequestsInListenQueueAreServed(t *testing.T) {
	s := newTestServer(t)
	c := s.dial()
	if _, err := io.WriteString(c, get("/queued")); err != nil {
		t.Fatal(err)
	}
	served := make(chan (<-chan error), 1)
	time.AfterFunc(drain.Linger/2, func() { served <- s.serve() })
	s.finish()
	if got, err := readAnswer(c); err != nil || got != "/queued" {
		t.Errorf("answer %q, %v", got, err)
	}
	if err := <-<-served; err != ErrFinished {
		t.Errorf("Serve returned %v", err)
	}
}

// TestFinishServesLastConnections guards against requests that are reset because no other connection was open when the
// server began to end.
func TestFinishServesLastConnections(t *testing.T) {
	for n := range 20 {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			s := newTestServer(t)
			s.serve()
			c := s.dial()
			if _, err := io.WriteString(c, get("/last")); err != nil {
				t.Fatal(err)
			}
			s.finish()
			if err := s.server.Close(); err != nil {
				t.Fatal(err)
			}
			if got, err := readAnswer(c); err != nil || got != "/last" {
				t.Errorf("answer %q, %v", got, err)
			}
		})
	}
}

// TestPausedServerAcceptsQueue guards against connections that are reset because the process did not run while the last
// ones were accepted.
func TestPausedServerAcceptsQueue(t *testing.T) {
	s := newTestServer(t)
	c := s.dial()
	if _, err := io.WriteString(c, get("/queued")); err != nil {
		t.Fatal(err)
	}
	finished := make(chan struct{})
	go func() { s.finish(); close(finished) }()
	time.Sleep(drain.Linger + 30*time.Millisecond)
	s.serve()
	if got, err := readAnswer(c); err != nil || got != "/queued" {
		t.Errorf("answer %q, %v", got, err)
	}
	<-finished
}

// TestFinishEndsWhileConnectionsArrive guards against a server that does not end because callers go on connecting.
func TestFinishEndsWhileConnectionsArrive(t *testing.T) {
	s := newTestServer(t)
	s.serve()
	ctx, cancel := context.WithCancel(context.Background())
	var dialing sync.WaitGroup
	dialing.Go(func() {
		for ctx.Err() == nil {
			if c, err := net.Dial("tcp", s.address); err == nil {
				_, _ = io.WriteString(c, get("/arriving")) // the caller does not wait for an answer
				time.AfterFunc(50*time.Millisecond, func() { c.Close() })
			}
			time.Sleep(5 * time.Millisecond)
		}
	})
	defer dialing.Wait()
	defer cancel()
	started := time.Now()
	s.finish()
	if took := time.Since(started); took > 2*time.Second {
		t.Errorf("took %v", took)
	}
}

// TestFinishClosesIdleConnections guards against a server that does not end while callers keep connections open.
func TestFinishClosesIdleConnections(t *testing.T) {
	s := newTestServer(t)
	s.serve()
	idle, kept := s.dial(), s.dial()
	if _, err := io.WriteString(kept, strings.Replace(get("/kept"), "close", "keep-alive", 1)); err != nil {
		t.Fatal(err)
	}
	if got, err := readAnswer(kept); err != nil || got != "/kept" {
		t.Fatalf("answer %q, %v", got, err)
	}
	started := time.Now()
	s.finish()
	if took := time.Since(started); took > time.Second {
		t.Errorf("took %v", took)
	}
	for _, c := range []net.Conn{idle, kept} {
		if _, err := readAnswer(c); err == nil {
			t.Error("connection is still open")
		}
	}
	if len(s.unanswered) > 0 {
		t.Errorf("idle connections were reported as unanswered: %+v", s.unanswered)
	}
}

// TestUnansweredRequestIsReported guards against requests that end without an answer and without a trace.
func TestUnansweredRequestIsReported(t *testing.T) {
	s := newTestServer(t)
	s.serve()
	c := s.dial()
	if _, err := io.WriteString(c, get("/part")[:10]); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(waitLimit); !s.listener.anyRequest() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if err := s.server.Close(); err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unanswered) != 1 || s.unanswered[0].Received != 10 {
		t.Errorf("reported %+v, want one connection with 10 bytes", s.unanswered)
	}
}

// TestRandomisedRequestsDuringFinish guards against requests that the server reads and does not answer while it ends.
func TestRandomisedRequestsDuringFinish(t *testing.T) {
	const callers = 100
	random := rand.New(rand.NewPCG(testenv.Seed(t, 1), 0))
	s := newTestServer(t)
	s.serve()
	start := time.Now().Add(100 * time.Millisecond)
	var running sync.WaitGroup
	for n := range callers {
		path := fmt.Sprintf("/%d", n)
		c := s.dial()
		at := start.Add(time.Duration(random.Int64N(int64(2 * drain.Linger))))
		first := random.IntN(len(get(path)))
		running.Go(func() {
			time.Sleep(time.Until(at))
			_, _ = io.WriteString(c, get(path)[:first]) // an error shows when the answer is read
			time.Sleep(time.Millisecond)
			_, _ = io.WriteString(c, get(path)[first:])
			got, err := readAnswer(c)
			s.mu.Lock()
			defer s.mu.Unlock()
			if handled := s.handled[path]; (err == nil) != (handled == 1) || err == nil && got != path {
				t.Errorf("request %s was handled %d times, answer %q, %v", path, handled, got, err)
			}
		})
	}
	time.Sleep(time.Until(start))
	s.finish()
	running.Wait()
	for _, u := range s.unanswered {
		if u.Received > 0 { // bytes that arrive after the last read are not read, and the caller can tell
			t.Errorf("connection with a part of a request was closed: %+v", u)
		}
	}
}
