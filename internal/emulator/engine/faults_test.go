package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
)

func newRequest(attempt string, prompt []uint32, maxTokens int, route []engineapi.Stage) engineapi.StreamRequest {
	return engineapi.StreamRequest{
		Request: "r", Attempt: attempt, Model: testModel, Prompt: prompt, MaxTokens: maxTokens, Route: route,
	}
}

// eventReader reads the events of a stream one at a time.
type eventReader struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
}

func openEventReader(t *testing.T, r engineapi.StreamRequest) *eventReader {
	t.Helper()
	response := post(t, r.Route[0].URL+engineapi.StreamsPath, r)
	if response.StatusCode != http.StatusOK {
		t.Fatalf("status %d", response.StatusCode)
	}
	return &eventReader{response.Body, bufio.NewScanner(response.Body)}
}

// next returns the next event, or false at the end of the stream.
func (r *eventReader) next(t *testing.T) (event engineapi.TokenEvent, ok bool) {
	t.Helper()
	if !r.scanner.Scan() {
		return event, false
	}
	if err := json.Unmarshal(r.scanner.Bytes(), &event); err != nil {
		t.Fatal(err)
	}
	return event, true
}

// longAnswer is a number of tokens that no answer reaches during a test.
const longAnswer = 100_000

var testPrompt = []uint32{2, 7, 1, 8}

