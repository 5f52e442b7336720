package faultproxy

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hyssophoist/hyssophoist/internal/emulator/clock"
)

const (
	// testTimeout bounds each wait for an event. It is long because the machine may be busy.
	testTimeout = 30 * time.Second
	// quietPeriod is how long a test waits for bytes that must not arrive. On a slow machine the test may miss such bytes,
	// but it does not fail without cause.
	quietPeriod = 50 * time.Millisecond
)

// pair holds both ends of a connection through the proxy.
type pair struct {
	client, target net.Conn
}

type fixture struct {
	*Proxy
	ctx     context.Context
	targets chan net.Conn
}

func startProxy(t *testing.T, options Options) *fixture {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{targets: make(chan net.Conn, 100)}
	go func() {
		for {
			target, err := listener.Accept()
			if err != nil {
				return
			}
			f.targets <- target
		}
	}()
	options.Target = listener.Addr().String()
	if f.Proxy, err = New(options); err != nil {
		t.Fatal(err)
	}
	var cancel context.CancelFunc
	f.ctx, cancel = context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(func() { cancel(); f.Close(); listener.Close() })
	return f
}

func (f *fixture) connect(t *testing.T) net.Conn {
	t.Helper()
	client, err := net.Dial("tcp", f.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	_ = client.SetDeadline(time.Now().Add(testTimeout))
	return client
}

func (f *fixture) open(t *testing.T) pair {
	t.Helper()
	client := f.connect(t)
	address := f.targetSideAddress(t, client)
	for {
		select {
		case target := <-f.targets:
			t.Cleanup(func() { target.Close() })
			if target.RemoteAddr().String() != address {
				t.Logf("the target got a connection from %s that is not from %s", target.RemoteAddr(), client.LocalAddr())
				continue
			}
			_ = target.SetDeadline(time.Now().Add(testTimeout))
			return pair{client, target}
		case <-f.ctx.Done():
			t.Fatalf("the connection from %s by %s did not reach the target", client.LocalAddr(), address)
		}
	}
}

// targetSideAddress waits until the proxy has connected client to the target, and returns the address from which it did.
// Connections of other processes, whose server had the same port before, may arrive at the proxy and at the target.
func (f *fixture) targetSideAddress(t *testing.T, client net.Conn) string {
	t.Helper()
	for ; f.ctx.Err() == nil; time.Sleep(time.Millisecond) {
		for _, c := range f.Connections() {
			c.mu.Lock()
			target := c.target
			c.mu.Unlock()
			if target != nil && c.ClientAddress() == client.LocalAddr().String() {
				return target.LocalAddr().String()
			}
		}
	}
	t.Fatalf("the proxy did not connect %s to the target; %d connections open, %d accepted", client.LocalAddr(),
		len(f.Connections()), f.Accepted())
	return ""
}

func send(t *testing.T, to net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(to, text); err != nil {
		t.Fatal(err)
	}
}

func expect(t *testing.T, from net.Conn, text string) {
	t.Helper()
	got := make([]byte, len(text))
	if _, err := io.ReadFull(from, got); err != nil || string(got) != text {
		t.Fatalf("read %q, error %v; want %q", got, err, text)
	}
}

// expectClosed expects the connection to be closed or reset, and fails on a timeout.
func expectClosed(t *testing.T, from net.Conn) {
	t.Helper()
	n, err := from.Read(make([]byte, 1))
	if timeout, ok := err.(net.Error); n != 0 || err == nil || (ok && timeout.Timeout()) {
		t.Fatalf("read %d bytes, error %v; want the connection closed", n, err)
	}
}

func expectNoData(t *testing.T, from net.Conn) {
	t.Helper()
	_ = from.SetReadDeadline(time.Now().Add(quietPeriod))
	n, err := from.Read(make([]byte, 1))
	if timeout, ok := err.(net.Error); n != 0 || !ok || !timeout.Timeout() {
		t.Fatalf("read %d bytes, error %v; want no data and a timeout", n, err)
	}
	_ = from.SetReadDeadline(time.Now().Add(testTimeout))
}

// Guards against a proxy that alters traffic when no fault is configured, or does not forward a half-close.
func TestForwardsBytesAndHalfClose(t *testing.T) {
	f := startProxy(t, Options{})
	p := f.open(t)
	send(t, p.client, "request")
	expect(t, p.target, "request")
	_ = p.client.(*net.TCPConn).CloseWrite()
	expectClosed(t, p.target)
	send(t, p.target, "response")
	expect(t, p.client, "response")
	p.target.Close()
	expectClosed(t, p.client)
	if _, err := f.WaitConnections(f.ctx, 0); err != nil {
		t.Error("the closed connection was not removed")
	}
}

// Guards against a connection of another process, to the proxy or to the target, that a test takes for its own.
func TestForeignConnectionIsNotTakenForOwn(t *testing.T) {
	for _, to := range []string{"proxy", "target"} {
		t.Run(to, func(t *testing.T) {
			f := startProxy(t, Options{})
			address := f.options.Target
			if to == "proxy" {
				address = f.Address()
			}
			foreign, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer foreign.Close()
			p := f.open(t)
			send(t, p.client, "own")
			expect(t, p.target, "own")
		})
	}
}

// Guards against faults that do not reach the intended side, or that also affect new connections.
func TestFaultsOfExistingConnections(t *testing.T) {
	cases := map[string]struct {
		fault                  func(*Proxy)
		clientEnds, targetEnds bool
	}{
		"cut":                {func(p *Proxy) { p.Reset() }, true, true},
		"silence":            {func(p *Proxy) { p.Blackhole() }, false, false},
		"half-open, target":  {func(p *Proxy) { p.HalfOpen(ToTarget) }, false, true},
		"half-open, client":  {func(p *Proxy) { p.HalfOpen(ToClient) }, true, false},
		"one connection cut": {func(p *Proxy) { p.Connections()[0].Reset() }, true, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := startProxy(t, Options{})
			p := f.open(t)
			send(t, p.client, "a")
			expect(t, p.target, "a")
			tc.fault(f.Proxy)
			check := func(end net.Conn, ends bool, other net.Conn, otherEnds bool) {
				if ends {
					expectClosed(t, end)
					return
				}
				if !otherEnds {
					send(t, other, "lost")
				}
				expectNoData(t, end)
			}
			check(p.client, tc.clientEnds, p.target, tc.targetEnds)
			check(p.target, tc.targetEnds, p.client, tc.clientEnds)
			fresh := f.open(t)
			send(t, fresh.client, "b")
			expect(t, fresh.target, "b")
			if !tc.targetEnds {
				p.client.Close()
				expectNoData(t, p.target) // the close by the client is not forwarded either
			}
		})
	}
}

