package service

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/core/errkind"
)

// TestRequestIsNeverResent guards against a request that is sent twice because the transport resends it after losing a
// keep-alive connection, which it does for requests with an Idempotency-Key header.
func TestRequestIsNeverResent(t *testing.T) {
	for _, body := range []string{"", "body"} {
		for _, idempotent := range []bool{false, true} {
			var posts atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if r.Method == http.MethodGet {
					return
				}
				posts.Add(1)
				connection, _, err := http.NewResponseController(w).Hijack()
				if err == nil {
					_ = connection.Close()
				}
			}))
			client := NewClient()
			// The first call leaves an idle connection; after losing it, the transport could resend the second call.
			if _, err := client.Do(t.Context(), Call{URL: server.URL, Method: "GET", Idempotent: true}); err != nil {
				t.Fatal(err)
			}
			_, err := client.Do(t.Context(), Call{
				URL: server.URL, Method: "POST", Body: []byte(body), Idempotent: idempotent,
				Header: http.Header{"Idempotency-Key": {"k"}},
			})
			if posts.Load() != 1 || errkind.Of(err) != errkind.TargetFailed || errkind.RunOf(err) != errkind.Unknown {
				t.Errorf("body %q, idempotent %t: sent %d times, error %v, run %s", body, idempotent, posts.Load(), err,
					errkind.RunOf(err))
			}
			server.Close()
		}
	}
}

// TestResponses guards against a wrong run outcome, against forwarding of headers that are not for the service, and
// against a redirect that is followed.
func TestResponses(t *testing.T) {
	var followed atomic.Bool
	var received http.Header
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received = r.Header
		w.Header().Set("X-Kept", "yes")
		switch r.URL.Path {
		case "/redirect":
			http.Redirect(w, r, "/followed", http.StatusTemporaryRedirect)
		case "/followed":
			followed.Store(true)
		case "/refuse":
			w.Header().Set(engineapi.RunHeader, engineapi.RunNotRun)
			w.Header().Set("Retry-After", "3")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/stale":
			w.Header().Set(engineapi.RunHeader, engineapi.RunNotRun)
			w.WriteHeader(http.StatusConflict)
		case "/fail":
			w.WriteHeader(http.StatusInternalServerError)
		}
	}))
	defer server.Close()
	cases := []struct {
		path   string
		status int
		kind   errkind.Kind
	}{
		{"/redirect", http.StatusTemporaryRedirect, ""},
		{"/fail", http.StatusInternalServerError, ""},
		{"/refuse", 0, errkind.TargetRefused},
		{"/stale", 0, errkind.StaleFencingNumber},
	}
	client := NewClient()
	defer client.Close()
	for _, c := range cases {
		response, err := client.Do(t.Context(), Call{URL: server.URL + c.path, Method: "POST", FencingNumber: 4, Header: http.Header{
			"Authorization": {"Bearer key"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-Kept": {"1"}, "Idempotency-Key": {"k"},
		}})
		if c.kind != "" {
			if errkind.Of(err) != c.kind || errkind.RunOf(err) != errkind.NotRun {
				t.Errorf("%s: error %v, run %s", c.path, err, errkind.RunOf(err))
			}
			continue
		}
		if err != nil || response.Status != c.status || response.Header.Get("X-Kept") != "yes" {
			t.Errorf("%s: response %+v, error %v", c.path, response, err)
		}
	}
	if followed.Load() {
		t.Error("redirect was followed")
	}
	if received.Get("Authorization") != "" || received.Get("X-Hop") != "" || received.Get("X-Kept") != "1" ||
		received.Get("Idempotency-Key") != "k" || received.Get(engineapi.FencingHeader) != "4" {
		t.Errorf("the service received %v", received)
	}
}

// TestRunOutcomeOfCallsWithoutResponse guards against a call without a connection that is reported as possibly run, and
// against a canceled call that is reported as not run.
func TestRunOutcomeOfCallsWithoutResponse(t *testing.T) {
	arrived := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server notices a lost connection only after the body
		close(arrived)
		<-r.Context().Done()
	}))
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-arrived; cancel() }()
	_, err := NewClient().Do(ctx, Call{URL: server.URL, Method: "POST"})
	if errkind.Of(err) != errkind.Canceled || errkind.RunOf(err) != errkind.Unknown {
		t.Errorf("canceled call: %v, run %s", err, errkind.RunOf(err))
	}
	server.Close()
	_, err = NewClient().Do(t.Context(), Call{URL: server.URL, Method: "POST"})
	if errkind.Of(err) != errkind.TargetFailed || errkind.RunOf(err) != errkind.NotRun {
		t.Errorf("unreachable service: %v, run %s", err, errkind.RunOf(err))
	}
}