// Guards against a stage failure that is not reported, that names another target, or that persists after the fault is
// cleared.
func TestStageFailureNamesTarget(t *testing.T) {
	engines, route := startChain(t, Options{}, [2]int{0, 2}, [2]int{2, 4}, [2]int{4, 6})
	cases := []struct {
		name         string
		faults       Faults
		stage        int
		failedTarget string
	}{
		{"step of the last stage", Faults{FailSteps: 1}, 2, "e2"},
		{"step of the first stage", Faults{FailSteps: 1}, 0, "e0"},
		{"crash of the middle stage", Faults{CrashAfterSteps: 3}, 1, "e1"},
		{"middle stage is down", Faults{Crashed: true}, 1, "e1"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			engines[tc.stage].SetFaults(tc.faults)
			events := readStream(t, newRequest(tc.name, testPrompt, longAnswer, route))
			last := events[len(events)-1]
			if last.Error == "" || last.FailedTarget != tc.failedTarget || last.FinishReason != "" {
				t.Errorf("last event %+v is not an error that names the failed target", last)
			}
			engines[tc.stage].SetFaults(Faults{})
			events = readStream(t, newRequest(tc.name+" again", testPrompt, 3, route))
			if diff := cmp.Diff(ExpectedAnswer(testPrompt, 3), tokensOf(events)); diff != "" {
				t.Errorf("answer after the fault was cleared (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a crash of the first stage that looks like the normal end of a stream.
func TestFirstStageCrashBreaksConnection(t *testing.T) {
	engines, route := startChain(t, Options{}, [2]int{0, 2})
	stream := openEventReader(t, newRequest("a", testPrompt, longAnswer, route))
	if _, ok := stream.next(t); !ok {
		t.Fatal("no event")
	}
	engines[0].SetFaults(Faults{Crashed: true})
	for {
		event, ok := stream.next(t)
		if !ok {
			break
		}
		if event.Error != "" || event.FinishReason != "" {
			t.Errorf("event %+v", event)
		}
	}
	if stream.scanner.Err() == nil {
		t.Error("stream ended without a connection error")
	}
	if response, err := http.Get(route[0].URL + engineapi.LoadPath); err == nil {
		response.Body.Close()
		t.Error("a crashed engine responded")
	}
}

// Guards against a canceled stream that keeps running, and against a leaving engine that ends running streams or
// accepts new ones.
func TestCancelAndLeaving(t *testing.T) {
	engines, route := startChain(t, Options{}, [2]int{0, 2}, [2]int{2, 4})
	stream := openEventReader(t, newRequest("a/1", testPrompt, longAnswer, route))
	if _, ok := stream.next(t); !ok {
		t.Fatal("no event")
	}
	engines[0].SetFaults(Faults{Leaving: true})
	refused := post(t, route[0].URL+engineapi.StreamsPath, newRequest("b", testPrompt, 1, route))
	if refused.StatusCode != 503 || refused.Header.Get(engineapi.RunHeader) != engineapi.RunNotRun {
		t.Errorf("status %d while leaving", refused.StatusCode)
	}
	if _, ok := stream.next(t); !ok {
		t.Error("a leaving engine ended a running stream")
	}
	for _, want := range []int{204, 404} {
		cancel, _ := http.NewRequest(http.MethodDelete, route[0].URL+engineapi.StreamsPath+"/r/a%2F1", nil)
		response, err := http.DefaultClient.Do(cancel)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != want {
			t.Errorf("cancel returned status %d, want %d", response.StatusCode, want)
		}
		for _, ok := stream.next(t); ok; _, ok = stream.next(t) {
		}
		ctx := testContext(t)
		waitFor(t, ctx, func() bool { e := engines[0]; e.mu.Lock(); defer e.mu.Unlock(); return len(e.streams) == 0 })
	}
	ctx := testContext(t)
	for _, e := range engines {
		waitFor(t, ctx, func() bool { return e.unfinishedJobs() == 0 })
	}
}

// Guards against a temporary hang that ends the stream or loses tokens.
func TestHangingStageResumes(t *testing.T) {
	engines, route := startChain(t, Options{}, [2]int{0, 2}, [2]int{2, 4})
	engines[1].SetFaults(Faults{Hanging: true})
	stream := openEventReader(t, newRequest("a", testPrompt, 5, route))
	ctx, cancel := context.WithTimeout(testContext(t), 50*time.Millisecond)
	defer cancel()
	load, _ := http.NewRequestWithContext(ctx, http.MethodGet, route[1].URL+engineapi.LoadPath, nil)
	if response, err := http.DefaultClient.Do(load); err == nil {
		response.Body.Close()
		t.Error("a hanging engine responded")
	}
	engines[1].SetFaults(Faults{})
	var got []uint32
	for event, ok := stream.next(t); ok; event, ok = stream.next(t) {
		got = append(got, event.Token)
	}
	if diff := cmp.Diff(ExpectedAnswer(testPrompt, 5), got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// Guards against KV that a later attempt of the same request cannot reuse, and against imported KV that does not reduce
// the prefill.
func TestResumeAndImportKV(t *testing.T) {
	options := Options{Accelerator: Accelerators[0]}
	oldEngines, oldRoute := startChain(t, options, [2]int{0, 2}, [2]int{2, 6})
	options.Target = "new-"
	newEngines, newRoute := startChain(t, options, [2]int{0, 3}, [2]int{3, 6})
	prompt := make([]uint32, 200)
	for i := range prompt {
		prompt[i] = uint32(i)
	}
	tokensProcessed := func(engines []*Engine) (counts []uint64) {
		for _, e := range engines {
			e.mu.Lock()
			counts = append(counts, e.tokensProcessed)
			e.mu.Unlock()
		}
		return counts
	}
	answer := ExpectedAnswer(prompt, 6)
	run := func(attempt string, delivered int, route []engineapi.Stage, source string) {
		t.Helper()
		r := newRequest(attempt, prompt, 6, route)
		r.Tokens, r.ImportKVFrom = answer[:delivered], source
		if diff := cmp.Diff(answer[delivered:], tokensOf(readStream(t, r))); diff != "" {
			t.Errorf("%s (-want +got):\n%s", attempt, diff)
		}
	}
	run("first", 0, oldRoute, "")
	if got := tokensProcessed(oldEngines); !slices.Equal(got, []uint64{205, 205}) {
		t.Errorf("the first attempt computed %d tokens", got)
	}
	run("resumed", 4, oldRoute, "")
	if got := tokensProcessed(oldEngines); !slices.Equal(got, []uint64{207, 207}) {
		t.Errorf("%d tokens computed after the resumed attempt", got)
	}
	run("moved", 4, newRoute, oldRoute[0].URL)
	if got := tokensProcessed(newEngines); !slices.Equal(got, []uint64{2, 2}) {
		t.Errorf("the attempt with imported KV computed %d tokens", got)
	}
	oldEngines[1].SetFaults(Faults{Crashed: true})
	for _, e := range newEngines {
		e.SetFaults(Faults{Crashed: true})
		e.SetFaults(Faults{})
	}
	run("source lost a stage", 4, newRoute, oldRoute[0].URL)
	if got := tokensProcessed(newEngines); !slices.Equal(got, []uint64{206 + 1, 206 + 1}) {
		t.Errorf("%d tokens computed after an import without the KV of one stage", got)
	}
}

// Guards against a prefix cache that later requests do not use, or whose events are missing.
func TestPrefixCacheReducesPrefill(t *testing.T) {
	engines, route := startChain(t, Options{Accelerator: Accelerators[0]}, [2]int{0, 2}, [2]int{2, 4})
	prompt := make([]uint32, 100)
	for i, requestID := range []string{"r1", "r2"} {
		r := newRequest("a", prompt, 1, route)
		r.Request = requestID
		readStream(t, r)
		for _, e := range engines {
			e.mu.Lock()
			got := e.tokensProcessed
			e.mu.Unlock()
			// For the second request, 6 blocks of 16 tokens are in the cache.
			if want := uint64(100 + 4*i); got != want {
				t.Errorf("%s: %d tokens computed, want %d", requestID, got, want)
			}
		}
	}
	var events []engineapi.CacheEvent
	getJSON(t, engines[0], engineapi.CacheEventsPath, &events)
	if len(events) != 1 || len(events[0].Added) != 6 || !slices.Contains(events[0].Added, engineapi.PrefixHashes(prompt)[5]) {
		t.Errorf("events %+v", events)
	}
}

// Guards against corruptions that a check of the trace or of the request, attempt and position cannot detect.
func TestCorruptionsAreDetectable(t *testing.T) {
	engines, route := startChain(t, Options{}, [2]int{0, 2}, [2]int{2, 4})
	for _, corruption := range []Corruption{
		SkippedLayer, RepeatedStage, OtherRequest, OtherAttempt, OtherPosition, RepeatedEvent,
	} {
		engines[0].SetFaults(Faults{Corruption: corruption, CorruptEvents: 1})
		events := readStream(t, newRequest(string(corruption), testPrompt, 2, route))
		wrongEvents := 0
		for i, event := range events {
			layer, contiguous := 0, true
			for _, entry := range event.Trace {
				contiguous = contiguous && entry.From == layer
				layer = entry.To
			}
			if event.Request != "r" || event.Attempt != string(corruption) || event.Position != i || !contiguous || layer != 4 {
				wrongEvents++
			}
		}
		// The stage after a skipped layer refuses the step, so the stream has an error event instead of a wrong trace.
		if wrongEvents == 0 {
			t.Errorf("%s: no corrupted event in %+v", corruption, events)
		}
	}
}

// Guards against missing limits on streams and KV, and against a POST to FaultsPath that resets faults it does not set.
func TestLimitsAndFaultsEndpoint(t *testing.T) {
	accelerator := Accelerators[0]
	accelerator.KVTokens = 50
	engines, route := startChain(t, Options{Accelerator: accelerator, MaxStreams: 1}, [2]int{0, 2})
	status := func(maxTokens int) int {
		return post(t, route[0].URL+engineapi.StreamsPath, newRequest("x", testPrompt, maxTokens, route)).StatusCode
	}
	if got := status(longAnswer); got != 503 {
		t.Errorf("status %d for a stream that exceeds the KV memory", got)
	}
	postFaults := func(body string) int {
		response, err := http.Post(route[0].URL+FaultsPath, "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		return response.StatusCode
	}
	if postFaults(`{"hanging":true,"links":{"e9":{"latency_us":5}}}`) != 200 || postFaults(`{"speed":2}`) != 200 ||
		postFaults(`{"speed":0}`) != 400 {
		t.Error("a POST to FaultsPath returned an unexpected status")
	}
	want := Faults{Speed: 2, Hanging: true, Links: map[string]Link{"e9": {LatencyMicros: 5}}}
	if diff := cmp.Diff(want, engines[0].Faults()); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	engines[0].SetFaults(Faults{Speed: 1e-6})
	stream := openEventReader(t, newRequest("first", testPrompt, 1, route))
	defer stream.body.Close()
	if got := status(1); got != 429 {
		t.Errorf("status %d for a stream above MaxStreams", got)
	}
}
