package connpool

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// listen starts a listener and returns its address and a channel of the accepted connections.
func listen(t *testing.T) (string, chan net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	accepted := make(chan net.Conn, 8)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	return listener.Addr().String(), accepted
}

func get(t *testing.T, p *Pool, address string, forceNew bool) *Conn {
	t.Helper()
	return getFor(t, p, Use{Address: address, RequestID: uniqueID(), New: forceNew, Timeout: DialTimeout})
}

var requests atomic.Int64

// uniqueID returns the id of a new request.
func uniqueID() string { return fmt.Sprint("r", requests.Add(1)) }

func getFor(t *testing.T, p *Pool, use Use) *Conn {
	t.Helper()
	conn, err := p.Get(context.Background(), use)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestReuse guards against a reusable connection that is not reused, and against reuse when a new connection is
// requested, as for a call that may run only once.
func TestReuse(t *testing.T) {
	address, _ := listen(t)
	p := New()
	first := get(t, p, address, false)
	p.Put(first, 0)
	if again := get(t, p, address, true); again.Reused {
		t.Error("idle connection was reused although a new one was requested")
	}
	if again := get(t, p, address, false); again.Conn != first.Conn || !again.Reused {
		t.Error("reusable connection was not reused")
	}
}

// TestConnectionCarriesRequestOnce guards against two attempts of a request on one connection, where a late copy of the response to
// the first one would count as the response to the second, and against a connection that other requests cannot reuse either.
func TestConnectionCarriesRequestOnce(t *testing.T) {
	address, _ := listen(t)
	p := New()
	use := Use{Address: address, RequestID: "r", Timeout: DialTimeout}
	other := use
	other.RequestID = "other"
	first := getFor(t, p, use)
	p.Put(first, 0)
	second := getFor(t, p, use)
	if second.Conn == first.Conn {
		t.Error("connection carries two attempts of a request")
	}
	p.Put(second, 0)
	if got := getFor(t, p, other); got != second {
		t.Error("connection used last was not reused by another request")
	}
	if got := getFor(t, p, other); got != first {
		t.Error("the first connection was not reused by another request")
	}
	p.Put(second, 0)
	p.Put(first, 0)
	if got := getFor(t, p, use); got.Reused {
		t.Error("connection carries two attempts of a request after the attempt of another one")
	}
}

// TestRequestsOfConnectionAreBounded guards against a connection whose record of requests grows without a bound.
func TestRequestsOfConnectionAreBounded(t *testing.T) {
	address, _ := listen(t)
	p := New()
	conn := get(t, p, address, false)
	for range maxRequestsPerConn - 1 {
		p.Put(conn, 0)
		if again := get(t, p, address, false); again != conn {
			t.Fatalf("connection was not reused after %d requests", len(conn.carried))
		}
	}
	p.Put(conn, 0)
	if p.idleCount != 0 {
		t.Errorf("connection was kept after %d requests", len(conn.carried))
	}
}

// TestUnusableConnectionIsNotReused guards against reuse of a connection that the target has closed, or on which it
// sent more than its response: such bytes belong to no request.
func TestUnusableConnectionIsNotReused(t *testing.T) {
	for name, disrupt := range map[string]func(net.Conn) error{
		"closed":      func(c net.Conn) error { return c.Close() },
		"more bytes":  func(c net.Conn) error { _, err := c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n")); return err },
		"reset":       func(c net.Conn) error { return c.(*net.TCPConn).SetLinger(0) },
		"half closed": func(c net.Conn) error { return c.(*net.TCPConn).CloseWrite() },
	} {
		t.Run(name, func(t *testing.T) {
			address, accepted := listen(t)
			p := New()
			first := get(t, p, address, false)
			p.Put(first, 0)
			serverConn := <-accepted
			if err := disrupt(serverConn); err != nil {
				t.Fatal(err)
			}
			if name == "reset" {
				serverConn.Close()
			}
			time.Sleep(20 * time.Millisecond)
			if again := get(t, p, address, false); again.Conn == first.Conn {
				t.Error("unusable connection was reused")
			}
		})
	}
}

// TestIdleTime guards against reuse of a connection that the target is about to close, and against idle connections
// that are never closed.
func TestIdleTime(t *testing.T) {
	address, _ := listen(t)
	p := New()
	short := get(t, p, address, false)
	p.Put(short, keepAliveMargin)
	if again := get(t, p, address, false); again.Conn == short.Conn {
		t.Error("connection that the target is about to close was reused")
	}
	long := get(t, p, address, false)
	p.Put(long, 0)
	p.CloseExpired(time.Now().Add(maxIdleTime))
	if len(p.idle) != 0 {
		t.Error("expired idle connection was not closed")
	}
}

// TestAnnouncedIdleTime guards against idle connections that are kept for as long as their target says: those of all instances
// together used up the connections that a target accepts, and it reset the ones of new calls.
func TestAnnouncedIdleTime(t *testing.T) {
	for announced, want := range map[time.Duration]time.Duration{
		2 * time.Second: 2*time.Second - keepAliveMargin, 4 * time.Second: 4*time.Second - keepAliveMargin,
		5 * time.Second: 4 * time.Second, 20 * time.Second: 4 * time.Second, time.Hour: 4 * time.Second,
	} {
		t.Run(announced.String(), func(t *testing.T) {
			address, _ := listen(t)
			p := New()
			before := time.Now()
			p.Put(get(t, p, address, false), announced)
			p.CloseExpired(before.Add(want - time.Nanosecond))
			if len(p.idle[address]) != 1 {
				t.Errorf("idle connection was closed before %v", want)
			}
			p.CloseExpired(time.Now().Add(want))
			if len(p.idle) != 0 {
				t.Errorf("idle connection was not closed after %v", want)
			}
		})
	}
}

// TestIdleConnectionsAreBounded guards against idle connections that use up the descriptors of an instance in front of many
// targets, and against a connection just used that is closed before those that are idle for longer.
func TestIdleConnectionsAreBounded(t *testing.T) {
	p := New()
	p.maxIdle = 4
	var conns []*Conn
	for range 3 {
		address, _ := listen(t)
		for range 2 {
			conns = append(conns, get(t, p, address, true))
		}
	}
	checkOpen := func(want ...int) {
		t.Helper()
		var open []int
		for i, conn := range conns {
			if conn.SetDeadline(time.Time{}) == nil {
				open = append(open, i)
			}
		}
		idle := 0
		for _, conns := range p.idle {
			idle += len(conns)
		}
		if !slices.Equal(open, want) || idle != p.idleCount {
			t.Errorf("connections %v are open, want %v; %d are idle, %d counted", open, want, idle, p.idleCount)
		}
	}
	for _, i := range []int{1, 0, 2, 4, 3, 5} {
		p.Put(conns[i], 0)
	}
	checkOpen(2, 3, 4, 5)
	p.Put(get(t, p, conns[2].address, false), 0) // reuses connection 3, so that 2, 4 and 5 are idle for longer
	checkOpen(2, 3, 4, 5)
	conns = append(conns, get(t, p, conns[0].address, true), get(t, p, conns[0].address, true))
	p.Put(conns[6], 0)
	p.Put(conns[7], 0)
	checkOpen(3, 5, 6, 7)
	p.CloseIdle(conns[0].address)
	checkOpen(3, 5)
	p.CloseExpired(time.Now().Add(maxIdleTime))
	checkOpen()
}

// TestPauseWhileDialing guards against a target that counts as unreachable because this process was paused while it opened
// the connection.
func TestPauseWhileDialing(t *testing.T) {
	t.Parallel()
	address, _ := listen(t)
	p := New()
	dials, control := 0, p.dialer.Control
	p.dialer.Control = func(network, address string, raw syscall.RawConn) error {
		if dials++; dials == 1 {
			time.Sleep(DialTimeout + 2*lateTimeout)
		}
		return control(network, address, raw)
	}
	get(t, p, address, true)
	if dials != 2 {
		t.Errorf("%d dials, want 2", dials)
	}
}
