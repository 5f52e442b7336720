package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/internal/measure"
)

// BenchmarkPoll measures the traffic of a daemon that polls the given number of targets once a second: one round
// requests the load report of each target and its cache events since the last poll, here the given number of events
// with 16 blocks each. Bytes include HTTP headers; processor time is that of both sides.
func BenchmarkPoll(b *testing.B) {
	for _, events := range []int{0, 4, 16} {
		for _, targets := range []int{1, 8, 32} {
			b.Run(fmt.Sprintf("events=%d/targets=%d", events, targets), func(b *testing.B) { benchmarkPoll(b, events, targets) })
		}
	}
}

func benchmarkPoll(b *testing.B, events, targets int) {
	load, cache := pollReplies(b, events)
	var wireBytes atomic.Int64
	urls := make([]string, targets)
	for i := range urls {
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			if strings.HasPrefix(r.URL.Path, engineapi.LoadPath) {
				_, _ = w.Write(load)
				return
			}
			_, _ = w.Write(cache)
		}))
		server.Listener = &measure.Listener{Listener: server.Listener, Bytes: &wireBytes}
		server.Start()
		defer server.Close()
		urls[i] = server.URL
	}
	client := NewClient(ClientOptions{})
	defer client.Close()
	round := func() {
		for _, url := range urls {
			if _, err := client.Load(context.Background(), url); err != nil {
				b.Fatal(err)
			}
			if _, err := client.CacheEvents(context.Background(), url, 123_456); err != nil {
				b.Fatal(err)
			}
		}
	}
	round()
	bytes, begin := wireBytes.Load(), measure.CPUTime()
	for b.Loop() {
		round()
	}
	b.ReportMetric(float64(wireBytes.Load()-bytes)/float64(b.N), "B/round")
	b.ReportMetric(float64(measure.CPUTime()-begin)/float64(b.N)/1000, "cpu-us/round")
}

func pollReplies(b *testing.B, events int) (load, cache []byte) {
	load, err := json.Marshal(engineapi.LoadReport{
		Target: "engine-0001", Sequence: 123_456, AgeMS: 812, Queued: 3, Running: 28, KVUsed: 0.731, TokensProcessed: 1 << 40,
		Model: "model-01", Version: "2026-11-20", Role: "mixed", From: 16, To: 32, Accelerator: "type-1", FencingNumber: 12,
	})
	if err != nil {
		b.Fatal(err)
	}
	var list engineapi.CacheEvents
	for i := range events {
		event := engineapi.CacheEvent{Sequence: uint64(123_457 + i)}
		for j := range 16 {
			event.Added = append(event.Added, uint64(i*16+j+1)*0x9e3779b97f4a7c15)
		}
		list.Events = append(list.Events, event)
	}
	if cache, err = json.Marshal(list); err != nil {
		b.Fatal(err)
	}
	return load, cache
}
