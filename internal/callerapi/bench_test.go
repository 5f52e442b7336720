package callerapi

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/engine"
)

// BenchmarkTokenEvent measures the encoding and flushing of one server-sent event per token.
func BenchmarkTokenEvent(b *testing.B) {
	w := httptest.NewRecorder()
	w.Body = nil // the events are discarded
	out := newEventStream(deadlineWriter{w}, time.Minute)
	response := &completionResponse{
		kind: completionKindFor(true), request: &decodedRequest{model: "demo"}, id: "daemon-1.18edf7031438847c.17",
	}
	token := engine.Token{ID: 7, Text: " word"}
	b.ReportAllocs()
	for b.Loop() {
		response.addToken(&token)
		out.writeEvent(response.chunk(&token))
		if err := out.flush(); err != nil {
			b.Fatal(err)
		}
	}
}

type deadlineWriter struct{ *httptest.ResponseRecorder }

func (deadlineWriter) SetWriteDeadline(time.Time) error { return nil }

// BenchmarkTokenEventText measures the time and size of the server-sent event of one token for several text lengths.
func BenchmarkTokenEventText(b *testing.B) {
	for _, n := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("bytes=%d", n), func(b *testing.B) {
			w := httptest.NewRecorder()
			w.Body = new(bytes.Buffer)
			out := newEventStream(deadlineWriter{w}, time.Minute)
			response := &completionResponse{
				kind: completionKindFor(true), request: &decodedRequest{model: "demo"},
				id: "daemon-1.18edf7031438847c.17",
			}
			token := engine.Token{ID: 7, Text: strings.Repeat("w", n)}
			written := 0
			for b.Loop() {
				response.addToken(&token)
				out.writeEvent(response.chunk(&token))
				if err := out.flush(); err != nil {
					b.Fatal(err)
				}
				written = w.Body.Len()
				w.Body.Reset()
			}
			b.ReportMetric(float64(b.Elapsed())/float64(b.N), "ns/token")
			b.ReportMetric(float64(written), "B/token")
		})
	}
}
