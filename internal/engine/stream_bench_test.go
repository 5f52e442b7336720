package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/core/message"
	"github.com/hyssophoist/hyssophoist/internal/measure"
)

const benchLayers = 64

// routeAndTrace returns the route and the encoded trace of a chain of n stages.
func routeAndTrace(n int, url string) ([]engineapi.Stage, []byte) {
	var route []engineapi.Stage
	var trace []map[string]any
	for i := range n {
		from, to := i*benchLayers/n, (i+1)*benchLayers/n
		id := fmt.Sprintf("engine-%04d", i)
		route = append(route, engineapi.Stage{Target: id, URL: url, From: from, To: to})
		trace = append(trace, map[string]any{"target": id, "from": from, "to": to, "step_us": 812, "transfer_us": 40})
	}
	encoded, _ := json.Marshal(trace) // maps of numbers and strings can always be encoded
	return route, encoded
}

func benchCall(stages, tokens int, url string) StreamCall {
	route, _ := routeAndTrace(stages, url)
	return StreamCall{
		Body:     engineapi.StreamRequest{Request: "daemon-1.18edf7031438847c.17", Attempt: "daemon-1.18edf7031438847c.17/1", MaxTokens: tokens, Route: route},
		Layers:   benchLayers,
		Deliver:  func(int, Token) error { return nil },
		Progress: func(int, []message.HopSample) {},
	}
}

// BenchmarkTokenByStages measures the time from the line of a token to its delivery, by the number of stages.
func BenchmarkTokenByStages(b *testing.B) {
	for _, stages := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("stages=%d", stages), func(b *testing.B) {
			call := benchCall(stages, 1<<30, "")
			_, trace := routeAndTrace(stages, "")
			line := []byte(eventLine(string(call.Body.Request), string(call.Body.Attempt), 0, string(trace), ""))
			reader := newEventReader(&call, time.Now, func(string) {})
			for b.Loop() {
				reader.nextPosition = 0
				if _, err := reader.accept(line); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed())/float64(b.N), "ns/token")
			b.ReportMetric(float64(len(line)), "B/token")
		})
	}
}

// BenchmarkStreamTokens measures the processor time per token, of both sides together, for a chain of 4 stages, a
// server that flushes each token, and the given number of concurrent streams.
func BenchmarkStreamTokens(b *testing.B) {
	const tokens = 400
	for _, streams := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			server := streamServer(tokens, nil)
			defer server.Close()
			client := NewClient(ClientOptions{})
			defer client.Close()
			begin := measure.CPUTime()
			for b.Loop() {
				var all sync.WaitGroup
				for range streams {
					all.Go(func() {
						if err := client.Stream(context.Background(), benchCall(4, tokens, server.URL)); err != nil {
							b.Error(err)
						}
					})
				}
				all.Wait()
			}
			b.ReportMetric(float64(measure.CPUTime()-begin)/1000/float64(b.N*streams*tokens), "cpu-us/token")
		})
	}
}

// streamServer sends the given number of tokens to each stream. If release is set, it sends the last token only after
// release is closed.
func streamServer(tokens int, release chan struct{}) *httptest.Server {
	_, trace := routeAndTrace(4, "")
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request engineapi.StreamRequest
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		flusher := http.NewResponseController(w)
		for i := range tokens {
			finish := ""
			if i == tokens-1 {
				finish = "length"
				if release != nil {
					<-release
				}
			}
			_, _ = w.Write([]byte(eventLine(string(request.Request), string(request.Attempt), i, string(trace), finish)))
			_ = flusher.Flush()
		}
	}))
}

// BenchmarkStreamMemory measures the heap and stack memory of n open streams, including both ends of their connections
// and excluding the connection of the caller.
func BenchmarkStreamMemory(b *testing.B) {
	for _, n := range []int{30, 300, 1000} {
		b.Run(fmt.Sprintf("streams=%d", n), func(b *testing.B) {
			var total float64
			for range b.N {
				total += streamMemory(b, n)
			}
			b.ReportMetric(total/float64(b.N)/float64(n), "B/stream")
		})
	}
}

func streamMemory(b *testing.B, n int) float64 {
	release := make(chan struct{})
	server := streamServer(2, release)
	defer server.Close()
	client := NewClient(ClientOptions{})
	defer client.Close()
	before := usedMemory()
	var firstTokens, all sync.WaitGroup
	firstTokens.Add(n)
	for i := range n {
		all.Go(func() {
			call := benchCall(4, 2, server.URL)
			call.Body.Request = fmt.Sprint("r", i)
			call.Deliver = func(position int, _ Token) error {
				if position == 0 {
					firstTokens.Done()
				}
				return nil
			}
			if err := client.Stream(context.Background(), call); err != nil {
				b.Error(err)
			}
		})
	}
	firstTokens.Wait()
	after := usedMemory()
	close(release)
	all.Wait()
	return float64(after) - float64(before)
}

func usedMemory() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
