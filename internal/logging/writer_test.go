package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// stuckWriter blocks each write until it is released, as a reader that has stopped does.
type blockingWriter struct {
	mu      sync.Mutex
	release chan struct{}
	written bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

// TestWriterNeverBlocks guards that a reader that stops does not hold up the process, that the queue is bounded, and that
// the number of lost lines is logged once the reader goes on.
func TestWriterNeverBlocks(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
	w := NewWriter(out)
	const lines = 3 * maxQueuedLines
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range lines {
			if _, err := w.Write([]byte("line\n")); err != nil {
				t.Error(err)
			}
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("a log line blocks")
	}
	if dropped := w.Dropped(); dropped < lines-2*maxQueuedLines-1 {
		t.Errorf("%d lines dropped, the queue is not bounded", dropped)
	}
	close(out.release)
	w.Close()
	if text := out.written.String(); !strings.Contains(text, "dropped lines total=") {
		t.Error("the loss of lines is not logged")
	}
}

// TestWriterKeepsOrder guards that a reader that keeps up gets every line, whole and in order.
func TestWriterKeepsOrder(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		if _, err := w.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	w.Close()
	if out.String() != "a\nb\nc\n" {
		t.Errorf("got %q", out.String())
	}
}

// TestRoutineLinesDoNotDisplaceOthers guards the volume of logs under load: lines of requests that end well are bounded, and
// a line about a failure is still written after a flood of them, with the number of those left out.
func TestRoutineLinesDoNotDisplaceOthers(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	if err := Redirect(w, 0); err != nil {
		t.Fatal(err)
	}
	const flood = 5 * routineBurst / routineBytes
	logger := For("test")
	for range flood {
		logger.Routine("request ended", "result", "ok")
	}
	logger.Event("request ended", "result", "no_capacity")
	w.Close()
	text := out.String()
	written := strings.Count(text, `result="ok"`)
	if limit := 2 * routineBurst / routineBytes; written > limit {
		t.Errorf("%d lines of requests that ended well, want at most %d", written, limit)
	}
	if !strings.Contains(text, `result="no_capacity"`) {
		t.Error("the line about a failure is missing")
	}
	if !strings.Contains(text, "suppressed lines of requests that ended well total=") {
		t.Error("the number of lines left out is missing")
	}
}

// TestVolumeIsBounded guards that lines beyond the budget of the process are dropped and counted.
func TestVolumeIsBounded(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	line := append(bytes.Repeat([]byte("x"), 10<<10), '\n')
	for range 3 * maxBurst / len(line) {
		if _, err := w.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	w.Close()
	if out.Len() > 2*maxBurst || w.Dropped() == 0 {
		t.Errorf("%d bytes written, %d lines dropped", out.Len(), w.Dropped())
	}
}

// BenchmarkEvent measures the cost of a line for the process that writes it.
func BenchmarkEvent(b *testing.B) {
	w := NewWriter(&bytes.Buffer{})
	defer w.Close()
	if err := Redirect(w, 0); err != nil {
		b.Fatal(err)
	}
	logger := For("bench")
	for b.Loop() {
		logger.Event("request ended", "request", "9c41d07be2a35f68", "result", "ok", "status", "200", "version", 7, "ms", 812,
			"sends", 1, "runs", 1, "targets", "i-1[0-16]>i-2[16-32]>i-3[32-80]", "reason", "")
	}
}
