package daemon

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/message"
	"github.com/hyssophoist/hyssophoist/internal/callerapi"
	emulator "github.com/hyssophoist/hyssophoist/internal/emulator/engine"
	"github.com/hyssophoist/hyssophoist/internal/engine"
	"github.com/hyssophoist/hyssophoist/internal/invariant"
	"github.com/hyssophoist/hyssophoist/internal/metrics"
	"github.com/hyssophoist/hyssophoist/internal/service"
)

var prompt = []uint32{1, 2, 3}

func engineTarget(id, url string) entity.Target {
	return entity.Target{
		ID: entity.TargetID(id), Kind: entity.EngineTarget, URL: url, Model: "m", Layers: entity.LayerRange{To: 4},
	}
}

// startLoop runs a loop with the given targets and stops it at the end of the test.
func startLoop(t testing.TB, postings PostingRunner, targets ...entity.Target) *Loop {
	t.Helper()
	invariant.FailOnViolation(t)
	m := metrics.New()
	l := NewLoop(LoopOptions{
		Daemon: "d", Engines: engine.NewClient(engine.ClientOptions{}), Services: service.NewClient(),
		Postings: postings, Metrics: m,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { l.Run(ctx) })
	t.Cleanup(func() {
		l.Post(message.StopRequested{})
		<-l.Stopped()
		cancel()
		wg.Wait()
		l.options.Engines.Close()
		l.options.Services.Close()
	})
	l.Post(message.ConfigurationChanged{Configuration: &entity.Configuration{Version: 1, Preset: entity.Preset{
		Objective: entity.RecoveryObjective, Targets: targets,
		Models:   []entity.Model{{ID: "m", Layers: 4, MaxTokens: 10_000}},
		Services: []entity.Service{{ID: "s", TimeoutSeconds: 120}},
		Accounts: []entity.Account{{ID: "a", Weight: 1}},
	}}})
	return l
}

func complete(t testing.TB, l *Loop, maxTokens int) callerapi.Stream {
	t.Helper()
	stream, err := l.Complete(callerapi.Completion{
		Account: "a", Model: "m", Prompt: prompt, MaxTokens: maxTokens, Deadline: time.Now().Add(2 * time.Minute),
	})
	if err != nil {
		t.Fatal(err)
	}
	return stream
}

func readAll(t testing.TB, stream callerapi.Stream) []uint32 {
	t.Helper()
	var ids []uint32
	for {
		tokens, err := stream.Next(context.Background())
		if err == io.EOF {
			return ids
		}
		if err != nil {
			t.Fatalf("after %d tokens: %v", len(ids), err)
		}
		for _, token := range tokens {
			ids = append(ids, token.ID)
		}
	}
}

// Guards against a stream that hangs because its engine stops sending while the connection stays open: the attempt must
// be replaced, and late events of the stalled attempt must not reach the caller.
func TestStalledAttemptIsReplaced(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	emulated := emulator.New(emulator.Options{Target: "x", Model: "m", To: 4})
	defer emulated.Close()
	var posts atomic.Int32
	// The first stream sends a few tokens and then stalls; the emulator serves all later ones completely.
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && posts.Add(1) == 1 {
			emulated.ServeHTTP(&stallingWriter{ResponseWriter: w, writes: 5}, r)
			<-r.Context().Done() // the connection stays open after the last token was dropped
			return
		}
		emulated.ServeHTTP(w, r)
	}))
	defer server.Close()
	t.Run("stream", func(t *testing.T) {
		l := startLoop(t, nil, engineTarget("x", server.URL))
		stream := complete(t, l, 100)
		defer stream.Close()
		got, want := readAll(t, stream), emulator.ExpectedAnswer(prompt, 100)
		if len(got) != len(want) {
			t.Fatalf("got %d tokens, want %d", len(got), len(want))
		}
		for i := range want {
			if got[i] != want[i] {
				t.Fatalf("token %d is %d, want %d", i, got[i], want[i])
			}
		}
	})
	if posts.Load() < 2 {
		t.Error("the stalled attempt was not replaced")
	}
}

// stallingWriter discards all data after the given number of writes.
type stallingWriter struct {
	http.ResponseWriter
	writes int
}

func (w *stallingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *stallingWriter) Write(content []byte) (int, error) {
	if w.writes--; w.writes < 0 {
		return len(content), nil
	}
	return w.ResponseWriter.Write(content)
}

// Guards against attempts that continue at the engine after their caller has disconnected.
func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	arrived, canceled := make(chan struct{}, 4), make(chan string, 4)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodDelete {
			canceled <- r.URL.Path
			return
		}
		_ = http.NewResponseController(w).Flush()
		arrived <- struct{}{}
		<-r.Context().Done()
		canceled <- "connection"
	}))
	t.Cleanup(server.Close)
	l := startLoop(t, nil, engineTarget("x", server.URL))
	stream := complete(t, l, 10)
	receive(t, "the attempt at the engine", arrived)
	stream.Close()
	first, second := receive(t, "the first cancellation", canceled), receive(t, "the second cancellation", canceled)
	if first == second || !strings.Contains(first+second, string(stream.ID())) {
		t.Errorf("the engine got %q and %q, want a closed connection and a cancel request", first, second)
	}
}

// receive returns the next event. The timeout of a minute is long enough to expire only if no event arrives.
func receive[T any](t *testing.T, what string, events <-chan T) T {
	t.Helper()
	select {
	case event := <-events:
		return event
	case <-time.After(time.Minute):
		t.Fatalf("waited a minute for %s", what)
	}
	panic("not reached")
}

// recordingRunner is a PostingRunner that records each call and sends it once.
type recordingRunner struct{ calls []PostingCall }

func (r *recordingRunner) Run(ctx context.Context, call PostingCall) (*service.Response, error) {
	r.calls = append(r.calls, call)
	return call.SendTo(ctx, call.Target, 7)
}

func (*recordingRunner) Outcome(context.Context, entity.AccountID, entity.ServiceID, string) (*service.Response, error) {
	return nil, errkind.New(errkind.NotFound, "no such key")
}

// Guards against sending a call that is not idempotent other than through its runner, and against sending it when there
// is no runner.
func TestPostingsUseRunner(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Header.Get("Hyssophoist-Fencing-Number")+r.URL.Path)
	}))
	t.Cleanup(server.Close)
	target := entity.Target{ID: "t", Kind: entity.ServiceTarget, URL: server.URL, Service: "s", ChecksFencing: true}
	call := callerapi.ServiceCall{
		Account: "a", Service: "s", Method: "POST", Path: "/p", Key: "k", RequestHash: "h",
		Deadline: time.Now().Add(2 * time.Minute),
	}
	runner := &recordingRunner{}
	response, err := startLoop(t, runner, target).Call(t.Context(), call)
	if err != nil || string(response.Body) != "7/p" {
		t.Fatalf("response %+v, error %v", response, err)
	}
	if len(runner.calls) != 1 || runner.calls[0].Key != "k" || runner.calls[0].Target != target || runner.calls[0].RequestHash != "h" {
		t.Errorf("the runner got calls %+v", runner.calls)
	}
	if _, err := startLoop(t, nil, target).Call(t.Context(), call); errkind.Of(err) != errkind.PlatformUnavailable {
		t.Errorf("without a runner the error is %v, want kind PlatformUnavailable", err)
	}
}
