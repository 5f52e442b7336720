package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"
	"weak"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/internal/connpool"
)

// refusalCodec encodes attempts without header fields other than the id, and decodes the fields of refusals.
type refusalCodec struct{}

func (refusalCodec) DecodeCall(*http.Request) (*Call, error) { return nil, errors.New("not used") }

func (refusalCodec) EncodeAttempt(a *Attempt) *http.Request {
	return &http.Request{
		Method: http.MethodGet, Host: "target", URL: &url.URL{Path: "/"}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{"Id": {a.Call.ID}},
	}
}

func (refusalCodec) EncodeRelay(*Call, time.Duration, int64) *http.Request { return nil }

func (refusalCodec) DecodeResponseHead(r *http.Response) ResponseHead {
	return ResponseHead{
		Status: r.StatusCode, Header: r.Header, RequestID: r.Header.Get("Id"), Leaving: r.Header.Get("Leaving") != "",
		NotRun: r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusMisdirectedRequest,
	}
}

func (refusalCodec) WriteError(http.ResponseWriter, string, errkind.Kind, time.Duration) {}

// listenEach starts a listener that serves each connection in a goroutine until the test ends, and returns its address.
func listenEach(t *testing.T, serve func(net.Conn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// refusingTarget accepts connections and answers each request with the parts of a response, with pauses between them. It
// returns the target, a gateway that knows it and the number of opened connections.
func refusingTarget(t *testing.T, pause time.Duration, parts ...string) (*Gateway, fleet.Target, *atomic.Int32) {
	t.Helper()
	accepted := new(atomic.Int32)
	address := listenEach(t, func(conn net.Conn) {
		accepted.Add(1)
		serveRefusals(conn, pause, parts)
	})
	g := New(Options{Codec: refusalCodec{}, Pool: connpool.New(), Engines: &fakeEngines{}})
	target := fleet.Target{ID: "t", Service: "s", Address: address, Born: 1}
	g.dispatcher.Fleet.Put(target)
	return g, target, accepted
}

func serveRefusals(conn net.Conn, pause time.Duration, parts []string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		for i, part := range parts {
			if i > 0 {
				time.Sleep(pause)
			}
			if _, err := fmt.Fprint(conn, strings.ReplaceAll(part, "ID", request.Header.Get("Id"))); err != nil {
				return
			}
		}
	}
}

// refusedAttempt makes one plain attempt and returns its outcome and duration.
func refusedAttempt(g *Gateway, target fleet.Target, id string) (attemptOutcome, time.Duration) {
	q := &request{Call: &Call{ID: id}, gateway: g}
	g.mu.Lock()
	state := g.dispatcher.Fleet.Get(target.ID)
	state.InProgress++
	g.mu.Unlock()
	begun := time.Now()
	outcome := q.attemptTarget(context.Background(), &target, 5*time.Second, false)
	return outcome, time.Since(begun)
}

// TestConnectionIsReusedAfterRefusal guards against a new connection for each request that a target refuses, and against
// the reuse of one whose response is incomplete, too long, without an id, or not from the target itself.
func TestConnectionIsReusedAfterRefusal(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 503 Service Unavailable\r\nId: ID\r\n"
	for _, test := range []struct {
		name   string
		parts  []string
		reused bool
	}{
		{"no body", []string{head + "Content-Length: 0\r\n\r\n"}, true},
		{"short body", []string{head + "Content-Length: 4\r\n\r\nfull"}, true},
		{"late body", []string{head + "Content-Length: 4\r\n\r\n", "full"}, true},
		{"chunked body", []string{head + "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n", "0\r\n\r\n"}, true},
		{"incomplete body", []string{head + "Content-Length: 4\r\n\r\nful"}, false},
		{"long body", []string{fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, 2*maxRefusalBytes,
			strings.Repeat("x", 2*maxRefusalBytes))}, false},
		{"long chunked body", []string{head + "Transfer-Encoding: chunked\r\n\r\n",
			strings.Repeat("4\r\nfull\r\n", maxRefusalBytes) + "0\r\n\r\n"}, false},
		{"additional bytes", []string{head + "Content-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n"}, false},
		{"unframed", []string{head + "\r\nfull"}, false},
		{"close", []string{head + "Connection: close\r\nContent-Length: 0\r\n\r\n"}, false},
		{"no id", []string{"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"}, false},
		{"leaving", []string{head + "Leaving: 1\r\nContent-Length: 0\r\n\r\n"}, false},
		{"misdirected", []string{"HTTP/1.1 421 Misdirected Request\r\nId: ID\r\nContent-Length: 0\r\n\r\n"}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g, target, accepted := refusingTarget(t, time.Millisecond, test.parts...)
			const attempts = 5
			for i := range attempts {
				outcome, _ := refusedAttempt(g, target, fmt.Sprint("r", i))
				if outcome.err != nil || !outcome.head.NotRun {
					t.Fatalf("attempt %d: %+v", i, outcome)
				}
				time.Sleep(50 * time.Millisecond)
			}
			if got := accepted.Load(); (got < attempts) != test.reused {
				t.Errorf("%d connections for %d attempts, want reuse %v", got, attempts, test.reused)
			}
		})
	}
}

