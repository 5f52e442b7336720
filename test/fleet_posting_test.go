package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/internal/callerapi"
	"github.com/hyssophoist/hyssophoist/internal/emulator/platform"
	"github.com/hyssophoist/hyssophoist/internal/emulator/service"
)

// responseTimeout bounds the wait for a response, since a paused daemon sends none. A later response counts as missing,
// which allows every outcome.
const responseTimeout = 5 * time.Second

// requestDeadline is the deadline of requests. It is short, since an outcome can stay undecided until the deadline has
// passed.
const requestDeadline = 4 * time.Second

// callResult is the response to one request to the caller API. err is set if there was none.
type callResult struct {
	status int
	run    string // callerapi.RunHeader of an error response: whether the request may have run
	code   string // error kind of an error response
	body   string
	err    error
	from   *member // daemon that received the request
}

func (r callResult) ok() bool     { return r.err == nil && r.status/100 == 2 }
func (r callResult) notRun() bool { return r.err == nil && r.run == callerapi.RunNotRun }

func (r callResult) String() string {
	if r.err != nil {
		return r.err.Error()
	}
	return fmt.Sprintf("%d %s %s: %s", r.status, r.code, r.run, r.body)
}

// request sends a request to the caller API of a daemon that may send no response.
func (m *member) request(method, path, key, body string) callResult {
	return m.requestWithin(responseTimeout, requestDeadline, method, path, key, body)
}

// requestWithin sends a request with the given deadline and waits at most timeout for the response.
func (m *member) requestWithin(timeout, deadline time.Duration, method, path, key, body string) callResult {
	r := m.send(timeout, deadline, method, path, key, body)
	r.from = m
	return r
}

