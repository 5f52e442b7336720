package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/core/routing"
	"github.com/hyssophoist/hyssophoist/internal/connpool"
)

// queriedEngines answers each query for a report as given.
type queriedEngines struct {
	fakeEngines
	report fleet.Report
	err    error
}

func (e *queriedEngines) Report(context.Context, fleet.Target) (fleet.Report, error) {
	return e.report, e.err
}

// refusingDials returns a pool whose connections to the given addresses are refused; others are accepted.
func refusingDials(refused ...string) *connpool.Pool {
	pool := connpool.New()
	pool.Dial = func(_ context.Context, _, address string) (net.Conn, error) {
		if slices.Contains(refused, address) {
			return nil, fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
		}
		conn, other := net.Pipe()
		return conn, other.Close()
	}
	return pool
}

// TestWhichRunsCount guards against runs that stop counting although their engine may still work, and against ones that go on
// counting after its end. Logs and the limit on targets use the same numbers.
func TestWhichRunsCount(t *testing.T) {
	refused := fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
	reset := fmt.Errorf("read: %w", syscall.ECONNRESET)
	for name, test := range map[string]struct {
		engines   *queriedEngines
		refused   []string
		responded bool
		wantEnded bool
	}{
		"same process":         {engines: &queriedEngines{report: fleet.Report{Born: 1}}},
		"report without start": {engines: &queriedEngines{}},
		"connection refused":   {engines: &queriedEngines{err: refused}, refused: []string{"e:1"}, wantEnded: true},
		"zone refuses":         {engines: &queriedEngines{err: refused}, refused: []string{"e:1", "f:1"}},
		"refused once":         {engines: &queriedEngines{err: refused}},
		"earlier process":      {engines: &queriedEngines{report: fleet.Report{Born: -1}}},
		"later process":        {engines: &queriedEngines{report: fleet.Report{Born: 2}}, wantEnded: true},
		"report reset":         {engines: &queriedEngines{err: reset}},
		"report cut short":     {engines: &queriedEngines{err: io.ErrUnexpectedEOF}},
		"silent":               {engines: &queriedEngines{err: context.DeadlineExceeded}},
		"no route":             {engines: &queriedEngines{err: errors.New("no route to host")}},
		"responded":            {engines: &queriedEngines{err: refused}, refused: []string{"e:1"}, responded: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := New(Options{Engines: test.engines, Pool: refusingDials(test.refused...)})
			first := fleet.Target{ID: "e", Address: "e:1", Born: 1, Card: "card"}
			second := fleet.Target{ID: "f", Address: "f:1", Born: 1, Card: "card"}
			g.dispatcher.Fleet.Put(first)
			g.dispatcher.Fleet.Put(second)
			s := addStream(g, "s", 0, nil)
			s.deadline = time.Now().Add(time.Minute)
			s.route = &routing.Route{Kind: routing.Streaming, Resumable: true, MaxAttempts: 2}
			s.recordRun(first, test.responded)
			s.recordRun(second, true)
			if left := s.mayRunAgain(t.Context()); left != test.wantEnded {
				t.Errorf("another attempt allowed: %v, want %v", left, test.wantEnded)
			}
			wantCounted := 2
			if test.wantEnded {
				wantCounted = 1
			}
			if ended := g.targetEnded(first); ended != test.wantEnded {
				t.Errorf("ended %v, want %v", ended, test.wantEnded)
			}
			if ran, counted := s.runCounts(); ran != 2 || counted != wantCounted || s.runs != 2 {
				t.Errorf("ran on %d, %d count, %d runs, want 2, %d and 2", ran, counted, s.runs, wantCounted)
			}
			s.route = &routing.Route{Kind: routing.Streaming, MaxAttempts: 2}
			if s.mayRunAgain(t.Context()) {
				t.Error("a request that must not run twice may run again")
			}
		})
	}
}

// blockedEngines answers no query until its timeout.
type blockedEngines struct{ fakeEngines }

func (*blockedEngines) Report(ctx context.Context, _ fleet.Target) (fleet.Report, error) {
	<-ctx.Done()
	return fleet.Report{}, ctx.Err()
}

// TestCheckOfSilentEngineIsShort guards against streams that pause, and calls that are answered late, because a silent target is
// asked whether it has ended.
func TestCheckOfSilentEngineIsShort(t *testing.T) {
	for _, test := range []struct{ timeLeft, limit time.Duration }{
		{time.Minute, 2 * endedCheckTimeout},
		{80 * time.Millisecond, 60 * time.Millisecond},
	} {
		g := New(Options{Engines: &blockedEngines{}})
		s := addStream(g, "s", 0, nil)
		s.deadline = time.Now().Add(test.timeLeft)
		s.route = &routing.Route{Kind: routing.Streaming, Resumable: true, MaxAttempts: 1}
		s.recordRun(fleet.Target{ID: "e", Born: 1, Card: "card"}, false)
		begun := time.Now()
		if s.mayRunAgain(t.Context()) {
			t.Error("a silent engine does not count")
		}
		if took := time.Since(begun); took > test.limit {
			t.Errorf("with %v left, the check took %v, want at most %v", test.timeLeft, took, test.limit)
		}
	}
}

// TestCallThatEndsItsTargetsIsGivenUp guards against a call that makes one target after the other crash.
func TestCallThatEndsItsTargetsIsGivenUp(t *testing.T) {
	g := New(Options{})
	q := &request{
		gateway: g, deadline: time.Now().Add(time.Minute), route: &routing.Route{Kind: routing.Idempotent, MaxAttempts: 2},
	}
	for n := range 3 {
		if !q.mayRunAgain(t.Context()) {
			t.Fatalf("no attempt after %d targets have ended", n)
		}
		target := fleet.Target{ID: entity.TargetID(fmt.Sprint("t", n)), Born: 1}
		q.recordRun(target, false)
		g.recordEnded(target, "connection refused")
	}
	if q.mayRunAgain(t.Context()) {
		t.Error("another attempt after 3 targets have ended")
	}
}

// TestCheckOfRefusedTargetIsNotRepeated guards against a connection to every target for each request during a partition.
func TestCheckOfRefusedTargetIsNotRepeated(t *testing.T) {
	pool := refusingDials("e:1", "f:1")
	dials, dial := 0, pool.Dial
	pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		dials++
		return dial(ctx, network, address)
	}
	g := New(Options{Pool: pool})
	target := fleet.Target{ID: "e", Address: "e:1", Born: 1}
	g.dispatcher.Fleet.Put(target)
	g.dispatcher.Fleet.Put(fleet.Target{ID: "f", Address: "f:1", Born: 1})
	for range 10 {
		g.confirmIfRefused(t.Context(), target, syscall.ECONNREFUSED)
	}
	if dials != 1 || g.targetEnded(target) {
		t.Errorf("%d connections for ten checks, want 1; ended %v", dials, g.targetEnded(target))
	}
}
