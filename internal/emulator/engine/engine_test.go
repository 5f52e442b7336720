package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
)

const testModel = "m"

// startChain starts one engine for each range and returns the engines and their route. options.Target is the prefix of
// their names.
func startChain(t *testing.T, options Options, ranges ...[2]int) ([]*Engine, []engineapi.Stage) {
	t.Helper()
	var engines []*Engine
	var route []engineapi.Stage
	for i, layers := range ranges {
		o := options
		o.Target, o.Model, o.From, o.To = fmt.Sprintf("%se%d", options.Target, i), testModel, layers[0], layers[1]
		o.ModelLayers = ranges[len(ranges)-1][1]
		e := New(o)
		server := httptest.NewServer(e)
		t.Cleanup(func() { e.Close(); server.Close() })
		engines = append(engines, e)
		route = append(route, engineapi.Stage{Target: o.Target, URL: server.URL, From: o.From, To: o.To})
	}
	return engines, route
}

func post(t *testing.T, url string, body any) *http.Response {
	t.Helper()
	content, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post(url, "application/json", bytes.NewReader(content))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	return response
}

// readStream posts request to the first stage and returns all events.
func readStream(t *testing.T, request engineapi.StreamRequest) []engineapi.TokenEvent {
	t.Helper()
	response := post(t, request.Route[0].URL+engineapi.StreamsPath, request)
	if response.StatusCode != http.StatusOK {
		t.Fatalf("status %d", response.StatusCode)
	}
	var events []engineapi.TokenEvent
	decoder := json.NewDecoder(response.Body)
	for decoder.More() {
		var event engineapi.TokenEvent
		if err := decoder.Decode(&event); err != nil {
			t.Fatal(err)
		}
		events = append(events, event)
	}
	return events
}

func tokensOf(events []engineapi.TokenEvent) []uint32 {
	var tokens []uint32
	for _, event := range events {
		tokens = append(tokens, event.Token)
	}
	return tokens
}

// Guards against a chain whose answer differs from ExpectedAnswer, and against gaps in a trace.
func TestChainGivesExpectedAnswer(t *testing.T) {
	_, route := startChain(t, Options{}, [2]int{0, 4}, [2]int{4, 9}, [2]int{9, 12})
	prompt := []uint32{3, 1, 4, 1, 5}
	answer := ExpectedAnswer(prompt, 8)
	for _, delivered := range []int{0, 3} {
		events := readStream(t, engineapi.StreamRequest{
			Request: "r", Attempt: fmt.Sprintf("a%d", delivered), Model: testModel, Prompt: prompt, Tokens: answer[:delivered],
			MaxTokens: 8, Route: route,
		})
		if diff := cmp.Diff(answer[delivered:], tokensOf(events)); diff != "" {
			t.Fatalf("answer from token %d on (-want +got):\n%s", delivered, diff)
		}
		for i, event := range events {
			layer := 0
			for _, entry := range event.Trace {
				if entry.From != layer || entry.StepMicros == 0 {
					t.Errorf("trace entry %+v follows layer %d", entry, layer)
				}
				layer = entry.To
			}
			last := i == len(events)-1
			if layer != 12 || event.Position != delivered+i || (event.FinishReason != "") != last {
				t.Errorf("event %d: %+v", i, event)
			}
		}
	}
}

// Guards against an engine that runs layers it has not loaded, or that reports not-run after work has begun.
func TestInvalidStreamsAreRefused(t *testing.T) {
	_, route := startChain(t, Options{}, [2]int{0, 4}, [2]int{4, 12})
	valid := func() engineapi.StreamRequest {
		return engineapi.StreamRequest{
			Request: "r", Attempt: "a", Model: testModel, Prompt: []uint32{1}, MaxTokens: 2,
			Route: append([]engineapi.Stage{}, route...),
		}
	}
	cases := map[string]func(*engineapi.StreamRequest){
		"layers not held":     func(r *engineapi.StreamRequest) { r.Route[0].To = 5; r.Route[1].From = 5 },
		"gap between stages":  func(r *engineapi.StreamRequest) { r.Route[1].From = 5 },
		"ends too early":      func(r *engineapi.StreamRequest) { r.Route[1].To = 11 },
		"begins after 0":      func(r *engineapi.StreamRequest) { r.Route[0].From = 1 },
		"other target":        func(r *engineapi.StreamRequest) { r.Route[0].Target = "e9" },
		"other model":         func(r *engineapi.StreamRequest) { r.Model = "n" },
		"empty prompt":        func(r *engineapi.StreamRequest) { r.Prompt = nil },
		"nothing to generate": func(r *engineapi.StreamRequest) { r.Tokens = []uint32{1, 2} },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			request := valid()
			change(&request)
			response := post(t, route[0].URL+engineapi.StreamsPath, request)
			if response.StatusCode < 400 || response.Header.Get(engineapi.RunHeader) != engineapi.RunNotRun {
				t.Errorf("status %d, run header %q", response.StatusCode, response.Header.Get(engineapi.RunHeader))
			}
		})
	}
	request := valid()
	request.Route[1].Target = "e9"
	events := readStream(t, request)
	if len(events) != 1 || events[0].Error == "" || events[0].FailedTarget != "e9" {
		t.Errorf("stream whose second stage refuses returned events %+v", events)
	}
}
