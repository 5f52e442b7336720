package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockingWriter blocks each write until release is closed, like a pipe whose reader has stopped.
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

// TestWriterNeverBlocks guards against a process that blocks because the reader of its log has stopped, against an
// unbounded queue, and against lost lines whose number is not logged after the reader has resumed.
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
		t.Fatal("Write blocked while the reader was stopped")
	}
	if dropped := w.Dropped(); dropped < lines-2*maxQueuedLines-1 {
		t.Errorf("only %d lines were dropped; the queue is not bounded", dropped)
	}
	close(out.release)
	w.Close()
	if text := out.written.String(); !strings.Contains(text, "dropped lines total=") {
		t.Error("the number of dropped lines is not logged")
	}
}

// TestWriterKeepsOrder guards against lines that are lost, cut or reordered although the reader keeps up.
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

// TestRoutineLinesDoNotDisplaceOthers guards against an unbounded log volume under load: the lines of successful
// requests are limited, and after many of them, the line about a failure and the number of suppressed lines are still
// written.
func TestRoutineLinesDoNotDisplaceOthers(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	if err := Redirect(w, 0); err != nil {
		t.Fatal(err)
	}
	const lines = 5 * routineBurst / routineBytes
	logger := For("test")
	for range lines {
		logger.Routine("request ended", "result", "ok")
	}
	logger.Event("request ended", "result", "no_capacity")
	w.Close()
	text := out.String()
	written := strings.Count(text, `result="ok"`)
	if limit := 2 * routineBurst / routineBytes; written > limit {
		t.Errorf("%d lines about successful requests written, want at most %d", written, limit)
	}
	if !strings.Contains(text, `result="no_capacity"`) {
		t.Error("the line about a failure was not written")
	}
	if !strings.Contains(text, "suppressed lines of requests that ended well total=") {
		t.Error("the number of suppressed lines was not written")
	}
}

// TestVolumeIsBounded guards against lines beyond the rate limit of the process that are not dropped, or not counted as
// dropped.
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
		t.Errorf("%d bytes written and %d lines dropped; the rate limit was not applied", out.Len(), w.Dropped())
	}
}

// BenchmarkEvent measures the cost of one line to the process that logs it.
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
