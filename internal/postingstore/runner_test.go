package postingstore

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/api/platformapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/posting"
	emulator "github.com/hyssophoist/hyssophoist/internal/emulator/platform"
	ledger "github.com/hyssophoist/hyssophoist/internal/emulator/service"
	"github.com/hyssophoist/hyssophoist/internal/invariant"
	"github.com/hyssophoist/hyssophoist/internal/peer"
	"github.com/hyssophoist/hyssophoist/internal/platform"
	"github.com/hyssophoist/hyssophoist/internal/service"
)

// testTimeout bounds every wait for an event.
const testTimeout = time.Minute

// system is an emulated platform, an emulated service and some daemons.
type system struct {
	t             testing.TB
	platform      *emulator.Platform
	client        *platform.Client
	service       *ledger.Service
	target        entity.Target
	serviceClient *service.Client

	mu          sync.Mutex
	daemons     map[entity.DaemonID]*Runner
	lastAttempt int
}

func newSystem(t testing.TB, fenced bool, options emulator.Options) *system {
	invariant.FailOnViolation(t)
	s := &system{
		t: t, platform: emulator.New(options), serviceClient: service.NewClient(), daemons: map[entity.DaemonID]*Runner{},
		service: ledger.New(ledger.Options{Target: "ledger", ChecksFencing: fenced, MaxQueued: 4096}),
	}
	tables, target := httptest.NewServer(s.platform), httptest.NewServer(s.service)
	s.client = platform.NewClient(platform.ClientOptions{URL: tables.URL})
	s.target = entity.Target{ID: "ledger", URL: target.URL, ChecksFencing: fenced}
	t.Cleanup(func() {
		s.service.Close()
		s.platform.Close()
		target.Close()
		tables.Close()
	})
	return s
}

// Call implements Caller: the address of a daemon is its id.
func (s *system) Call(_ context.Context, address, _ string, args, reply any) error {
	s.mu.Lock()
	runner := s.daemons[entity.DaemonID(address)]
	s.mu.Unlock()
	if runner == nil {
		return errkind.New(errkind.TargetFailed, "daemon %s is not reachable", address)
	}
	reply.(*peer.ClaimStatusReply).State = runner.PeerClaimStatus(args.(*peer.ClaimStatusArgs).Attempt)
	return nil
}

// start starts or restarts a daemon.
func (s *system) start(id entity.DaemonID, change func(*Options)) *Runner {
	options := Options{
		Daemon: id, Incarnation: 1, Table: s.client, Objects: s.client, OutcomeLinger: -1,
		StatusClient: PeerStatusClient{
			Caller: s, Address: func(id entity.DaemonID) (string, bool) { return string(id), true },
		},
	}
	if change != nil {
		change(&options)
	}
	runner := New(options)
	s.mu.Lock()
	s.daemons[id] = runner
	s.mu.Unlock()
	return runner
}

// call returns a call with a new attempt.
func (s *system) call(key, body string) Call {
	s.mu.Lock()
	s.lastAttempt++
	attempt := entity.AttemptID(fmt.Sprintf("a%d", s.lastAttempt))
	s.mu.Unlock()
	return Call{
		Account: "acme", Service: "ledger", Key: key, RequestHash: body, Attempt: attempt, Target: s.target,
		Send: func(ctx context.Context, fencing uint64) (*Response, error) {
			return s.serviceClient.Do(ctx, service.Call{
				URL: s.target.URL + "/postings", Method: http.MethodPost, Body: []byte(body), FencingNumber: fencing,
				Header: http.Header{"Idempotency-Key": {key}},
			})
		},
	}
}

func (s *system) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	s.t.Cleanup(cancel)
	return ctx
}

// mustRun runs calls with a key until one returns a response.
func (s *system) mustRun(runner *Runner, key string) *Response {
	s.t.Helper()
	for begin := time.Now(); time.Since(begin) < testTimeout; time.Sleep(5 * time.Millisecond) {
		if response, err := runner.Run(s.context(), s.call(key, "body")); err == nil {
			return response
		}
	}
	s.t.Fatalf("key %s got no response", key)
	return nil
}

func (s *system) wantKind(err error, kind errkind.Kind, run errkind.RunOutcome) {
	s.t.Helper()
	if err == nil || errkind.Of(err) != kind || errkind.RunOf(err) != run {
		s.t.Fatalf("got %v (%s), want %s, %s", err, errkind.RunOf(err), kind, run)
	}
}

func (s *system) wantRuns(key string, want int) {
	s.t.Helper()
	if got := len(s.service.Executions(key)); got != want {
		s.t.Errorf("key %s ran %d times, want %d", key, got, want)
	}
}

