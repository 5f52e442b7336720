package peer

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"
)

// emptyReplyHandler replies to Exchange with an empty reply; the other methods are not called.
type emptyReplyHandler struct{ Handler }

// Exchange implements Handler.
func (emptyReplyHandler) Exchange(*ExchangeArgs, *ExchangeReply) error { return nil }

// BenchmarkConnectionMemory measures the memory of both ends of a connection after one exchange on it: heap and stacks
// of the process, excluding kernel buffers and without TLS.
func BenchmarkConnectionMemory(b *testing.B) {
	for _, n := range []int{10, 100, 400} {
		b.Run(fmt.Sprintf("connections=%d", n), func(b *testing.B) {
			var total float64
			for range b.N {
				total += connectionMemory(b, n)
			}
			b.ReportMetric(total/float64(b.N)/float64(n), "B/connection")
		})
	}
}

func connectionMemory(b *testing.B, n int) float64 {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server, err := NewServer(ServerOptions{Handler: emptyReplyHandler{}})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = server.Serve(ctx, listener); close(done) }()
	defer func() { cancel(); <-done }()
	before := usedMemory()
	clients := make([]*Client, n)
	for i := range clients {
		clients[i] = NewClient(ClientOptions{})
		defer clients[i].Close()
		if err := clients[i].Call(ctx, listener.Addr().String(), ExchangeCall, &ExchangeArgs{}, &ExchangeReply{}); err != nil {
			b.Fatal(err)
		}
	}
	after := usedMemory()
	runtime.KeepAlive(clients)
	return float64(after) - float64(before)
}

func usedMemory() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
