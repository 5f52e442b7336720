// Package httpstatustest has a server for tests whose responses have any status code, also one that net/http refuses to write.
package httpstatustest

import (
	"fmt"
	"net"
	"testing"
)

// Invalid holds status codes that no final response may have.
var Invalid = []string{"000", "099", "600", "999"}

// Listen starts a server until the end of the test that answers each request with the status code and the body, and closes the
// connection. It returns its host:port.
func Listen(t testing.TB, status, body string) (address string) {
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
			if _, err = conn.Read(make([]byte, 4096)); err == nil {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Unknown\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", status, len(body), body)
			}
			conn.Close()
		}
	}()
	return listener.Addr().String()
}
