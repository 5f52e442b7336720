package gateway

import (
	"context"
	"testing"
	"time"
)

// newTimedRequest returns a request that times out after timeout, or after limit once it has begun, and the context of its
// attempts.
func newTimedRequest(t *testing.T, timeout, limit time.Duration) (*request, context.Context) {
	t.Helper()
	ctx, cancel := context.WithCancelCause(context.Background())
	t.Cleanup(func() { cancel(nil) })
	q := &request{gateway: New(Options{}), arrivedAt: time.Now(), cancel: cancel}
	q.startTimer(timeout, limit)
	t.Cleanup(func() { q.timer.Stop() })
	q.gateway.requests[q] = struct{}{}
	return q, ctx
}

// TestStreamBeginsOrTimesOut guards against streams whose first event arrives at their deadline and that are begun and cut
// off at once.
func TestStreamBeginsOrTimesOut(t *testing.T) {
	const timeout = 5 * time.Millisecond
	for n := range 200 {
		q, ctx := newTimedRequest(t, timeout, time.Hour)
		time.Sleep(time.Until(q.arrivedAt.Add(timeout + time.Duration(n-100)*10*time.Microsecond)))
		begun := q.beginStream()
		if begun {
			time.Sleep(100 * time.Microsecond)
		} else {
			<-ctx.Done()
		}
		if begun != (ctx.Err() == nil) {
			t.Fatalf("begun %v, but attempts ended with %v", begun, ctx.Err())
		}
	}
}

// TestBegunStreamEndsAtLimit guards against streams that are cut off before the limit of their caller, and against ones that
// go on after it.
func TestBegunStreamEndsAtLimit(t *testing.T) {
	const timeout, limit = 500 * time.Millisecond, 700 * time.Millisecond
	q, ctx := newTimedRequest(t, timeout, limit)
	if !q.beginStream() {
		t.Fatal("stream has not begun")
	}
	<-ctx.Done()
	if ended := time.Since(q.arrivedAt); ended < limit {
		t.Errorf("ended after %v", ended)
	}
}

// TestStopEndsUnbegunStream guards against streams that begin when the stop of the instance has ended them.
func TestStopEndsUnbegunStream(t *testing.T) {
	q, ctx := newTimedRequest(t, time.Hour, time.Hour)
	q.gateway.CancelRequests()
	if q.beginStream() || ctx.Err() == nil {
		t.Error("stream has begun after its end")
	}
}

// TestSuspensionMovesTimeout guards against requests that are answered too late, by the time in which the machine was
// suspended.
func TestSuspensionMovesTimeout(t *testing.T) {
	const timeout, left = 20 * time.Second, 200 * time.Millisecond
	for _, begun := range []bool{false, true} {
		q, ctx := newTimedRequest(t, timeout, timeout)
		if begun && !q.beginStream() {
			t.Fatal("stream has not begun")
		}
		q.gateway.HandleSuspension(timeout - left)
		select {
		case <-ctx.Done():
		case <-time.After(timeout / 2):
			t.Errorf("begun %v: not cancelled %v after its deadline", begun, timeout/2-left)
		}
	}
}
