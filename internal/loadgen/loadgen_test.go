package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/callerapi"
)

// fakeAPI answers completion requests in turn: complete, wrong text, refused, truncated, and ended by an error event.
func fakeAPI(t *testing.T) *httptest.Server {
	var count atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		event := func(text, finish string) {
			fmt.Fprintf(w, "data: {\"choices\":[{\"text\":%q,\"finish_reason\":%q}]}\n\n", text, finish)
		}
		switch count.Add(1) % 5 {
		case 0:
			event("right", "length")
			fmt.Fprint(w, "data: [DONE]\n\n")
		case 1:
			event("other", "length")
			fmt.Fprint(w, "data: [DONE]\n\n")
		case 2:
			w.Header().Set(callerapi.RunHeader, "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprint(w, `{"error":{"code":"overloaded"}}`)
		case 3:
			event("righ", "")
		case 4:
			event("r", "")
			fmt.Fprint(w, `data: {"error":{"code":"target_failed","run":"unknown"}}`+"\n\n")
		}
	}))
	t.Cleanup(server.Close)
	return server
}

func testOptions(url string) Options {
	options := DefaultOptions()
	options.URLs = []string{url}
	options.Model = "m"
	options.Rate = 0
	options.Concurrency = 2
	options.Duration = 50 * time.Millisecond
	options.Expected = func(string, int) string { return "right" }
	return options
}

// TestReportSeparatesOutcomes guards against truncated, refused or failed requests that are counted as whole, and
// against wrong text that is not counted as wrong.
func TestReportSeparatesOutcomes(t *testing.T) {
	report, err := Run(context.Background(), testOptions(fakeAPI(t).URL))
	if err != nil {
		t.Fatal(err)
	}
	if report.Requests < 5 {
		t.Fatalf("only %d requests were sent", report.Requests)
	}
	kinds := make(map[string]int)
	for _, refusal := range report.Refusals {
		kinds[refusal.Kind+"/"+refusal.Run] = refusal.Count
	}
	for _, want := range []string{"overloaded/not-run", "truncated/unknown", "target_failed/unknown"} {
		if kinds[want] == 0 {
			t.Errorf("no request was counted as %s: %v", want, kinds)
		}
	}
	if report.Wrong == 0 || report.Wrong >= report.Whole && report.Whole > report.Requests/2 {
		t.Errorf("whole %d, wrong %d", report.Whole, report.Wrong)
	}
	total := report.Whole
	for _, count := range kinds {
		total += count
	}
	if total != report.Requests {
		t.Errorf("the outcomes add up to %d, want %d requests", total, report.Requests)
	}
}

// TestExperimentRunsActionsAndPhases guards against phases whose actions are not run, and against unknown fields that
// are silently accepted.
func TestExperimentRunsActionsAndPhases(t *testing.T) {
	var actionReceived atomic.Bool
	control := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		actionReceived.Store(r.Header.Get("X-Token") == "t")
	}))
	defer control.Close()
	path := filepath.Join(t.TempDir(), "experiment.json")
	content := `{"name": "n", "phases": [ // two phases
		{"name": "before", "seconds": 0.02, "concurrency": 1},
		{"name": "after", "seconds": 0.02, "concurrency": 1,
		 "actions": [{"method": "POST", "url": "` + control.URL + `", "header": {"X-Token": "t"}, "body": {"hang": true}}]},
	]}`
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	experiment, err := LoadExperiment(path)
	if err != nil {
		t.Fatal(err)
	}
	reports, err := RunExperiment(context.Background(), experiment, testOptions(fakeAPI(t).URL))
	if err != nil || len(reports) != 2 || !actionReceived.Load() {
		t.Fatalf("%d reports, action received %v, error %v", len(reports), actionReceived.Load(), err)
	}
	var text strings.Builder
	if err := WriteExperimentJSON(&text, reports); err != nil || !json.Valid([]byte(text.String())) {
		t.Errorf("report is not valid JSON: %v", err)
	}
	if err := os.WriteFile(path, []byte(`{"phase": []}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := LoadExperiment(path); err == nil {
		t.Error("an unknown field was accepted")
	}
}

func TestInvalidOptionsRejected(t *testing.T) {
	for name, change := range map[string]func(*Options){
		"no load":             func(o *Options) { o.Rate, o.Concurrency = 0, 0 },
		"no model":            func(o *Options) { o.Model = "" },
		"no service":          func(o *Options) { o.ServiceShare = 0.5 },
		"weights differ":      func(o *Options) { o.Weights = []float64{1, 2} },
		"no key":              func(o *Options) { o.Keys = nil },
		"duration not set":    func(o *Options) { o.Duration = 0 },
		"no address to drive": func(o *Options) { o.URLs = nil },
	} {
		options := testOptions("http://127.0.0.1:1")
		change(&options)
		if _, err := Run(context.Background(), options); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
