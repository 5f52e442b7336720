package platform

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hyssophoist/hyssophoist/api/platformapi"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/internal/emulator/clock"
	client "github.com/hyssophoist/hyssophoist/internal/platform"
)

// testTimeout bounds the wait for an event. It is long because the machine may be busy.
const testTimeout = 30 * time.Second

func start(t *testing.T, options Options) (*Platform, *client.Client) {
	t.Helper()
	p := New(options)
	server := httptest.NewServer(p)
	t.Cleanup(func() { p.Close(); server.Close() })
	return p, client.NewClient(client.ClientOptions{URL: server.URL})
}

func write(key string, expect uint64, value string) platformapi.Write {
	return platformapi.Write{Table: "t", Key: key, Expect: expect, Value: json.RawMessage(value)}
}

// TestTransactions guards against a transaction that takes effect in part or although a row does not have the expected
// version.
func TestTransactions(t *testing.T) {
	_, c := start(t, Options{})
	ctx := context.Background()
	versions, err := c.Commit(ctx, write("a/1", 0, `1`), write("b/2", 0, `2`))
	if err != nil || !cmp.Equal(versions, []uint64{1, 1}) {
		t.Fatalf("versions %v, error %v", versions, err)
	}
	var conflict *client.ConflictError
	if _, err = c.Commit(ctx, write("c", 0, `3`), write("a/1", 0, `4`)); !errors.As(err, &conflict) {
		t.Fatalf("error %v", err)
	}
	if conflict.Row.Version != 1 || conflict.Row.Key != "a/1" || string(conflict.Row.Value) != "1" {
		t.Errorf("conflict with %+v", conflict.Row)
	}
	if row, err := c.Get(ctx, "t", "c"); err != nil || row != nil {
		t.Errorf("row %v of a refused transaction, error %v", row, err)
	}
	if _, err := c.Commit(ctx, platformapi.Write{Table: "t", Key: "b/2", Expect: 1, Delete: true}); err != nil {
		t.Fatal(err)
	}
	if row, err := c.Get(ctx, "t", "b/2"); err != nil || row != nil {
		t.Errorf("deleted row %v, error %v", row, err)
	}
}

// TestListing guards against listings that are out of order or ignore prefix, after or limit.
func TestListing(t *testing.T) {
	_, c := start(t, Options{})
	ctx := context.Background()
	for _, key := range []string{"p/3", "p/1", "q/1", "o", "p/2"} {
		if _, err := c.Commit(ctx, write(key, 0, `0`)); err != nil {
			t.Fatal(err)
		}
	}
	cases := []struct {
		prefix, after string
		limit         int
		want          []string
	}{
		{"", "", 0, []string{"o", "p/1", "p/2", "p/3", "q/1"}},
		{"p/", "", 10, []string{"p/1", "p/2", "p/3"}},
		{"p/", "p/1", 1, []string{"p/2"}},
		{"p/", "o", 10, []string{"p/1", "p/2", "p/3"}},
		{"p/", "q/1", 10, nil},
	}
	for _, tc := range cases {
		rows, err := c.List(ctx, "t", tc.prefix, tc.after, tc.limit)
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, row := range rows {
			got = append(got, row.Key)
		}
		if diff := cmp.Diff(tc.want, got); diff != "" {
			t.Errorf("%+v (-want +got):\n%s", tc, diff)
		}
	}
}

// TestObjects guards against mishandled slashes in object keys, and against a missing object that is returned as empty.
func TestObjects(t *testing.T) {
	_, c := start(t, Options{})
	ctx := context.Background()
	if err := c.PutObject(ctx, "postings/a/b", []byte("body")); err != nil {
		t.Fatal(err)
	}
	if got, err := c.GetObject(ctx, "postings/a/b"); err != nil || string(got) != "body" {
		t.Errorf("object %q, error %v", got, err)
	}
	if got, err := c.GetObject(ctx, "postings/a"); err != nil || got != nil {
		t.Errorf("object %q, error %v", got, err)
	}
}

// TestWriteFaults guards against a lost response whose write is lost too, and against a write that takes effect
// although it failed or arrived during an outage.
func TestWriteFaults(t *testing.T) {
	cases := map[string]struct {
		faults  Faults
		kind    errkind.Kind
		written bool
	}{
		"response lost":  {Faults{LoseResponses: 1}, errkind.OutcomeUnknown, true},
		"share lost":     {Faults{LoseShare: 1}, errkind.OutcomeUnknown, true},
		"failed write":   {Faults{FailWrites: 1}, errkind.OutcomeUnknown, false},
		"refused":        {Faults{Outage: RefusingOutage}, errkind.PlatformUnavailable, false},
		"dropped":        {Faults{Outage: DroppingOutage}, errkind.OutcomeUnknown, false},
		"writes refused": {Faults{Outage: RefusingOutage, OutageOfWrites: true}, errkind.PlatformUnavailable, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p, c := start(t, Options{})
			p.SetFaults(tc.faults)
			_, err := c.Commit(context.Background(), write("k", 0, `1`))
			if kind := errkind.Of(err); err == nil || kind != tc.kind {
				t.Errorf("error %v of kind %v, not %v", err, kind, tc.kind)
			}
			p.SetFaults(Faults{})
			row, err := c.Get(context.Background(), "t", "k")
			if err != nil || (row != nil) != tc.written {
				t.Errorf("row %v, error %v", row, err)
			}
		})
	}
}