// TestResetStopsAllConnectionsTogether guards against a client that reacts to the reset of one connection and still
// reaches the target through another one that is about to be reset.
func TestResetStopsAllConnectionsTogether(t *testing.T) {
	const count = 64
	for name, resetAll := range map[string]func(*Proxy){
		"Reset":        (*Proxy).Reset,
		"BlockClients": func(p *Proxy) { p.BlockClients("127.0.0.1") },
	} {
		t.Run(name, func(t *testing.T) {
			f := startProxy(t, Options{})
			var clients []net.Conn
			for range count {
				clients = append(clients, f.open(t).client)
			}
			connections := f.Connections()
			reacted := make(chan error)
			go func() {
				_, err := clients[0].Read(make([]byte, 1))
				_, _ = clients[count-1].Write([]byte("x")) // fails if this connection has been reset as well
				reacted <- err
			}()
			resetAll(f.Proxy)
			if err := <-reacted; err == nil {
				t.Error("the first connection was not reset")
			}
			if _, err := f.WaitConnections(f.ctx, 0); err != nil {
				t.Fatal(err)
			}
			if n := connections[count-1].BytesForwarded(ToTarget); n != 0 {
				t.Errorf("%d bytes reached the target after the first reset", n)
			}
		})
	}
}

// Guards against a block that affects the other direction or loses bytes, and against new connections that reach the
// target during the block.
func TestBlockedDirectionHoldsBytes(t *testing.T) {
	f := startProxy(t, Options{})
	p := f.open(t)
	f.SetRules(ToTarget, Rules{Blocked: true})
	send(t, p.client, "held")
	expectNoData(t, p.target)
	send(t, p.target, "free")
	expect(t, p.client, "free")
	late := f.connect(t)
	if _, err := f.WaitConnections(f.ctx, 2); err != nil {
		t.Fatal(err)
	}
	select {
	case <-f.targets:
		t.Fatal("a new connection reached the target during the block")
	case <-time.After(quietPeriod):
	}
	f.SetRules(ToTarget, Rules{})
	expect(t, p.target, "held")
	send(t, late, "late")
	expect(t, <-f.targets, "late")
}

