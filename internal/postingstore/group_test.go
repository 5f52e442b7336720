package postingstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/hyssophoist/hyssophoist/api/platformapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	emulator "github.com/hyssophoist/hyssophoist/internal/emulator/platform"
	"github.com/hyssophoist/hyssophoist/internal/platform"
)

func transactions(r *Runner) int {
	return int(testutil.ToFloat64(r.metrics.transactions))
}

// TestGroupConflict guards against a conflict of one write that fails the other writes of its transaction.
func TestGroupConflict(t *testing.T) {
	s := newSystem(t, false, emulator.Options{})
	c := &committer{
		table: s.client, maxGroup: 8, linger: time.Hour, timeout: testTimeout, metrics: NewMetrics(),
	}
	existing, _ := platform.NewWrite(platform.PostingsTable, "k3", 0, 1)
	if _, err := s.client.Commit(s.context(), existing); err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			write, _ := platform.NewWrite(platform.PostingsTable, fmt.Sprintf("k%d", i), 0, i)
			version, err := c.commit(s.context(), write, false)
			var conflict *platform.ConflictError
			switch {
			case i == 3 && (!errors.As(err, &conflict) || conflict.Row.Version != 1):
				t.Errorf("write %d got %v, want a conflict", i, err)
			case i != 3 && (err != nil || version != 1):
				t.Errorf("write %d got version %d, %v", i, version, err)
			}
		})
	}
	wg.Wait()
	if n := testutil.ToFloat64(c.metrics.transactions); n != 2 {
		t.Errorf("%v transactions, want 2", n)
	}
}

// refusingTable refuses as many transactions as refusals says and passes on the others.
type refusingTable struct {
	platform.TableStore
	refusals atomic.Int64
	refused  chan struct{}
}

func (r *refusingTable) Commit(ctx context.Context, writes ...platformapi.Write) ([]uint64, error) {
	if r.refusals.Add(-1) >= 0 {
		r.refused <- struct{}{}
		return nil, errkind.New(errkind.PlatformUnavailable, "the rate limit is exceeded")
	}
	return r.TableStore.Commit(ctx, writes...)
}

// TestGroupRefused guards against a claim that fails at the first refusal by the platform's write limit, and against a
// write that is canceled in the queue and then reported as possibly written.
func TestGroupRefused(t *testing.T) {
	s := newSystem(t, false, emulator.Options{})
	limited := &refusingTable{TableStore: s.client, refused: make(chan struct{}, 100)}
	c := &committer{table: limited, maxGroup: 8, timeout: testTimeout, metrics: NewMetrics()}
	limited.refusals.Store(maxTries - 1)
	write, _ := platform.NewWrite(platform.PostingsTable, "k", 0, 1)
	if version, err := c.commit(s.context(), write, true); err != nil || version != 1 {
		t.Errorf("got version %d, %v after %d refusals", version, err, maxTries-1)
	}
	limited.refusals.Store(maxTries)
	if _, err := c.commit(s.context(), write, true); errkind.Of(err) != errkind.PlatformUnavailable {
		t.Errorf("got %v after %d refusals, want platform_unavailable", err, maxTries)
	}
	for len(limited.refused) > 0 {
		<-limited.refused
	}
	// The queue is not flushed within the linger time, so the write has certainly not been sent.
	lingering := &committer{table: limited, maxGroup: 8, linger: time.Hour, timeout: testTimeout, metrics: NewMetrics()}
	ctx, cancel := context.WithCancel(s.context())
	cancel()
	if _, err := lingering.commit(ctx, write, false); errkind.Of(err) != errkind.PlatformUnavailable {
		t.Errorf("got %v for a write canceled in the queue, want platform_unavailable", err)
	}
	if len(lingering.queue) != 0 {
		t.Error("the write is still in the queue")
	}
}

// countingTable counts transactions that took effect.
type countingTable struct {
	platform.TableStore
	committed *atomic.Int64
}

func (c countingTable) Commit(ctx context.Context, writes ...platformapi.Write) ([]uint64, error) {
	versions, err := c.TableStore.Commit(ctx, writes...)
	if err == nil {
		c.committed.Add(1)
	}
	return versions, err
}

// BenchmarkPostings measures postings/s and platform writes per posting of 8 daemons with 32 callers each, at several
// write limits of the platform, with and without groups. A caller that is refused retries after 10 ms. Use
// -benchtime=20000x or more with groups, since the platform allows a burst of a quarter of a second.
func BenchmarkPostings(b *testing.B) {
	for _, limit := range []float64{100, 200, 400, 800} {
		for _, group := range []int{1, DefaultMaxGroup} {
			b.Run(fmt.Sprintf("writes=%v/group=%d", limit, group), func(b *testing.B) {
				benchmarkPostings(b, limit, group, 8, 256)
			})
		}
	}
}

// BenchmarkPostingsManyDaemons measures the same with 400 daemons of one caller each, where groups hold little more
// than one claim and the outcome before it.
func BenchmarkPostingsManyDaemons(b *testing.B) {
	for _, limit := range []float64{100, 200, 400} {
		b.Run(fmt.Sprintf("writes=%v", limit), func(b *testing.B) {
			benchmarkPostings(b, limit, DefaultMaxGroup, 400, 400)
		})
	}
}

func benchmarkPostings(b *testing.B, limit float64, group, daemonCount, callerCount int) {
	s := newSystem(b, false, emulator.Options{WritesPerSecond: limit})
	var committed, started, refused atomic.Int64
	var daemons []*Runner
	for i := range daemonCount {
		daemons = append(daemons, s.start(entity.DaemonID(fmt.Sprintf("d%d", i)), func(o *Options) {
			o.Table, o.MaxGroup, o.OutcomeLinger = countingTable{s.client, &committed}, group, 0
		}))
	}
	b.ResetTimer()
	var callers sync.WaitGroup
	for i := range callerCount {
		callers.Go(func() {
			for n := started.Add(1); n <= int64(b.N); n = started.Add(1) {
				call := s.call(fmt.Sprintf("k%d", n), "body")
				call.Send = func(context.Context, uint64) (*Response, error) {
					return &Response{Status: http.StatusOK, Body: []byte("accepted")}, nil
				}
				for {
					if _, err := daemons[i%daemonCount].Run(s.context(), call); err == nil {
						break
					}
					refused.Add(1)
					call.Attempt = s.call("", "").Attempt
					time.Sleep(10 * time.Millisecond)
				}
			}
		})
	}
	callers.Wait()
	for _, d := range daemons {
		d.Drain(s.context())
	}
	seconds := b.Elapsed().Seconds()
	b.ReportMetric(float64(b.N)/seconds, "postings/s")
	b.ReportMetric(float64(committed.Load())/float64(b.N), "writes/posting")
	b.ReportMetric(float64(refused.Load())/float64(b.N), "refusals/posting")
}