// TestLateWriteTakesEffectAfterClientGaveUp guards against a delayed write that is dropped when its client gives up,
// which would hide the effects of late writes from tests.
func TestLateWriteTakesEffectAfterClientGaveUp(t *testing.T) {
	manual := clock.NewManual(time.Unix(0, 0))
	p, c := start(t, Options{Clock: manual})
	p.SetFaults(Faults{LateWrites: 1, LateMS: 1000})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	callCtx, giveUp := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() {
		_, err := c.Commit(callCtx, write("k", 0, `1`))
		ended <- err
	}()
	if err := manual.WaitSleepers(ctx, 1); err != nil {
		t.Fatal(err)
	}
	giveUp()
	if err := <-ended; errkind.Of(err) != errkind.OutcomeUnknown {
		t.Fatalf("error %v", err)
	}
	if row, err := c.Get(ctx, "t", "k"); err != nil || row != nil {
		t.Fatalf("row %v before the delay, error %v", row, err)
	}
	manual.Advance(time.Second)
	for {
		row, err := c.Get(ctx, "t", "k")
		if err != nil {
			t.Fatal(err)
		}
		if row != nil {
			return
		}
	}
}

// TestHangingOutageEndsWithoutWrite guards against a hanging call that does not end at the client's deadline, or that
// writes after the outage.
func TestHangingOutageEndsWithoutWrite(t *testing.T) {
	p := New(Options{})
	server := httptest.NewServer(p)
	defer server.Close()
	defer p.Close()
	c := client.NewClient(client.ClientOptions{URL: server.URL, Timeout: 100 * time.Millisecond})
	p.SetFaults(Faults{Outage: HangingOutage})
	ended := make(chan error, 1)
	go func() {
		_, err := c.Commit(context.Background(), write("k", 0, `1`))
		ended <- err
	}()
	select {
	case err := <-ended:
		if errkind.Of(err) != errkind.OutcomeUnknown {
			t.Errorf("error %v", err)
		}
	case <-time.After(testTimeout):
		t.Fatal("the call did not end at its own deadline")
	}
	p.SetFaults(Faults{})
	if row, err := c.Get(context.Background(), "t", "k"); err != nil || row != nil {
		t.Errorf("row %v, error %v", row, err)
	}
}

// TestRateLimits guards against rate limits that are not enforced or do not recover with time.
func TestRateLimits(t *testing.T) {
	manual := clock.NewManual(time.Unix(0, 0))
	p := New(Options{Clock: manual, ReadsPerSecond: 8, WritesPerSecond: 4, WeightsPerSecond: 1})
	defer p.Close()
	status := func(method, path, body string) int {
		recorder := httptest.NewRecorder()
		p.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
		if recorder.Code == http.StatusTooManyRequests && recorder.Header().Get("Retry-After") == "" {
			t.Errorf("%s %s: 429 without Retry-After", method, path)
		}
		return recorder.Code
	}
	cases := []struct {
		method, path, body string
		burst              int
	}{
		{"GET", platformapi.InstancesPath, "", 2},
		{"POST", platformapi.TransactionsPath, `{}`, 1},
		{"GET", platformapi.WeightsPath + "/m/1", "", 1},
	}
	for _, tc := range cases {
		for round := range 2 {
			passed := 0
			for range 10 {
				if status(tc.method, tc.path, tc.body) == http.StatusOK {
					passed++
				}
			}
			if passed != tc.burst {
				t.Errorf("round %d: %d calls of %s passed, not %d", round, passed, tc.path, tc.burst)
			}
			manual.Advance(time.Second)
		}
	}
}

// TestInstanceListLags guards against an instance list whose changes are visible at once, which would hide the effects
// of the real list's lag from tests.
func TestInstanceListLags(t *testing.T) {
	manual := clock.NewManual(time.Unix(0, 0))
	first := []platformapi.Instance{{ID: "e1", Kind: "engine", State: "live"}}
	p, c := start(t, Options{Clock: manual, Instances: first, InstanceLag: 5 * time.Second})
	second := []platformapi.Instance{{ID: "e1", Kind: "engine", State: "leaving"}}
	p.SetInstances(second)
	for _, want := range [][]platformapi.Instance{first, second} {
		got, err := c.ListInstances(context.Background())
		if diff := cmp.Diff(want, got); err != nil || diff != "" {
			t.Errorf("error %v (-want +got):\n%s", err, diff)
		}
		manual.Advance(5 * time.Second)
	}
}

// TestFaultsEndpoint guards against a POST that resets faults absent from its body, and against unknown outages that
// are accepted.
func TestFaultsEndpoint(t *testing.T) {
	p := New(Options{})
	defer p.Close()
	set := func(body string) int {
		recorder := httptest.NewRecorder()
		p.ServeHTTP(recorder, httptest.NewRequest("POST", FaultsPath, strings.NewReader(body)))
		return recorder.Code
	}
	if set(`{"delay_ms":5}`) != 200 || set(`{"outage":"drop"}`) != 200 || set(`{"outage":"x"}`) != 400 {
		t.Error("a POST to FaultsPath returned an unexpected status")
	}
	if diff := cmp.Diff(Faults{DelayMS: 5, Outage: DroppingOutage}, p.Faults()); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
