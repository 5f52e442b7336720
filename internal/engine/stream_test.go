package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/message"
)

const goodTrace = `[{"target":"a","from":0,"to":2},{"target":"b","from":2,"to":4}]`

func eventLine(request, attempt string, position int, trace, finish string) string {
	return fmt.Sprintf(`{"request":%q,"attempt":%q,"position":%d,"token":7,"text":" x","trace":%s,"finish_reason":%q}`+"\n",
		request, attempt, position, trace, finish)
}

func streamCall(url string, delivered *int) StreamCall {
	return StreamCall{
		Body: engineapi.StreamRequest{
			Request: "r", Attempt: "2", Tokens: []uint32{7}, MaxTokens: 3,
			Route: []engineapi.Stage{{Target: "a", URL: url, From: 0, To: 2}, {Target: "b", From: 2, To: 4}},
		},
		Layers:   4,
		Deliver:  func(int, Token) error { *delivered++; return nil },
		Progress: func(int, []message.HopSample) {},
	}
}

// TestStreamChecksEachEvent guards against any part of an invalid event that reaches the caller, and against failures
// with a wrong run outcome.
func TestStreamChecksEachEvent(t *testing.T) {
	good := eventLine("r", "2", 1, goodTrace, "")
	last := eventLine("r", "2", 2, goodTrace, "length")
	cases := []struct {
		name      string
		status    int
		body      string
		delivered int
		kind      errkind.Kind // empty for success
		run       errkind.RunOutcome
		target    string
	}{
		{"whole", 200, good + last, 2, "", "", ""},
		{"no finish reason", 200, good, 1, errkind.TargetFailed, errkind.Unknown, "a"},
		{"nothing", 200, "", 0, errkind.TargetFailed, errkind.Unknown, "a"},
		{"other request", 200, eventLine("q", "2", 1, goodTrace, ""), 0, errkind.TargetFailed, errkind.Unknown, "a"},
		{"older attempt", 200, eventLine("r", "1", 1, goodTrace, ""), 0, errkind.TargetFailed, errkind.Unknown, "a"},
		{"older attempt later", 200, good + eventLine("r", "1", 2, goodTrace, "length"), 1, errkind.TargetFailed, errkind.Unknown, "a"},
		{"repeated position", 200, good + good, 1, errkind.TargetFailed, errkind.Unknown, "a"},
		{"position left out", 200, last, 0, errkind.TargetFailed, errkind.Unknown, "a"},
		{"too many tokens", 200, good + eventLine("r", "2", 2, goodTrace, "") + eventLine("r", "2", 3, goodTrace, "stop"), 2, errkind.TargetFailed, errkind.Unknown, "a"},
		{"fields left out after a good event", 200, good + `{"request":"r","attempt":"2","position":2,"trace":[{},{}]}` + "\n", 1, errkind.TargetFailed, errkind.Unknown, "a"},
		{"trace left out after a good event", 200, good + `{"request":"r","attempt":"2","position":2}` + "\n", 1, errkind.TargetFailed, errkind.Unknown, "a"},
		{"only a trace after a good event", 200, good + `{"trace":` + goodTrace + "}\n", 1, errkind.TargetFailed, errkind.Unknown, "a"},
		{"null trace entry after a good event", 200, good + `{"request":"r","attempt":"2","position":2,"trace":[null,null]}` + "\n", 1, errkind.TargetFailed, errkind.Unknown, "a"},
		{"escapes", 200, strings.ReplaceAll(good+last, `"r"`, `"\u0072"`), 2, "", "", ""},
		{"no trace", 200, eventLine("r", "2", 1, "[]", ""), 0, errkind.TargetFailed, errkind.Unknown, "a"},
		{"layers left out", 200, eventLine("r", "2", 1, `[{"target":"a","from":0,"to":2},{"target":"b","from":3,"to":4}]`, ""), 0, errkind.TargetFailed, errkind.Unknown, "a"},
		{"layers run twice", 200, eventLine("r", "2", 1, `[{"target":"a","from":0,"to":2},{"target":"a","from":0,"to":2},{"target":"b","from":2,"to":4}]`, ""), 0, errkind.TargetFailed, errkind.Unknown, "a"},
		{"last layers left out", 200, eventLine("r", "2", 1, `[{"target":"a","from":0,"to":2}]`, ""), 0, errkind.TargetFailed, errkind.Unknown, "a"},
		{"target not on the route", 200, eventLine("r", "2", 1, `[{"target":"a","from":0,"to":2},{"target":"c","from":2,"to":4}]`, ""), 0, errkind.TargetFailed, errkind.Unknown, "a"},
		{"malformed", 200, `{"request":"r"` + "\n", 0, errkind.TargetFailed, errkind.Unknown, "a"},
		{"event too long", 200, strings.Repeat("x", maxEventBytes+1) + "\n", 0, errkind.TargetFailed, errkind.Unknown, "a"},
		{"unknown finish reason", 200, eventLine("r", "2", 1, goodTrace, "done"), 0, errkind.TargetFailed, errkind.Unknown, "a"},
		{"reported failure", 200, good + `{"request":"r","attempt":"2","error":"lost","failed_target":"b"}` + "\n", 1, errkind.TargetFailed, errkind.Unknown, "b"},
		{"refused", 503, `{"error":"full"}`, 0, errkind.TargetRefused, errkind.NotRun, "a"},
		{"model not held", 404, `{"error":"no such model"}`, 0, errkind.TargetFailed, errkind.Unknown, "a"},
		{"failed at once", 500, "", 0, errkind.TargetFailed, errkind.Unknown, "a"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if c.status == http.StatusServiceUnavailable {
					w.Header().Set(engineapi.RunHeader, engineapi.RunNotRun)
				}
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			}))
			defer server.Close()
			client := NewClient(ClientOptions{})
			defer client.Close()
			delivered := 0
			err := client.Stream(t.Context(), streamCall(server.URL, &delivered))
			if delivered != c.delivered {
				t.Errorf("%d tokens were delivered, want %d", delivered, c.delivered)
			}
			if c.kind == "" {
				if err != nil {
					t.Errorf("stream failed: %v", err)
				}
				return
			}
			assertFailure(t, err, c.kind, c.run, c.target)
		})
	}
}

