package engine

import (
	"bytes"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/core/message"
)

// BenchmarkToken measures the time from the line of a token to its delivery, for a chain of three stages.
func BenchmarkToken(b *testing.B) {
	const trace = `[{"target":"engine-1","from":0,"to":8,"step_us":812,"transfer_us":40},` +
		`{"target":"engine-2","from":8,"to":16,"step_us":790,"transfer_us":41},{"target":"engine-3","from":16,"to":24,"step_us":805}]`
	const request, attempt = "daemon-1.18edf7031438847c.17", "daemon-1.18edf7031438847c.17/1"
	line := bytes.TrimSpace([]byte(eventLine(request, attempt, 0, trace, "")))
	call := StreamCall{
		Body: engineapi.StreamRequest{
			Request: request, Attempt: attempt, MaxTokens: 1 << 30,
			Route: []engineapi.Stage{{Target: "engine-1", To: 8}, {Target: "engine-2", From: 8, To: 16}, {Target: "engine-3", From: 16, To: 24}},
		},
		Layers:   24,
		Deliver:  func(int, Token) error { return nil },
		Progress: func(int, []message.HopSample) {},
	}
	reader := newEventReader(&call, time.Now, func(string) {})
	b.ReportAllocs()
	for b.Loop() {
		reader.nextPosition = 0
		if _, err := reader.accept(line); err != nil {
			b.Fatal(err)
		}
	}
}
