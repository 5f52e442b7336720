package logging

import (
	"flag"
	"fmt"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

// maxQueuedLines is the maximum number of log lines queued while the reader does not keep up.
const maxQueuedLines = 2048

const (
	// maxRate and maxBurst limit the log volume of a process, in bytes per second and in bytes written at once.
	maxRate  = 512 << 10
	maxBurst = 1 << 20
	// routineRate and routineBurst limit the share of Logger.Routine in this volume, so that the lines of many
	// successful requests do not displace the lines that explain a failure.
	routineRate  = 128 << 10
	routineBurst = 256 << 10
	// routineBytes is the typical length of a line of Logger.Routine, at which each such line counts against the limit.
	routineBytes = 512
)

// routineLimiter limits the lines of Logger.Routine; suppressed counts those beyond the limit.
var (
	routineLimiter = rate.NewLimiter(routineRate, routineBurst)
	suppressed     atomic.Int64
)

// Writer forwards log lines to another writer without blocking the caller. Lines that arrive while the queue is full or
// that exceed the rate limit are dropped and counted.
type Writer struct {
	out       io.Writer
	lines     chan []byte
	limiter   *rate.Limiter
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
}

// NewWriter returns a Writer that forwards lines to out. Close stops it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}),
		limiter: rate.NewLimiter(maxRate, maxBurst),
	}
	go w.run(suppressed.Load())
	return w
}

// Write queues a copy of line or drops it. It never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limiter.AllowN(time.Now(), len(line)) {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and stops the writer. Lines written later are lost.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { w.lines <- nil })
	<-w.done
}

// run writes the queued lines until the writer is closed, all waiting lines in one call. reportedSuppressed is the
// number of lines suppressed before the writer was created; the total, which includes these, is logged once it rises.
func (w *Writer) run(reportedSuppressed int64) {
	defer close(w.done)
	var batch []byte
	reportedDropped := int64(0)
	for line := range w.lines {
		batch = append(batch[:0], line...)
		closing := line == nil
		for range len(w.lines) {
			line = <-w.lines
			closing = closing || line == nil
			batch = append(batch, line...)
		}
		if dropped := w.dropped.Load(); dropped != reportedDropped {
			batch = fmt.Appendf(batch, "logging: dropped lines total=%d\n", dropped)
			reportedDropped = dropped
		}
		if count := suppressed.Load(); count != reportedSuppressed {
			batch = fmt.Appendf(batch, "logging: suppressed lines of requests that ended well total=%d\n", count)
			reportedSuppressed = count
		}
		// The error is ignored: a failure of the log itself cannot be logged.
		_, _ = w.out.Write(batch)
		if closing {
			return
		}
	}
}

// Redirect makes klog write each line once, to out, with the given verbosity.
func Redirect(out io.Writer, verbosity int) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{
		"logtostderr": "false", "one_output": "true", "stderrthreshold": "FATAL", "v": strconv.Itoa(verbosity),
	} {
		if err := flags.Set(name, value); err != nil {
			return fmt.Errorf("configure klog: %w", err)
		}
	}
	klog.SetOutput(out)
	return nil
}
