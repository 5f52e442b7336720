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

// queuedLines bounds the log lines that wait for a reader that does not keep up.
const maxQueuedLines = 2048

const (
	// maxRate and maxBurst bound what a process logs, in bytes a second and at once.
	maxRate  = 512 << 10
	maxBurst = 1 << 20
	// routineRate and routineBurst bound the lines of Routine among that, so that a flood of requests that end well does not
	// displace the lines that explain a failure.
	routineRate  = 128 << 10
	routineBurst = 256 << 10
	// routineBytes is the usual length of such a line.
	routineBytes = 512
)

// routine is the budget of the lines of Routine; suppressed counts those beyond it.
var (
	routineLimiter = rate.NewLimiter(routineRate, routineBurst)
	suppressed     atomic.Int64
)

// Writer passes log lines on to another writer without ever blocking the caller. Lines that arrive while the queue is
// full, or beyond maxRate, are dropped and counted.
type Writer struct {
	out       io.Writer
	lines     chan []byte
	limiter   *rate.Limiter
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
}

// NewWriter returns a writer to out. Close ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}),
		limiter: rate.NewLimiter(maxRate, maxBurst),
	}
	go w.run(suppressed.Load())
	return w
}

// Write queues a copy of line. It never fails.
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

// Close writes what is queued. Lines written later are lost.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { w.lines <- nil })
	<-w.done
}

// run writes the queued lines, as many at once as are waiting. reportedSuppressed is the number of suppressed lines that was
// known when the writer was made.
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
		// There is nowhere to report a failure of the log itself.
		_, _ = w.out.Write(batch)
		if closing {
			return
		}
	}
}

// Redirect makes klog write all lines to out, once each, with the given verbosity.
func Redirect(out io.Writer, verbosity int) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{
		"logtostderr": "false", "one_output": "true", "stderrthreshold": "FATAL", "v": strconv.Itoa(verbosity),
	} {
		if err := flags.Set(name, value); err != nil {
			return fmt.Errorf("set up logs: %w", err)
		}
	}
	klog.SetOutput(out)
	return nil
}