// Guards against delays and bandwidth limits that release bytes too early, and against reordered bytes.
func TestDelayAndBandwidth(t *testing.T) {
	manual := clock.NewManual(time.Unix(0, 0))
	f := startProxy(t, Options{Clock: manual})
	p := f.open(t)
	for _, tc := range []struct {
		rules Rules
		wait  time.Duration
	}{
		{Rules{Delay: 3 * time.Second}, 3 * time.Second},
		{Rules{BytesPerSecond: 2}, 2 * time.Second},
		{Rules{Delay: time.Second, BytesPerSecond: 4}, 2 * time.Second},
	} {
		f.SetRules(ToClient, tc.rules)
		before := f.Connections()[0].BytesForwarded(ToClient)
		send(t, p.target, "slow")
		for waited := time.Duration(0); waited < tc.wait; {
			if err := manual.WaitSleepers(f.ctx, 1); err != nil {
				t.Fatal(err)
			}
			if f.Connections()[0].BytesForwarded(ToClient) != before {
				t.Errorf("%+v: bytes forwarded after %v", tc.rules, waited)
			}
			waited += manual.AdvanceToNext()
		}
		expect(t, p.client, "slow")
		if err := f.Connections()[0].WaitForwarded(f.ctx, ToClient, before+4); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against responses that are dropped although the request did not reach the target or does not match.
func TestDropResponses(t *testing.T) {
	for _, blackhole := range []bool{false, true} {
		var postings, lookups atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				postings.Add(1)
			} else {
				lookups.Add(1)
			}
			fmt.Fprint(w, "done")
		}))
		p, err := New(Options{Target: strings.TrimPrefix(server.URL, "http://")})
		if err != nil {
			t.Fatal(err)
		}
		match := func(request []byte) bool { return bytes.HasPrefix(request, []byte("POST ")) }
		p.DropResponses(1, match)
		if blackhole {
			p.BlackholeResponses(1, match)
		}
		client := &http.Client{Transport: &http.Transport{}}
		call := func(method string) error {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			finished := make(chan struct{})
			if blackhole && method == http.MethodPost && postings.Load() == 0 {
				// The client cannot detect a blackholed connection, so the call is cancelled once the proxy reports one.
				go func() {
					defer close(finished)
					for ctx.Err() == nil && !slices.ContainsFunc(p.Connections(), (*Connection).Blackholed) {
						time.Sleep(time.Millisecond)
					}
					cancel()
				}()
			} else {
				close(finished)
			}
			request, _ := http.NewRequestWithContext(ctx, method, p.URL(), nil)
			response, err := client.Do(request)
			if err == nil {
				response.Body.Close()
				cancel()
			}
			<-finished
			return err
		}
		failed := []bool{call("GET") != nil, call("POST") != nil, call("POST") != nil, call("GET") != nil}
		if diff := cmp.Diff([]bool{false, true, false, false}, failed); diff != "" {
			t.Errorf("blackhole %v: calls with an error (-want +got):\n%s", blackhole, diff)
		}
		if postings.Load() != 2 || lookups.Load() != 2 {
			t.Errorf("blackhole %v: %d postings and %d lookups ran", blackhole, postings.Load(), lookups.Load())
		}
		client.CloseIdleConnections()
		p.Close()
		server.Close()
	}
}

// Guards against random faults that differ between two runs with the same seed.
func TestRandomisedFaultsDependOnSeed(t *testing.T) {
	run := func(seed uint64) (outcomes []string) {
		f := startProxy(t, Options{Seed: seed})
		f.SetRandomFaults(RandomFaults{ResetProbability: 0.3, BlackholeProbability: 0.3, MaxBytes: 40})
		for range 20 {
			p := f.open(t)
			connection := f.Connections()[len(f.Connections())-1]
			send(t, p.target, strings.Repeat("x", 50))
			got := make([]byte, 50)
			if fault := connection.fault; fault.blackhole {
				got = got[:fault.afterBytes]
			}
			n, err := io.ReadFull(p.client, got)
			if connection.fault.blackhole {
				expectNoData(t, p.client)
			}
			outcomes = append(outcomes, fmt.Sprintf("%d bytes, ended %v", n, err != nil))
			p.client.Close()
			p.target.Close()
			if _, err := f.WaitConnections(f.ctx, 0); err != nil {
				t.Fatal(err)
			}
		}
		return outcomes
	}
	first := run(1)
	if diff := cmp.Diff(first, run(1)); diff != "" {
		t.Errorf("two runs with the same seed differ (-first +second):\n%s", diff)
	}
	if cmp.Equal(first, run(2)) {
		t.Error("two different seeds give the same faults")
	}
}

// Guards against refused connections that stay usable, and against new connections that ignore SetTarget.
func TestRefuseNewAndSetTarget(t *testing.T) {
	f, other := startProxy(t, Options{}), startProxy(t, Options{})
	p := f.open(t)
	f.RefuseNew(true)
	if refused, err := net.Dial("tcp", f.Address()); err == nil { // the reset may come before or after the connection is open
		_ = refused.SetDeadline(time.Now().Add(testTimeout))
		expectClosed(t, refused)
		refused.Close()
	}
	send(t, p.client, "goes on")
	expect(t, p.target, "goes on")
	f.RefuseNew(false)
	f.SetTarget(other.options.Target)
	client := f.connect(t)
	send(t, client, "moved")
	expect(t, <-other.targets, "moved")
	if f.Accepted() != 2 {
		t.Errorf("%d connections accepted", f.Accepted())
	}
	f.Close()
	expectClosed(t, client)
}

// Guards against blocked clients whose connections stay open, and against a block that persists after it is replaced.
func TestBlockClients(t *testing.T) {
	f := startProxy(t, Options{})
	p := f.open(t)
	f.BlockClients("127.0.0.9")
	send(t, p.client, "other address")
	expect(t, p.target, "other address")
	f.BlockClients("127.0.0.1")
	expectClosed(t, p.client)
	expectClosed(t, p.target)
	if refused, err := net.Dial("tcp", f.Address()); err == nil {
		_ = refused.SetDeadline(time.Now().Add(testTimeout))
		expectClosed(t, refused)
		refused.Close()
	}
	f.BlockClients()
	fresh := f.open(t)
	send(t, fresh.client, "open")
	expect(t, fresh.target, "open")
}
