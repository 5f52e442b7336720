package targethttp

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
)

// get sends a request for a report and returns its status and body.
func get(t *testing.T, transport http.RoundTripper, url string) (status int, body string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Error(err)
	}
	return response.StatusCode, string(content)
}

// countingTransport returns a transport for reports and the number of connections that it opens.
func countingTransport() (*ReportTransport, *atomic.Int32) {
	opened := new(atomic.Int32)
	var dialer net.Dialer
	return NewReportTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
		opened.Add(1)
		return dialer.DialContext(ctx, network, address)
	}, 1<<20), opened
}

// TestConnectionForReports guards against a new connection for each report that differs from the one before, and against one that is
// kept after a report that repeats another or after a response that is no report.
func TestConnectionForReports(t *testing.T) {
	type answer struct {
		status int
		body   string
	}
	for _, test := range []struct {
		name    string
		answers []answer
		want    string
		opened  int32
	}{
		{"reports differ", []answer{{200, "a"}, {200, "b"}, {200, "a"}, {200, "b"}}, "a b a b", 1},
		{"a report repeats", []answer{{200, "a"}, {200, "a"}, {200, "b"}, {200, "c"}}, "a b c", 3},
		{"empty", []answer{{200, ""}, {200, "a"}}, " a", 1},
		{"refused", []answer{{200, "a"}, {503, "a"}, {503, "a"}, {200, "a"}}, "a a a a", 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			var next atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				a := test.answers[next.Add(1)-1]
				w.WriteHeader(a.status)
				_, _ = io.WriteString(w, a.body)
			}))
			defer server.Close()
			transport, opened := countingTransport()
			var got string
			for next.Load() < int32(len(test.answers)) {
				_, body := get(t, transport, server.URL)
				got += " " + body
			}
			if got != " "+test.want || opened.Load() != test.opened {
				t.Errorf("got %q over %d connections, want %q over %d", got, opened.Load(), " "+test.want, test.opened)
			}
		})
	}
}

// TestLateCopyOfReport guards against a late copy of an earlier report that is taken for the present one, also where several requests
// to one target are in progress.
func TestLateCopyOfReport(t *testing.T) {
	engine := edgeplatform.NewTarget("e", "llm", "a", "small", 0)
	defer engine.Close()
	engine.SetFaults(edgeplatform.TargetFaults{LateCopies: 2})
	transport, _ := countingTransport()
	for layers := 1; layers <= 8; layers++ {
		engine.SetLayers(0, layers, layers)
		want := fmt.Sprintf(`"target":%d`, layers)
		var requests sync.WaitGroup
		for range 4 {
			requests.Go(func() {
				if status, body := get(t, transport, "http://"+engine.Address()+"/api/report"); !strings.Contains(body, want) {
					t.Errorf("status %d, report %s, want %s", status, body, want)
				}
			})
		}
		requests.Wait()
	}
}
