package service

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/internal/emulator/clock"
)

func call(t *testing.T, h http.Handler, method, path, key string, fencing int, body string) *httptest.ResponseRecorder {
	t.Helper()
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		request.Header.Set(KeyHeader, key)
		request.Header.Set(engineapi.FencingHeader, strconv.Itoa(fencing))
	}
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, request)
	return recorder
}

// TestFencing guards against a service that checks fencing numbers and still executes a key twice, and against one that
// does not check them and yet does not execute and record every call.
func TestFencing(t *testing.T) {
	body := `{"account":"a","amount":5}`
	for _, checks := range []bool{true, false} {
		s := New(Options{Target: "s", ChecksFencing: checks})
		first := call(t, s, "POST", "/payments", "k", 2, body)
		again := call(t, s, "POST", "/payments", "k", 3, body)
		stale := call(t, s, "POST", "/payments", "k", 1, body)
		want, wantStale := 3, http.StatusOK
		if checks {
			want, wantStale = 1, http.StatusConflict
			if again.Body.String() != first.Body.String() {
				t.Errorf("repeated key answered %s, not %s", again.Body, first.Body)
			}
		}
		if got := len(s.Executions("k")); got != want || stale.Code != wantStale {
			t.Errorf("checks=%v: %d executions and status %d for the stale number", checks, got, stale.Code)
		}
		wantRun := ""
		if checks {
			wantRun = engineapi.RunNotRun
		}
		if run := stale.Header().Get(engineapi.RunHeader); run != wantRun {
			t.Errorf("checks=%v: the response to a stale number has run outcome %q, want %q", checks, run, wantRun)
		}
	}
}

// TestFaults guards against a fault that executes a posting although it is meant to prevent execution, or the reverse.
func TestFaults(t *testing.T) {
	cases := map[string]struct {
		faults     Faults
		executions int
		status     int
		notRun     bool
	}{
		"none":        {Faults{}, 1, 200, false},
		"refused":     {Faults{Refuse: 1}, 0, 503, true},
		"leaving":     {Faults{Leaving: true}, 0, 503, true},
		"fail before": {Faults{FailBefore: 1}, 0, 500, false},
		"fail after":  {Faults{FailAfter: 1}, 1, 500, false},
		"drop before": {Faults{DropBefore: 1}, 0, 0, false},
		"drop after":  {Faults{DropAfter: 1}, 1, 0, false},
		"drop share":  {Faults{DropShare: 1}, 1, 0, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := New(Options{Target: "s"})
			defer s.Close()
			server := httptest.NewServer(s)
			defer server.Close()
			s.SetFaults(tc.faults)
			request, _ := http.NewRequest("POST", server.URL+"/payments", io.NopCloser(strings.NewReader("x")))
			request.Header.Set(KeyHeader, "k")
			response, err := http.DefaultTransport.RoundTrip(request)
			status, notRun := 0, false
			if err == nil {
				response.Body.Close()
				status, notRun = response.StatusCode, response.Header.Get(engineapi.RunHeader) == engineapi.RunNotRun
			}
			if got := len(s.Executions("k")); got != tc.executions || status != tc.status || notRun != tc.notRun {
				t.Errorf("%d executions, status %d, not run %v; want %+v (error %v)", got, status, notRun, tc, err)
			}
		})
	}
}

// TestClientDisconnects guards against a posting that is dropped when its client disconnects, and against one that is
// executed after the service hung.
func TestClientDisconnects(t *testing.T) {
	for _, hanging := range []bool{false, true} {
		manual := clock.NewManual(time.Unix(0, 0))
		s := New(Options{Target: "s", Latency: time.Second, Clock: manual, LoadLag: time.Millisecond})
		server := httptest.NewServer(s)
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		faults := s.Faults()
		faults.Hanging = hanging
		s.SetFaults(faults)
		callCtx, disconnect := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			request, _ := http.NewRequestWithContext(callCtx, "POST", server.URL+"/p", io.NopCloser(strings.NewReader("x")))
			request.Header.Set(KeyHeader, "k")
			if response, err := http.DefaultTransport.RoundTrip(request); err == nil {
				response.Body.Close()
			}
		}()
		if hanging {
			waitFor(t, ctx, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.load.queued == 1 })
		} else if err := manual.WaitSleepers(ctx, 1); err != nil {
			t.Fatal(err)
		}
		disconnect()
		<-ended
		want := 1
		if hanging {
			want = 0
			s.SetFaults(Faults{})
		}
		manual.Advance(time.Second)
		waitFor(t, ctx, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.load == load{} })
		if got := len(s.Executions("k")); got != want {
			t.Errorf("hanging %v: %d executions, not %d", hanging, got, want)
		}
		s.Close()
		server.Close()
		cancel()
	}
}

// TestQueueAndLoad guards against limits on running and queued calls that are not enforced, and against load reports
// that show the current load without the lag.
func TestQueueAndLoad(t *testing.T) {
	manual := clock.NewManual(time.Unix(0, 0))
	s := New(Options{
		Target: "s", Latency: time.Second, Clock: manual, MaxRunning: 1, MaxQueued: 1,
		LoadLag: 200 * time.Millisecond, LoadInterval: 100 * time.Millisecond,
	})
	defer s.Close()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	done := make(chan int, 2)
	for range 2 {
		go func() { done <- call(t, s, "GET", "/balances/a", "", 0, "").Code }()
	}
	waitFor(t, ctx, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.load == load{queued: 1, running: 1} })
	if third := call(t, s, "GET", "/balances/a", "", 0, ""); third.Code != 503 {
		t.Errorf("status %d above the limits", third.Code)
	}
	report := func() engineapi.LoadReport {
		var report engineapi.LoadReport
		if err := json.Unmarshal(call(t, s, "GET", LoadPath, "", 0, "").Body.Bytes(), &report); err != nil {
			t.Fatal(err)
		}
		return report
	}
	if got := report(); got.Queued != 0 || got.Running != 0 {
		t.Errorf("the report shows the current load without the lag: %+v", got)
	}
	manual.Advance(350 * time.Millisecond)
	want := engineapi.LoadReport{Target: "s", Sequence: 2, AgeMS: 250, Queued: 1, Running: 1}
	if got := report(); got != want {
		t.Errorf("report %+v, want %+v", got, want)
	}
	for range 2 {
		if err := manual.WaitSleepers(ctx, 1); err != nil {
			t.Fatal(err)
		}
		manual.Advance(time.Second)
		if status := <-done; status != 200 {
			t.Errorf("status %d", status)
		}
	}
}

// testTimeout bounds the wait for an event. It is long because the machine may be busy.
const testTimeout = 30 * time.Second

func waitFor(t *testing.T, ctx context.Context, condition func() bool) {
	t.Helper()
	for !condition() {
		if ctx.Err() != nil {
			t.Fatal("the expected state was not reached")
		}
		time.Sleep(time.Millisecond)
	}
}