// TestRun guards against a second run of a key at another daemon, and against a key that is reused with another body.
func TestRun(t *testing.T) {
	s := newSystem(t, false, emulator.Options{})
	d1, d2 := s.start("d1", nil), s.start("d2", nil)
	first := s.mustRun(d1, "k")
	if d1.Drain(s.context()) != 0 {
		t.Fatal("the outcome was not stored")
	}
	if second := s.mustRun(d2, "k"); string(second.Body) != string(first.Body) || second.Status != first.Status {
		t.Errorf("got %s, want the stored response %s", second.Body, first.Body)
	}
	stored, err := d2.Outcome(s.context(), "acme", "ledger", "k")
	if err != nil || string(stored.Body) != string(first.Body) {
		t.Errorf("got outcome %v, %v", stored, err)
	}
	_, err = d2.Run(s.context(), s.call("k", "another body"))
	s.wantKind(err, errkind.KeyReused, errkind.NotRun)
	_, err = d2.Outcome(s.context(), "acme", "ledger", "absent")
	s.wantKind(err, errkind.NotFound, errkind.Unknown)
	s.wantRuns("k", 1)
}

// TestRunConcurrently guards against a key that runs twice when several daemons receive it at once.
func TestRunConcurrently(t *testing.T) {
	s := newSystem(t, false, emulator.Options{})
	daemons := []*Runner{s.start("d1", nil), s.start("d2", nil), s.start("d3", nil)}
	var wg sync.WaitGroup
	for i := range 40 {
		for _, d := range daemons {
			wg.Go(func() { s.mustRun(d, fmt.Sprintf("k%d", i)) })
		}
	}
	wg.Wait()
	for i := range 40 {
		s.wantRuns(fmt.Sprintf("k%d", i), 1)
	}
}

// TestLateClaim guards against a claim that takes effect after its daemon reported "not run", and that then blocks the
// key or is sent after all.
func TestLateClaim(t *testing.T) {
	s := newSystem(t, false, emulator.Options{})
	d1 := s.start("d1", func(o *Options) { o.Timeout = 100 * time.Millisecond })
	s.platform.SetFaults(emulator.Faults{LateWrites: 2, LateMS: 400})
	call := s.call("k", "body")
	_, err := d1.Run(s.context(), call)
	s.wantKind(err, errkind.PlatformUnavailable, errkind.NotRun)
	s.wantRuns("k", 0)
	if status := d1.ClaimStatus(call.Attempt); status != posting.AttemptAbandoned {
		t.Fatalf("attempt is %s, want abandoned", status)
	}
	for begin := time.Now(); ; time.Sleep(time.Millisecond) {
		row, err := s.client.Get(s.context(), platform.PostingsTable, "acme/ledger/k")
		if err == nil && row != nil {
			break
		}
		if time.Since(begin) > testTimeout {
			t.Fatal("the late claim did not take effect")
		}
	}
	s.mustRun(s.start("d2", nil), "k")
	s.wantRuns("k", 1)
}

// TestRestartedDaemon guards against a second run after the claiming daemon was restarted under its id. A target that
// checks fencing numbers returns its recorded response; for any other target the outcome is unknown.
func TestRestartedDaemon(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprintf("fenced=%v", fenced), func(t *testing.T) {
			s := newSystem(t, fenced, emulator.Options{})
			d1 := s.start("d1", nil)
			sent := make(chan struct{})
			call := s.call("k", "body")
			send := call.Send
			call.Send = func(ctx context.Context, fencing uint64) (*Response, error) {
				_, _ = send(ctx, fencing) // the daemon crashes before it receives the response
				close(sent)
				select {}
			}
			go d1.Run(context.Background(), call)
			<-sent
			d2 := s.start("d2", nil)
			_, err := d2.Run(s.context(), s.call("k", "body"))
			s.wantKind(err, errkind.InProgress, errkind.Unknown)
			s.start("d1", func(o *Options) { o.Incarnation = 2 })
			response, err := d2.Run(s.context(), s.call("k", "body"))
			if fenced && (err != nil || !strings.Contains(string(response.Body), `"executions":1`)) {
				t.Errorf("got %v, want the recorded response", err)
			}
			if !fenced {
				s.wantKind(err, errkind.OutcomeUnknown, errkind.Unknown)
			}
			s.wantRuns("k", 1)
		})
	}
}

