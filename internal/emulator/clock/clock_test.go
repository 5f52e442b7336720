package clock

import (
	"context"
	"testing"
	"time"
)

// TestSleep guards against sleeps that end early or continue after their context is done, on each kind of clock.
func TestSleep(t *testing.T) {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	for name, sleep := range map[string]func(context.Context, Clock, time.Duration) error{
		"plain":   func(ctx context.Context, c Clock, d time.Duration) error { return c.Sleep(ctx, d) },
		"precise": SleepPrecisely,
	} {
		for _, c := range []Clock{System{}, NewScaled(2), NewScaled(0.5)} {
			before := c.Now()
			if err := sleep(context.Background(), c, 5*time.Millisecond); err != nil {
				t.Errorf("%s on %T: %v", name, c, err)
			}
			if passed := c.Now().Sub(before); passed < 4900*time.Microsecond {
				t.Errorf("%s on %T: only %v passed", name, c, passed)
			}
			if sleep(canceled, c, time.Hour) == nil {
				t.Errorf("%s on %T: no error although the context is done", name, c)
			}
		}
		if sleep(canceled, NewManual(time.Now()), time.Hour) == nil {
			t.Errorf("%s on a manual clock: no error although the context is done", name)
		}
	}
}

// TestManual guards against a manual clock that wakes sleepers early or out of order.
func TestManual(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	m := NewManual(time.Unix(0, 0))
	woken := make(chan time.Duration, 2)
	for _, d := range []time.Duration{2 * time.Second, time.Second} {
		go func() {
			if err := m.Sleep(ctx, d); err == nil {
				woken <- d
			}
		}()
	}
	if err := m.WaitSleepers(ctx, 2); err != nil {
		t.Fatal(err)
	}
	m.Advance(time.Second - 1)
	if len(woken) != 0 {
		t.Error("a sleeper woke early")
	}
	for i, want := range []time.Duration{time.Second, 2 * time.Second} {
		if got := m.AdvanceToNext(); got != []time.Duration{1, time.Second}[i] {
			t.Errorf("advanced by %v", got)
		}
		if got := <-woken; got != want {
			t.Errorf("the sleeper of %v woke instead of that of %v", got, want)
		}
	}
	if m.AdvanceToNext() != 0 {
		t.Error("a sleeper remains")
	}
}