// TestRefusedStreamKeepsConnection guards against a new connection for each stream that an engine refuses.
func TestRefusedStreamKeepsConnection(t *testing.T) {
	t.Parallel()
	refusing, target, accepted := refusingTarget(t, 0, "HTTP/1.1 503 Service Unavailable\r\nId: ID\r\nContent-Length: 0\r\n\r\n")
	g, service := modelGateway()
	g.options.Codec, g.options.Pool = refusing.options.Codec, refusing.options.Pool
	for _, id := range []entity.TargetID{"a", "a2", "b"} {
		engine := g.dispatcher.Fleet.Get(id).Target
		engine.Address = target.Address
		g.dispatcher.Fleet.Put(engine)
	}
	for i := range 2 {
		s := modelStream(t, g, service, 100)
		s.release()
		s.ID, s.deadline, s.limit = fmt.Sprint("s", i), time.Now().Add(5*time.Second), time.Now().Add(5*time.Second)
		if done, retry := s.runAttempt(t.Context()); done || !retry || s.lastKind != errkind.Overloaded {
			t.Fatalf("stream %d: done %v, retry %v, %v (%v)", i, done, retry, s.lastKind, s.lastErr)
		}
	}
	if got := accepted.Load(); got != 1 {
		t.Errorf("%d connections for 2 refused streams, want 1", got)
	}
}

// TestRestOfRefusalDelaysNoAttempt guards against a request that waits for the rest of a refusal before its next attempt, and
// against a connection that stays open if that rest never arrives.
func TestRestOfRefusalDelaysNoAttempt(t *testing.T) {
	t.Parallel()
	const pause = 2 * time.Second
	g, target, _ := refusingTarget(t, pause, "HTTP/1.1 503 Service Unavailable\r\nId: ID\r\nContent-Length: 4\r\n\r\n", "full")
	outcome, took := refusedAttempt(g, target, "r")
	if outcome.err != nil || !outcome.head.NotRun || took >= pause/2 {
		t.Fatalf("attempt took %v: %+v", took, outcome)
	}
	time.Sleep(pause / 2)
	if conn, err := g.options.Pool.Get(t.Context(), connpool.Use{Address: target.Address, Timeout: time.Second}); err != nil || conn.Reused {
		t.Errorf("connection with an incomplete response: %v, reused %v", err, conn != nil && conn.Reused)
	}
}

// TestRestOfRefusalHoldsNoBody guards against request bodies that stay in memory, beyond what is accounted for, while the rest of
// a refusal is read in the background.
func TestRestOfRefusalHoldsNoBody(t *testing.T) {
	t.Parallel()
	g, target, _ := refusingTarget(t, time.Minute, "HTTP/1.1 503 Service Unavailable\r\nId: ID\r\nContent-Length: 4\r\n\r\n", "full")
	x, body := refusedExchange(t, g, target)
	x.releaseRefused()
	runtime.GC()
	if body.Value() != nil {
		t.Error("the body of the request is still referenced")
	}
	runtime.KeepAlive(x)
}

// refusedExchange sends a request with a body that has no other reference than the exchange.
func refusedExchange(t *testing.T, g *Gateway, target fleet.Target) (*exchange, weak.Pointer[byte]) {
	t.Helper()
	body := make([]byte, 1<<20)
	x, err := g.send(t.Context(), &Attempt{Call: &Call{ID: "r", Body: body}, Target: target}, false, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return x, weak.Make(&body[0])
}
