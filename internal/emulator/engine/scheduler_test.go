package engine

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hyssophoist/hyssophoist/internal/emulator/clock"
)

// testTimeout bounds the wait for an event. It is long because the machine may be busy.
const testTimeout = 30 * time.Second

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func waitFor(t *testing.T, ctx context.Context, condition func() bool) {
	t.Helper()
	for !condition() {
		if ctx.Err() != nil {
			t.Fatal("timed out waiting for a condition")
		}
		time.Sleep(time.Millisecond)
	}
}

// manualEngine returns an engine with 4 layers, round step times and a manual clock.
func manualEngine(t *testing.T, options Options) (*Engine, *clock.Manual) {
	t.Helper()
	manual, ok := options.Clock.(*clock.Manual)
	if !ok {
		manual = clock.NewManual(time.Unix(1000, 0))
	}
	options.Target, options.Model, options.To, options.Clock = "e", testModel, 4, manual
	options.Accelerator = Accelerator{
		Name: "test", LayerStep: time.Millisecond, LayerPerSequence: 100 * time.Microsecond,
		LayerPerToken: 10 * time.Microsecond, LayerLoad: time.Second, MaxBatch: 2, KVTokens: 2000, PrefixBlocks: 8,
	}
	e := New(options)
	t.Cleanup(e.Close)
	return e, manual
}

type finishedJob struct {
	name    string
	elapsed time.Duration
}

// runJobs queues the jobs in order while the engine hangs, and returns them in the order of completion.
func runJobs(t *testing.T, e *Engine, manual *clock.Manual, jobs []testJob) []finishedJob {
	t.Helper()
	ctx := testContext(t)
	e.SetFaults(Faults{Hanging: true})
	results := make(chan string)
	for i, j := range jobs {
		go func() {
			if err := e.runJob(ctx, j.priority, 4, j.tokens); err != nil {
				t.Error(err)
			}
			results <- j.name
		}()
		waitFor(t, ctx, func() bool { e.mu.Lock(); defer e.mu.Unlock(); return e.queue.Len() == i+1 })
	}
	start := manual.Now()
	e.SetFaults(Faults{})
	var finished []finishedJob
	for len(finished) < len(jobs) {
		if err := manual.WaitSleepers(ctx, 1); err != nil {
			t.Fatal(err)
		}
		before := len(jobs) - e.unfinishedJobs()
		manual.AdvanceToNext()
		// Each sleep is one step. After it, the engine sleeps again or has no unfinished job.
		waitFor(t, ctx, func() bool { return manual.WaitSleepers(canceledContext(), 1) == nil || e.unfinishedJobs() == 0 })
		for range len(jobs) - e.unfinishedJobs() - before {
			finished = append(finished, finishedJob{<-results, manual.Now().Sub(start)})
		}
	}
	return finished
}

type testJob struct {
	name             string
	priority, tokens int
}

// unfinishedJobs returns the number of jobs that are queued or in the current batch.
func (e *Engine) unfinishedJobs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.queue.Len() + e.runningJobs
}

// canceledContext returns a canceled context, with which a wait checks its condition once without blocking.
func canceledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// Guards against a batch above MaxBatch, a wrong order of jobs, and step times that omit the cost of additional
// sequences or prefill.
func TestBatchOrderAndStepTime(t *testing.T) {
	cases := map[string]struct {
		jobs []testJob
		want []finishedJob
	}{
		"one": {[]testJob{{"a", 0, 1}}, []finishedJob{{"a", 4 * time.Millisecond}}},
		"priority first": {
			[]testJob{{"low", -1, 1}, {"normal", 0, 1}, {"high", 1, 1}},
			[]finishedJob{
				{"high or normal", 4400 * time.Microsecond}, {"high or normal", 4400 * time.Microsecond},
				{"low", 8400 * time.Microsecond},
			},
		},
		"prefill in chunks": {
			// 4 layers of 1 ms and 511 tokens of 10 us, then 4 layers of 1 ms and 87 tokens of 10 us.
			[]testJob{{"long", 0, 600}},
			[]finishedJob{{"long", 24440*time.Microsecond + 7480*time.Microsecond}},
		},
		"decode beside prefill": {
			[]testJob{{"long", 0, 600}, {"decode", 0, 1}},
			[]finishedJob{{"decode", 24840 * time.Microsecond}, {"long", 24840*time.Microsecond + 7480*time.Microsecond}},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			e, manual := manualEngine(t, Options{})
			got := runJobs(t, e, manual, tc.jobs)
			for i := range got {
				if name == "priority first" && i < 2 && got[i].name != "low" {
					got[i].name = "high or normal" // both are in the same batch
				}
			}
			if diff := cmp.Diff(tc.want, got, cmp.AllowUnexported(finishedJob{})); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a canceled job that still occupies the engine.
func TestCanceledJobTakesNoTime(t *testing.T) {
	e, manual := manualEngine(t, Options{})
	ctx := testContext(t)
	e.SetFaults(Faults{Hanging: true})
	jobCtx, cancel := context.WithCancel(ctx)
	result := make(chan error, 1)
	go func() { result <- e.runJob(jobCtx, 0, 4, 500) }()
	waitFor(t, ctx, func() bool { return e.unfinishedJobs() == 1 })
	cancel()
	if err := <-result; err == nil {
		t.Error("a canceled job returned no error")
	}
	e.SetFaults(Faults{})
	waitFor(t, ctx, func() bool { return e.unfinishedJobs() == 0 })
	if manual.AdvanceToNext() != 0 {
		t.Error("the engine computed a canceled job")
	}
}

// Guards against concurrent transfers that each get the full bandwidth of a link.
func TestLinkTransfersAreSequential(t *testing.T) {
	e, manual := manualEngine(t, Options{Links: map[string]Link{"next": {BytesPerSecond: 1000, LatencyMicros: 500_000}}})
	ctx := testContext(t)
	done := make(chan struct{}, 2)
	for i := range 2 {
		go func() {
			if err := e.transfer(ctx, "next", 2000); err != nil {
				t.Error(err)
			}
			done <- struct{}{}
		}()
		if err := manual.WaitSleepers(ctx, i+1); err != nil {
			t.Fatal(err)
		}
	}
	for _, want := range []time.Duration{2500 * time.Millisecond, 2 * time.Second} {
		if got := manual.AdvanceToNext(); got != want {
			t.Errorf("clock advanced by %v to the end of the transfer, want %v", got, want)
		}
		<-done
	}
}
