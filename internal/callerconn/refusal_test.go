package callerconn

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/drain"
	"github.com/hyssophoist/hyssophoist/internal/testenv"
)

const (
	notRun          = "not run"
	closingResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 7\r\n\r\n" + notRun
)

func newRefusingTestServer(t *testing.T) *testServer {
	return newTestServerWith(t, Options{ClosingResponse: func() []byte { return []byte(closingResponse) }})
}

// keep sends a request on the connection and leaves it open.
func (s *testServer) keep(c net.Conn, path string) {
	s.t.Helper()
	if _, err := io.WriteString(c, strings.Replace(get(path), "close", "keep-alive", 1)); err != nil {
		s.t.Fatal(err)
	}
	if got, err := readAnswer(c); err != nil || got != path {
		s.t.Fatalf("answer %q, %v", got, err)
	}
}

// readStatus returns the status and body of the next response.
func readStatus(reader *bufio.Reader) (int, string, error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, "", err
	}
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), err
}

// TestRequestThatCrossesCloseIsRefused guards against requests that get nothing and leave no trace because they were
// sent while their idle connection was closed.
func TestRequestThatCrossesCloseIsRefused(t *testing.T) {
	for name, test := range map[string]struct {
		kept        bool
		idleTimeout time.Duration // the connection is closed after this time instead of by Finish
	}{
		"new connection":                {},
		"kept connection":               {kept: true},
		"kept connection, idle timeout": {kept: true, idleTimeout: 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newRefusingTestServer(t)
			if test.idleTimeout > 0 {
				s.server.IdleTimeout = test.idleTimeout
			}
			s.serve()
			c := s.dial()
			if test.kept {
				s.keep(c, "/kept")
			}
			var finishing sync.WaitGroup
			defer finishing.Wait()
			if test.idleTimeout == 0 {
				finishing.Go(s.finish)
			}
			reader := bufio.NewReader(c)
			_, _ = reader.Peek(1) // returns once the server has closed the connection, which this caller has not noticed
			if _, err := io.WriteString(c, get("/crossing")); err != nil {
				t.Fatal(err)
			}
			if status, got, err := readStatus(reader); status != http.StatusRequestTimeout || got != notRun {
				t.Errorf("answer %d %q, %v", status, got, err)
			}
			if _, err := reader.ReadByte(); err != io.EOF {
				t.Errorf("after the answer: %v", err)
			}
			c.Close()
			s.awaitClosed()
			s.mu.Lock()
			defer s.mu.Unlock()
			if want := int64(len(get("/crossing"))); len(s.crossed) != 1 || s.crossed[0].Discarded != want {
				t.Errorf("reported %+v, want one connection with %d bytes", s.crossed, want)
			}
			if s.handled["/crossing"] > 0 || len(s.unanswered) > 0 {
				t.Errorf("handled %v, unanswered %+v", s.handled, s.unanswered)
			}
		})
	}
}

// awaitClosed waits until no connection is open.
func (s *testServer) awaitClosed() {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	if err := s.listener.Wait(ctx); err != nil {
		s.t.Errorf("connections are open: %d", s.listener.Count())
	}
}

// TestFinishDoesNotWaitForIdleCallers guards against a server that ends late because callers leave closed connections
// open.
func TestFinishDoesNotWaitForIdleCallers(t *testing.T) {
	s := newRefusingTestServer(t)
	s.serve()
	s.dial()
	s.keep(s.dial(), "/kept")
	started := time.Now()
	s.finish()
	if took := time.Since(started); took > time.Second {
		t.Errorf("took %v", took)
	}
	if len(s.crossed)+len(s.unanswered) > 0 {
		t.Errorf("reported crossed %+v, unanswered %+v", s.crossed, s.unanswered)
	}
}

// TestConnectionsAreRefusedAtOnceBeforeTheEnd guards against idle connections that the end of the process closes without a
// refusal, since they still linger.
func TestConnectionsAreRefusedAtOnceBeforeTheEnd(t *testing.T) {
	const maxTries = 5
	for range maxTries {
		if took := timeUntilRefusal(t); took < drain.Linger {
			return
		}
	}
	t.Errorf("no refusal before %v in any of %d tries", drain.Linger, maxTries)
}