func assertFailure(t *testing.T, err error, kind errkind.Kind, run errkind.RunOutcome, target string) {
	t.Helper()
	failed, ok := err.(*StreamFailure)
	if !ok {
		t.Fatalf("error is %v, want a stream failure", err)
	}
	if errkind.Of(failed.Err) != kind || errkind.RunOf(failed.Err) != run || string(failed.Target) != target {
		t.Errorf("failure is %s, %s, target %q, want %s, %s, %q: %v", errkind.Of(failed.Err), errkind.RunOf(failed.Err),
			failed.Target, kind, run, target, err)
	}
}

// TestStreamToUnreachableEngineIsNotRun guards against an unreachable engine that is reported as possibly having run
// the request.
func TestStreamToUnreachableEngineIsNotRun(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	delivered := 0
	err := NewClient(ClientOptions{}).Stream(t.Context(), streamCall(server.URL, &delivered))
	assertFailure(t, err, errkind.TargetFailed, errkind.NotRun, "a")
}

// TestConnectionOfCanceledStreamIsNotReused guards against reuse of the connection of a canceled stream: the engine
// must see the connection close, and the next stream must use a new one.
func TestConnectionOfCanceledStreamIsNotReused(t *testing.T) {
	ended := make(chan struct{}, 1)
	addresses := make(chan string, 2)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		addresses <- r.RemoteAddr
		_, _ = io.WriteString(w, eventLine("r", "2", 1, goodTrace, ""))
		_ = http.NewResponseController(w).Flush()
		if len(addresses) == 2 {
			_, _ = io.WriteString(w, eventLine("r", "2", 2, goodTrace, "stop"))
			return
		}
		<-r.Context().Done()
		ended <- struct{}{}
	}))
	defer server.Close()
	client := NewClient(ClientOptions{})
	defer client.Close()
	ctx, cancel := context.WithCancel(t.Context())
	delivered := 0
	call := streamCall(server.URL, &delivered)
	call.Progress = func(int, []message.HopSample) { cancel() }
	assertFailure(t, client.Stream(ctx, call), errkind.Canceled, errkind.Unknown, "")
	<-ended
	client.CloseIdle(server.URL)
	call.Progress = func(int, []message.HopSample) {}
	if err := client.Stream(t.Context(), call); err != nil {
		t.Errorf("stream on a new connection failed: %v", err)
	}
	if first, second := <-addresses, <-addresses; first == second {
		t.Error("the connection of a canceled stream was reused")
	}
}

// FuzzEvent guards against an event reader that accepts events which encoding/json or CheckTrace reject, or that
// delivers other values than encoding/json decodes.
func FuzzEvent(f *testing.F) {
	f.Add([]byte(eventLine("r", "2", 1, goodTrace, "")))
	f.Add([]byte(`{"request":"r","attempt":"2","position":1,"trace":[null,{"target":"b"}],"text":"\u00e9\n"}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		var delivered []Token
		count := 0
		call := streamCall("", &count)
		call.Deliver = func(_ int, token Token) error { delivered = append(delivered, token); return nil }
		reader := newEventReader(&call, time.Now, func(string) {})
		if _, err := reader.accept([]byte(eventLine("r", "2", 1, goodTrace, ""))); err != nil {
			t.Fatal(err)
		}
		_, err := reader.accept(line)
		if err != nil {
			return
		}
		var plain engineapi.TokenEvent
		if err := json.Unmarshal(line, &plain); err != nil {
			t.Fatalf("accepted %q, which cannot be decoded: %v", line, err)
		}
		if plain.Request != "r" || plain.Attempt != "2" || plain.Position != 2 || plain.Error != "" ||
			CheckTrace(plain.Trace, call.Body.Route, call.Layers) != nil {
			t.Errorf("accepted %q", line)
		}
		if got := delivered[1]; got.ID != plain.Token || got.Text != plain.Text || got.FinishReason != plain.FinishReason {
			t.Errorf("delivered %+v from %q", got, line)
		}
	})
}
