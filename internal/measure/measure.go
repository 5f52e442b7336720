// Package measure provides what benchmarks report besides elapsed time: bytes on connections and CPU time.
package measure

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// Listener counts the bytes that its connections read and write.
type Listener struct {
	net.Listener
	// Bytes is the sum over both directions. Several listeners can share one counter.
	Bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: l.Bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// CPUTime returns the CPU time that this process has used in user and system mode.
func CPUTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage) // cannot fail for the calling process
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
