package callerconn

import (
	"net"
	"testing"
	"time"
)

// TestRequestAfterServersDeadlineIsRead guards against a request that is closed without an answer because it has arrived when
// both the server's deadline and the time to linger have passed.
func TestRequestAfterServersDeadlineIsRead(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	caller, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	listener := Track(inner.(*net.TCPListener), Options{ClosingResponse: func() []byte { return []byte(closingResponse) }})
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	if err := accepted.SetReadDeadline(time.Now().Add(-time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := caller.Write([]byte(get("/late"))); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(waitLimit); !hasUnread(accepted.(*conn).Conn) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	listener.FinishNow()
	if n, err := accepted.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Errorf("read %d bytes, %v", n, err)
	}
}