// TestOutcomeOutage guards against an outcome that is lost because the platform fails after the posting was sent,
// and against a caller that has to wait until it is stored.
func TestOutcomeOutage(t *testing.T) {
	s := newSystem(t, false, emulator.Options{})
	d1 := s.start("d1", func(o *Options) { o.MaxPending = 1 })
	call := s.call("k", "body")
	send := call.Send
	call.Send = func(ctx context.Context, fencing uint64) (*Response, error) {
		s.platform.SetFaults(emulator.Faults{Outage: emulator.RefusingOutage})
		return send(ctx, fencing)
	}
	first, err := d1.Run(s.context(), call)
	if err != nil {
		t.Fatal(err)
	}
	again, err := d1.Run(s.context(), s.call("k", "body"))
	if err != nil || string(again.Body) != string(first.Body) {
		t.Errorf("got %v, want the response that is not yet stored", err)
	}
	_, err = d1.Run(s.context(), s.call("other", "body"))
	s.wantKind(err, errkind.Overloaded, errkind.NotRun)
	short, cancel := context.WithTimeout(s.context(), 20*time.Millisecond)
	defer cancel()
	if left := d1.Drain(short); left != 1 {
		t.Errorf("%d outcomes are left during the outage, want 1", left)
	}
	s.platform.SetFaults(emulator.Faults{})
	if left := d1.Drain(s.context()); left != 0 {
		t.Errorf("%d outcomes are left after the outage, want 0", left)
	}
	if stored := s.mustRun(s.start("d2", nil), "k"); string(stored.Body) != string(first.Body) {
		t.Errorf("got %s, want %s", stored.Body, first.Body)
	}
	s.wantRuns("k", 1)
}

// TestLostResponses guards against repeated or lost postings when half of the platform's write responses are lost.
func TestLostResponses(t *testing.T) {
	s := newSystem(t, false, emulator.Options{Seed: 3})
	s.platform.SetFaults(emulator.Faults{LoseShare: 0.5})
	d1 := s.start("d1", nil)
	for i := range 30 {
		s.mustRun(d1, fmt.Sprintf("k%d", i))
	}
	if left := d1.Drain(s.context()); left != 0 {
		t.Errorf("%d outcomes are left", left)
	}
	d2 := s.start("d2", nil)
	for i := range 30 {
		key := fmt.Sprintf("k%d", i)
		if _, err := d2.Outcome(s.context(), "acme", "ledger", key); err != nil {
			t.Error(err)
		}
		s.wantRuns(key, 1)
	}
}

// TestPlatformOutage guards against postings that run without a claim, and against callers that all wait for the
// platform's timeout.
func TestPlatformOutage(t *testing.T) {
	s := newSystem(t, false, emulator.Options{})
	s.platform.SetFaults(emulator.Faults{Outage: emulator.RefusingOutage})
	d1 := s.start("d1", func(o *Options) { o.Now = func() time.Time { return time.Unix(1000, 0) } })
	for range 10 {
		_, err := d1.Run(s.context(), s.call("k", "body"))
		s.wantKind(err, errkind.PlatformUnavailable, errkind.NotRun)
	}
	if tried := transactions(d1); tried != breakerThreshold*maxTries {
		t.Errorf("%d transactions were tried for 10 claims, want %d tries of %d claims before the circuit breaker opens",
			tried, maxTries, breakerThreshold)
	}
	s.wantRuns("k", 0)
}

// signalingTable records that a transaction has ended.
type signalingTable struct {
	platform.TableStore
	committed *atomic.Bool
}

func (c signalingTable) Commit(ctx context.Context, writes ...platformapi.Write) ([]uint64, error) {
	defer c.committed.Store(true)
	return c.TableStore.Commit(ctx, writes...)
}

// TestCanceledBeforeSend guards against a posting that is sent although its caller canceled it after the claim was
// written.
func TestCanceledBeforeSend(t *testing.T) {
	s := newSystem(t, false, emulator.Options{})
	ctx, cancel := context.WithCancel(s.context())
	var committed atomic.Bool
	d1 := s.start("d1", func(o *Options) {
		o.Table = signalingTable{s.client, &committed}
		// The runner calls Now between the claim and the send.
		o.Now = func() time.Time {
			if committed.Load() {
				cancel()
			}
			return time.Now()
		}
	})
	call := s.call("k", "body")
	call.Send = func(context.Context, uint64) (*Response, error) {
		t.Error("the posting was sent")
		return nil, errkind.New(errkind.TargetFailed, "sent")
	}
	_, err := d1.Run(ctx, call)
	s.wantKind(err, errkind.Canceled, errkind.NotRun)
	d1.Drain(s.context())
	s.mustRun(s.start("d2", nil), "k")
	s.wantRuns("k", 1)
}

