package engine

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/internal/emulator/clock"
	"github.com/hyssophoist/hyssophoist/internal/emulator/platform"
)

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

// getJSON decodes the response to GET path into out, or its "events" if out is a *[]engineapi.CacheEvent.
func getJSON(t *testing.T, h http.Handler, path string, out any) {
	t.Helper()
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
	if events, ok := out.(*[]engineapi.CacheEvent); ok {
		var body engineapi.CacheEvents
		out = &body
		defer func() { *events = body.Events }()
	}
	if err := json.Unmarshal(recorder.Body.Bytes(), out); err != nil || recorder.Code != http.StatusOK {
		t.Fatalf("GET %s: status %d, error %v", path, recorder.Code, err)
	}
}

func postOrder(t *testing.T, e *Engine, o engineapi.Order) int {
	t.Helper()
	body, err := json.Marshal(o)
	if err != nil {
		t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	e.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, engineapi.OrdersPath, strings.NewReader(string(body))))
	return recorder.Code
}

func loadReportOf(t *testing.T, e *Engine) (report engineapi.LoadReport) {
	t.Helper()
	getJSON(t, e, engineapi.LoadPath, &report)
	return report
}

// Guards against an engine that accepts stale orders despite ChecksFencing, or refuses them without it.
func TestOrderFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		e, _ := manualEngine(t, Options{ChecksFencing: checks})
		setRole := func(number uint64, role string) int {
			return postOrder(t, e, engineapi.Order{FencingNumber: number, Kind: engineapi.SetRole, Role: role})
		}
		if setRole(5, "new") != 200 || setRole(5, "same") != 200 {
			t.Error("an order with a current fencing number was refused")
		}
		want, wantRole, wantNumber := 200, "late", uint64(0)
		if checks {
			want, wantRole, wantNumber = 409, "same", 5
		}
		got := setRole(4, "late")
		report := loadReportOf(t, e)
		if got != want || report.Role != wantRole || report.FencingNumber != wantNumber {
			t.Errorf("checks=%v: status %d, report %+v", checks, got, report)
		}
	}
}

// Guards against a weight load that takes no time, an engine that accepts streams during a load, and KV that survives a
// change of weights.
func TestLoadFetchesWeightsAndTakesTime(t *testing.T) {
	manual := clock.NewManual(time.Unix(1000, 0))
	p := platform.New(platform.Options{WeightsPerSecond: 1, Clock: manual})
	server := httptest.NewServer(p)
	defer server.Close()
	defer p.Close()
	// This download uses up the rate limit, so that the first download of the engine gets 429.
	first, err := http.Get(server.URL + "/v1/weights/m/1")
	if err != nil {
		t.Fatal(err)
	}
	first.Body.Close()
	e, _ := manualEngine(t, Options{PlatformURL: server.URL, Clock: manual})
	ctx := testContext(t)
	e.mu.Lock()
	entry, _ := e.kv.reserve("r", 10)
	entry.validTokens = 10
	e.mu.Unlock()
	load := engineapi.Order{FencingNumber: 1, Kind: engineapi.LoadVersion, Version: "2"}
	for range 2 {
		if got := postOrder(t, e, load); got != 202 {
			t.Errorf("the order returned status %d", got)
		}
	}
	var total time.Duration
	for loadReportOf(t, e).Version != "2" {
		_, refused := e.openStream(ctx, &engineapi.StreamRequest{
			Request: "r", Attempt: "a", Model: testModel, Prompt: []uint32{1}, MaxTokens: 1,
			Route: []engineapi.Stage{{Target: "e", To: 4}},
		})
		if refused == nil && loadReportOf(t, e).Version != "2" {
			t.Fatal("a stream started during the load")
		}
		waitFor(t, ctx, func() bool {
			return manual.WaitSleepers(canceledContext(), 1) == nil || loadReportOf(t, e).Version == "2"
		})
		total += manual.AdvanceToNext()
		if ctx.Err() != nil {
			t.Fatal("the load did not complete")
		}
	}
	if total != 5*time.Second {
		t.Errorf("the load took %v, want 5 s for one retry and 4 layers of 1 s", total)
	}
	if _, ok := e.exportKV("r"); ok {
		t.Error("KV of the old version was not dropped")
	}
	if postOrder(t, e, load) != 200 {
		t.Error("a repeated order for the current state was not accepted with 200")
	}
}

// Guards against a superseded load that overwrites the state requested by a newer order.
func TestNewerOrderReplacesLoad(t *testing.T) {
	e, manual := manualEngine(t, Options{})
	ctx := testContext(t)
	setLayers := func(from, to int) int {
		return postOrder(t, e, engineapi.Order{Kind: engineapi.SetLayers, From: from, To: to})
	}
	if setLayers(0, 8) != 202 || setLayers(2, 5) != 202 || setLayers(5, 5) != 400 {
		t.Error("an order returned an unexpected status")
	}
	for loadReportOf(t, e).To != 5 {
		waitFor(t, ctx, func() bool { return manual.WaitSleepers(canceledContext(), 1) == nil || loadReportOf(t, e).To == 5 })
		manual.AdvanceToNext()
	}
	e.loaders.Wait()
	if report := loadReportOf(t, e); report.From != 2 || report.To != 5 {
		t.Errorf("report %+v", report)
	}
}