func (m *member) send(timeout, deadline time.Duration, method, path, key, body string) callResult {
	ctx, cancel := context.WithTimeout(m.fleet.t.Context(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, m.callerURL()+path, strings.NewReader(body))
	if err != nil {
		return callResult{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set("Hyssophoist-Timeout", fmt.Sprint(deadline.Seconds()))
	if key != "" {
		request.Header.Set(callerapi.IdempotencyKeyHeader, key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return callResult{err: err}
	}
	var refusal callerapi.ErrorBody
	_ = json.Unmarshal(content, &refusal) // bodies other than errors have no error kind
	return callResult{
		status: response.StatusCode, run: response.Header.Get(callerapi.RunHeader), code: string(refusal.Error.Code),
		body: string(content),
	}
}

// postingBody returns the body of the posting of a key. Each key has its own account, whose balance shows how often the
// posting ran.
func postingBody(key string) string { return fmt.Sprintf(`{"account":%q,"amount":1}`, key) }

// post sends the posting of a key.
func (m *member) post(key string) callResult {
	return m.request(http.MethodPost, "/services/ledger/postings", key, postingBody(key))
}

// outcome polls the outcome of a key until it is final, which it is at the latest after the deadline of the last
// attempt.
func (m *member) outcome(key string) (status int, recorded, code string) {
	var last callResult
	waitFor(m.fleet.t, "the outcome of "+key+" at "+m.name, func() bool {
		last = m.request(http.MethodGet, "/v1/outcomes/ledger/"+key, "", "")
		return last.err == nil && last.code != "in_progress" && last.code != "platform_unavailable"
	})
	var outcome callerapi.Outcome
	if last.ok() {
		if err := json.Unmarshal([]byte(last.body), &outcome); err != nil {
			m.fleet.t.Errorf("outcome of %s: %v", key, err)
		}
	}
	return last.status, string(outcome.Body), last.code
}

// history holds the results of all requests for each key.
type history struct {
	mu      sync.Mutex
	results map[string][]callResult
}

func (h *history) add(key string, r callResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.results[key] = append(h.results[key], r)
}

// checkExecutions compares the responses for each key with the executions at the service. It returns the number of keys
// with a successful response and the number of those for which every response said not run.
func (h *history) checkExecutions(f *fleet) (succeeded, refused int) {
	f.t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	executions := f.executions()
	for key, count := range executions {
		if count > 1 {
			f.t.Errorf("%s executed %d times: %v", key, count, h.results[key])
		}
	}
	for key, results := range h.results {
		response, allNotRun := "", true
		for _, r := range results {
			allNotRun = allNotRun && r.notRun()
			switch {
			case r.err != nil:
			case r.ok() && response == "":
				response = r.body
			case r.ok() && r.body != response:
				f.t.Errorf("%s has the responses %q and %q", key, response, r.body)
			case !r.ok() && r.code == "":
				f.t.Errorf("%s got %s, which is neither the response of the service nor an error of the daemon", key, r)
			}
		}
		if response != "" {
			succeeded++
			if executions[key] != 1 {
				f.t.Errorf("%s succeeded with %d executions", key, executions[key])
			}
		}
		if allNotRun {
			refused++
			if executions[key] != 0 {
				f.t.Errorf("%s executed %d times although all responses said not run: %v", key, executions[key],
					results)
			}
		}
	}
	return succeeded, refused
}

// checkOutcomes compares the outcome that each daemon reports for a key with the responses for the key.
func (h *history) checkOutcomes(f *fleet) {
	f.t.Helper()
	executions := f.executions()
	var checks sync.WaitGroup
	for key, results := range h.results {
		checks.Go(func() {
			for _, m := range f.members {
				status, recorded, code := m.outcome(key)
				for _, r := range results {
					if !r.ok() || status == http.StatusOK && recorded == r.body {
						continue
					}
					// A daemon responds to its caller before it stores the outcome. If it was killed in between, the
					// outcome can stay unknown. Otherwise the daemon retries the write until the outcome is stored.
					if code == "outcome_unknown" && f.killed[r.from] {
						continue
					}
					begin := time.Now()
					waitFor(f.t, fmt.Sprintf("the outcome of %s at %s, which is %d %s %q, to be %q as %s responded",
						key, m.name, status, code, recorded, r.body, r.from.name), func() bool {
						status, recorded, code = m.outcome(key)
						return status == http.StatusOK && recorded == r.body
					})
					f.t.Logf("outcome of %s at %s was stored %s later", key, m.name, time.Since(begin))
				}
				if code == "target_refused" && executions[key] != 0 {
					f.t.Errorf("outcome of %s at %s says not run; it executed %d times", key, m.name, executions[key])
				}
			}
		})
	}
	checks.Wait()
}

// TestPostingsRunAtMostOnce guards against a posting that runs twice or whose callers are told different outcomes, when
// responses of the platform and of the service are lost, writes take effect late, and daemons are killed or paused.
func TestPostingsRunAtMostOnce(t *testing.T) {
	for _, fencing := range []bool{false, true} {
		t.Run(fmt.Sprintf("fencing=%t", fencing), func(t *testing.T) {
			t.Parallel()
			f := deployFleetWithFencing(t, nil, threeZones, fencing)
			f.waitVersion(1, "abc")
			h := &history{results: make(map[string][]callResult)}
			f.postUnderFaults(h)
			succeeded, refused := h.checkExecutions(f)
			h.checkOutcomes(f)
			t.Logf("%d keys, %d succeeded, %d never run", len(h.results), succeeded, refused)
			if succeeded == 0 || refused == 0 {
				t.Errorf("%d keys succeeded and %d were refused as not run, want some of both", succeeded, refused)
			}
			f.assertNoViolations()
		})
	}
}

// postUnderFaults posts keys at all daemons while faults are in force. Every fourth key is posted only once, at one
// daemon, so that this single response is compared with the executions.
func (f *fleet) postUnderFaults(h *history) {
	const keys, concurrency, attempts = 80, 8, 6
	setFaults(f.t, f.platform, map[string]any{"lose_share": 0.2})
	setFaults(f.t, f.service, map[string]any{"drop_share": 0.15, "latency_ms": 20})
	var done atomic.Int64
	slots := make(chan struct{}, concurrency)
	var posters sync.WaitGroup
	for i := range keys {
		posters.Go(func() {
			slots <- struct{}{}
			defer func() {
				done.Add(1)
				<-slots
			}()
			key := fmt.Sprintf("key-%d", i)
			if i%4 == 0 {
				h.add(key, f.members[i/4%len(f.members)].post(key))
				return
			}
			var callers sync.WaitGroup
			for _, m := range f.members {
				callers.Go(func() {
					for range attempts {
						r := m.post(key)
						h.add(key, r)
						if r.ok() || r.code == "outcome_unknown" {
							return
						}
					}
				})
			}
			callers.Wait()
		})
	}
	waitDone := func(n int64) {
		waitFor(f.t, fmt.Sprintf("%d keys to be done", n), func() bool { return done.Load() >= n })
	}
	waitDone(10)
	f.byName["b1"].kill()
	setFaults(f.t, f.platform, map[string]any{"late_writes": 10, "late_ms": 2500})
	waitDone(25)
	f.byName["b1"].start()
	setFaults(f.t, f.service, map[string]any{"refuse": 10})
	f.byName["c2"].pause(h)
	f.byName["c2"].proc.signal(syscall.SIGCONT)
	waitDone(40)
	setFaults(f.t, f.platform, map[string]any{"late_writes": 10, "late_ms": 2500})
	f.byName["a1"].kill()
	f.byName["a1"].start()
	posters.Wait()
	setFaults(f.t, f.platform, map[string]any{"lose_share": 0, "late_writes": 0})
	setFaults(f.t, f.service, map[string]any{"drop_share": 0, "refuse": 0})
}

// pause suspends a daemon with SIGSTOP and returns when a posting to it has had no response for longer than its
// deadline.
func (m *member) pause(h *history) {
	m.fleet.t.Helper()
	m.proc.signal(syscall.SIGSTOP)
	posted := 0
	waitFor(m.fleet.t, m.name+" to pause", func() bool {
		// A request that arrives before all threads of the process are suspended may still get a response.
		posted++
		key := fmt.Sprintf("frozen-%s-%d", m.name, posted)
		r := m.post(key)
		h.add(key, r)
		return r.err != nil
	})
}

// TestClaimOfKilledDaemon guards against a key that stays blocked, or runs twice, after the daemon that claimed the key
// and sent its posting was killed.
func TestClaimOfKilledDaemon(t *testing.T) {
	for _, fencing := range []bool{false, true} {
		f := deployFleetWithFencing(t, nil, map[string]int{"a": 1, "b": 1}, fencing)
		f.waitVersion(1, "ab")
		a, b := f.byName["a1"], f.byName["b1"]
		setFaults(t, f.service, map[string]any{"after_ms": 10_000})
		lost := make(chan callResult, 1)
		go func() { lost <- a.post("key") }()
		waitFor(t, "the execution", func() bool { return f.executions()["key"] == 1 })
		a.kill()
		if got := <-lost; got.err == nil {
			t.Errorf("the killed daemon responded with %s", got)
		}
		setFaults(t, f.service, map[string]any{"after_ms": 0})
		var got callResult
		waitFor(t, "a final response of the other daemon", func() bool {
			got = b.post("key")
			return got.code != "in_progress"
		})
		if fencing != got.ok() || !fencing && got.code != "outcome_unknown" {
			t.Errorf("fencing %t: the retry got %s", fencing, got)
		}
		status, recorded, code := b.outcome("key")
		if fencing && recorded != got.body || !fencing && code != "outcome_unknown" {
			t.Errorf("fencing %t: the outcome is %d %s %q after the response %s", fencing, status, code, recorded, got)
		}
		if n := f.executions()["key"]; n != 1 {
			t.Errorf("fencing %t: %d executions", fencing, n)
		}
		assertNoViolations(t, b.deployment())
	}
}

// TestAbandonedClaimIsTakenOver guards against a claim that takes effect only after its daemon has told the caller that
// the posting was not run, and that then blocks the key forever or lets the daemon send the posting nevertheless. The
// other daemon must ask the claiming daemon for the state of the claim.
func TestAbandonedClaimIsTakenOver(t *testing.T) {
	f := deployFleet(t, nil, map[string]int{"a": 1, "b": 1})
	f.waitVersion(1, "ab")
	a, b := f.byName["a1"], f.byName["b1"]
	setFaults(t, f.platform, map[string]any{"late_writes": 1, "late_ms": 1000})
	refused := make(chan callResult, 1)
	go func() { refused <- a.post("key") }()
	waitFor(t, "the claim to reach the platform", func() bool {
		var faults platform.Faults
		getJSON(t, f.platform, platform.FaultsPath, &faults)
		return faults.LateWrites == 0
	})
	a.disconnectPlatform()
	if got := <-refused; !got.notRun() || got.code != "platform_unavailable" {
		t.Errorf("the posting got %s, want platform_unavailable, not run", got)
	}
	// The row is absent until the late write takes effect.
	waitFor(t, "the late claim", func() bool {
		var rows struct {
			Rows []json.RawMessage `json:"rows"`
		}
		getJSON(t, f.platform, "/v1/tables/postings/rows?prefix=tester/&limit=10", &rows)
		return len(rows.Rows) > 0
	})
	if n := f.executions()["key"]; n != 0 {
		t.Errorf("%d executions after the daemon responded that the posting was not run", n)
	}
	if got := b.post("key"); !got.ok() {
		t.Errorf("the posting at the other daemon got %s", got)
	}
	f.heal()
	waitFor(t, "the first daemon to reach the platform", func() bool { return a.post("key").ok() })
	if n := f.executions()["key"]; n != 1 {
		t.Errorf("%d executions, want 1", n)
	}
	f.assertNoViolations()
}

// TestStaleFencingNumberIsNoResponse guards against taking a target's refusal of a late posting with a stale fencing
// number for the response of the service.
func TestStaleFencingNumberIsNoResponse(t *testing.T) {
	f := deployFleetWithFencing(t, nil, map[string]int{"a": 1, "b": 1}, true)
	f.waitVersion(1, "ab")
	a, b := f.byName["a1"], f.byName["b1"]
	setFaults(t, f.service, map[string]any{"latency_ms": 2000})
	late := make(chan callResult, 1)
	go func() { late <- a.post("key") }()
	waitFor(t, "the posting to reach the service", func() bool {
		var report engineapi.LoadReport
		getJSON(t, f.service, service.LoadPath, &report)
		return report.Running == 1
	})
	setFaults(t, f.service, map[string]any{"latency_ms": 0})
	a.inbound.RefuseNew(true)
	a.inbound.Reset()
	first := b.post("key")
	second := <-late
	if !first.ok() || !second.ok() || first.body != second.body {
		t.Errorf("the daemons responded with %s and %s, want the same response", first, second)
	}
	if n := f.executions()["key"]; n != 1 {
		t.Errorf("%d executions, want 1", n)
	}
	f.assertNoViolations()
}

// getJSON requests path from an emulator and decodes the JSON response into out.
func getJSON(t *testing.T, p *process, path string, out any) {
	t.Helper()
	status, body := get(t, "http://"+p.address(0)+path)
	if err := json.NewDecoder(bytes.NewReader([]byte(body))).Decode(out); err != nil || status != http.StatusOK {
		t.Fatalf("%s of %s has status %d: %v", path, p.name, status, err)
	}
}