// TestRefusedByTarget guards against a key that stays blocked after the target refused it without running it.
func TestRefusedByTarget(t *testing.T) {
	s := newSystem(t, false, emulator.Options{})
	s.service.SetFaults(ledger.Faults{Refuse: 1})
	d1 := s.start("d1", nil)
	_, err := d1.Run(s.context(), s.call("k", "body"))
	s.wantKind(err, errkind.TargetRefused, errkind.NotRun)
	d1.Drain(s.context())
	_, err = d1.Outcome(s.context(), "acme", "ledger", "k")
	s.wantKind(err, errkind.TargetRefused, errkind.NotRun)
	s.mustRun(d1, "k")
	s.wantRuns("k", 1)
}

// TestLargeOutcome guards against a response that is lost or stored in the row although it is too large for it.
func TestLargeOutcome(t *testing.T) {
	s := newSystem(t, false, emulator.Options{})
	d1 := s.start("d1", nil)
	call := s.call("k", "body")
	large := strings.Repeat("x", maxInlineBytes)
	call.Send = func(context.Context, uint64) (*Response, error) {
		return &Response{Status: http.StatusOK, Body: []byte(large)}, nil
	}
	if _, err := d1.Run(s.context(), call); err != nil {
		t.Fatal(err)
	}
	d1.Drain(s.context())
	row, err := s.client.Get(s.context(), platform.PostingsTable, "acme/ledger/k")
	if err != nil || len(row.Value) > 1000 {
		t.Fatalf("the row has %d bytes, %v", len(row.Value), err)
	}
	if response := s.mustRun(s.start("d2", nil), "k"); string(response.Body) != large {
		t.Errorf("got %d bytes, want %d", len(response.Body), len(large))
	}
}

// TestCleanup guards against outcomes that are kept forever or deleted too early, and against a cleanup that several
// daemons run at the same time, which multiplies its load on the platform.
func TestCleanup(t *testing.T) {
	s := newSystem(t, false, emulator.Options{})
	now := time.Now()
	clock := func(o *Options) { o.Now = func() time.Time { return now } }
	d1, d2 := s.start("d1", clock), s.start("d2", clock)
	for i := range 120 {
		s.mustRun(d1, fmt.Sprintf("k%03d", i))
	}
	d1.Drain(s.context())
	count := func() int {
		rows, err := s.client.List(s.context(), platform.PostingsTable, "acme/", "", 1000)
		if err != nil {
			t.Fatal(err)
		}
		return len(rows)
	}
	page := func(d *Runner) bool {
		worked, err := d.CleanUpPage(s.context())
		if err != nil {
			t.Fatal(err)
		}
		return worked
	}
	if !page(d1) || count() != 120 {
		t.Fatalf("%d rows are left before their retention, want 120", count())
	}
	now = now.Add(DefaultRetention + time.Second)
	if !page(d1) || page(d2) {
		t.Fatal("want one page for both daemons until the next is due")
	}
	for range 2 {
		now = now.Add(cleanupPageInterval)
		page(d2)
	}
	if left := count(); left != 0 {
		t.Errorf("%d rows are left after their retention", left)
	}
}

// statusClientFunc implements StatusClient.
type statusClientFunc func(context.Context, entity.DaemonID, entity.AttemptID) (posting.AttemptStatus, error)

func (f statusClientFunc) ClaimStatus(ctx context.Context, d entity.DaemonID,
	a entity.AttemptID) (posting.AttemptStatus, error) {
	return f(ctx, d, a)
}

// TestOutcomeStoredDuringLookup guards against an outcome that is reported as unknown because the claiming daemon
// stored it after the row was read and before that daemon was asked for the status.
func TestOutcomeStoredDuringLookup(t *testing.T) {
	s := newSystem(t, false, emulator.Options{})
	d1 := s.start("d1", func(o *Options) { o.OutcomeLinger = time.Hour })
	d2 := s.start("d2", func(o *Options) {
		peers := o.StatusClient
		o.StatusClient = statusClientFunc(func(ctx context.Context, d entity.DaemonID,
			a entity.AttemptID) (posting.AttemptStatus, error) {
			d1.Drain(s.context())
			return peers.ClaimStatus(ctx, d, a)
		})
	})
	first := s.mustRun(d1, "k")
	stored, err := d2.Outcome(s.context(), "acme", "ledger", "k")
	if err != nil || string(stored.Body) != string(first.Body) {
		t.Errorf("outcome is %v (error %v), want the response %s", stored, err, first.Body)
	}
}