// timeUntilRefusal returns the time from an answer that ends after FinishNow until its connection is refused.
func timeUntilRefusal(t *testing.T) time.Duration {
	s := newRefusingTestServer(t)
	arrived, proceed := make(chan struct{}), make(chan struct{})
	s.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-proceed
		s.ServeHTTP(w, r)
	})
	s.serve()
	c := s.dial()
	if _, err := io.WriteString(c, strings.Replace(get("/long"), "close", "keep-alive", 1)); err != nil {
		t.Fatal(err)
	}
	<-arrived
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	if err := s.listener.Finish(ctx); err == nil {
		t.Fatal("Finish did not wait for the request")
	}
	s.listener.FinishNow()
	close(proceed)
	reader := bufio.NewReader(c)
	if status, got, err := readStatus(reader); status != http.StatusOK || got != "/long" {
		t.Fatalf("answer %d %q, %v", status, got, err)
	}
	answered := time.Now()
	if status, _, err := readStatus(reader); status != http.StatusRequestTimeout {
		t.Fatalf("after the answer: status %d, %v", status, err)
	}
	return time.Since(answered)
}

// TestRequestInProgressIsNotRefused guards against a refusal that is written into a connection whose request has arrived
// or runs.
func TestRequestInProgressIsNotRefused(t *testing.T) {
	s := newRefusingTestServer(t)
	const path = "/slow"
	s.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(3 * drain.Linger)
		s.ServeHTTP(w, r)
	})
	s.serve()
	whole, part := s.dial(), s.dial()
	for c, content := range map[net.Conn]string{whole: get(path), part: get(path)[:10]} {
		if _, err := io.WriteString(c, content); err != nil {
			t.Fatal(err)
		}
	}
	for end := time.Now().Add(waitLimit); !s.listener.anyRequest() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	finished := make(chan struct{})
	go func() { s.finish(); close(finished) }()
	time.Sleep(2 * drain.Linger)
	if _, err := io.WriteString(part, get(path)[10:]); err != nil {
		t.Fatal(err)
	}
	for _, c := range []net.Conn{whole, part} {
		reader := bufio.NewReader(c)
		if status, got, err := readStatus(reader); status != http.StatusOK || got != path {
			t.Errorf("answer %d %q, %v", status, got, err)
		}
		if rest, _ := io.ReadAll(reader); len(rest) > 0 {
			t.Errorf("after the answer: %q", rest)
		}
	}
	<-finished
}

// TestRefusalIsNotWrittenToTLSConnections guards against clear text on an encrypted connection.
func TestRefusalIsNotWrittenToTLSConnections(t *testing.T) {
	s := newRefusingTestServer(t)
	certificates := httptest.NewUnstartedServer(nil)
	certificates.StartTLS()
	s.server.TLSConfig = certificates.TLS.Clone()
	certificates.Close()
	s.server.TLSConfig.NextProtos = []string{"http/1.1"}
	go func() { _ = s.server.ServeTLS(s.listener, "", "") }() // it ends with ErrFinished
	kept := tls.Client(s.dial(), &tls.Config{InsecureSkipVerify: true})
	s.keep(kept, "/kept")
	silent := s.dial() // without a handshake
	s.finish()
	if rest, err := io.ReadAll(silent); len(rest) > 0 {
		t.Errorf("before a handshake: %q, %v", rest, err)
	}
	if rest, err := io.ReadAll(kept); len(rest) > 0 || err != nil && err != io.ErrUnexpectedEOF {
		t.Errorf("after a handshake: %q, %v", rest, err)
	}
}

// TestRandomisedRequestsAroundRefusal guards against requests that get no answer, or run after they were refused, because
// they arrive at the moment at which their connection is closed.
func TestRandomisedRequestsAroundRefusal(t *testing.T) {
	const callers = 100
	const spread = 20 * time.Millisecond
	random := rand.New(rand.NewPCG(testenv.Seed(t, 1), 0))
	s := newRefusingTestServer(t)
	s.serve()
	start := time.Now().Add(100 * time.Millisecond)
	var running sync.WaitGroup
	for n := range callers {
		path := fmt.Sprintf("/%d", n)
		c := s.dial()
		if n%2 == 0 {
			s.keep(c, "/kept"+path)
		}
		at := start.Add(drain.Linger - spread/2 + time.Duration(random.Int64N(int64(spread))))
		first := 1 + random.IntN(len(get(path)))
		running.Go(func() {
			time.Sleep(time.Until(at))
			_, _ = io.WriteString(c, get(path)[:first]) // an error shows when the answer is read
			time.Sleep(time.Millisecond)
			_, _ = io.WriteString(c, get(path)[first:])
			got, err := readAnswer(c)
			s.mu.Lock()
			defer s.mu.Unlock()
			handled := s.handled[path]
			if served, refused := handled == 1 && got == path, handled == 0 && got == notRun; err != nil || !served && !refused {
				t.Errorf("request %s was handled %d times, answer %q, %v", path, handled, got, err)
			}
		})
	}
	time.Sleep(time.Until(start))
	s.finish()
	running.Wait()
	if len(s.unanswered) > 0 {
		t.Errorf("closed without an answer: %+v", s.unanswered)
	}
}
