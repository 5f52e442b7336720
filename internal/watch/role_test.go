package watch

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/rowversion"
	"github.com/hyssophoist/hyssophoist/core/tablecache"
)

// run starts a watcher and returns its observer, and a function that stops it.
func run(t *testing.T, w *Watcher) *recorder {
	t.Helper()
	observer := &recorder{}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { w.Run(ctx, observer); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return observer
}

func (s *scriptedFeed) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

// awaitCalls waits until the feed has been called count times.
func awaitCalls(t *testing.T, feed *scriptedFeed, count int) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); feed.callCount() < count; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d calls, want %d", feed.callCount(), count)
		}
	}
}

// TestOffersReplaceReads guards against calls to the store by an instance that others keep up to date, and against one
// that does not read the store once they stop.
func TestOffersReplaceReads(t *testing.T) {
	const bound = time.Second
	feed := &scriptedFeed{steps: []func() (tablecache.Batch, error){reply(1, 5)}}
	w := New(Options{Feed: feed, Table: "t", Policy: tablecache.ReadPolicy{Bound: bound}})
	observer := run(t, w)
	awaitCalls(t, feed, 1)
	end := time.Now().Add(2 * bound)
	for version := rowversion.Version(6); time.Now().Before(end); version++ {
		w.Offer(tablecache.Batch{After: version - 1, Version: version, Rows: []tablecache.Row{{Key: "0", Version: version}}})
		time.Sleep(bound / 50)
	}
	if got := feed.callCount(); got != 1 {
		t.Errorf("%d calls to the store while others offer the changes, want 1", got)
	}
	awaitCalls(t, feed, 2)
	observer.mu.Lock()
	defer observer.mu.Unlock()
	if got := observer.seen[2]; got != "changed" {
		t.Errorf("observer saw %v", observer.seen)
	}
}

// TestJoining guards against an instance that reads a table whole although another one offers it, and against one that
// never reads it if no one does.
func TestJoining(t *testing.T) {
	feed := &scriptedFeed{steps: []func() (tablecache.Batch, error){reply(1, 5)}}
	w := New(Options{Feed: feed, Table: "t", Policy: tablecache.ReadPolicy{Bound: time.Hour}, JoinTime: time.Hour})
	observer := run(t, w)
	for end := time.Now().Add(5 * time.Second); len(observer.snapshot()) == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		w.Offer(tablecache.Batch{Full: true, Rows: []tablecache.Row{{Key: "0", Version: 4}}, Version: 4})
	}
	if seen := observer.snapshot(); len(seen) == 0 || seen[0] != "replaced" || feed.callCount() != 0 {
		t.Errorf("observer saw %v after %d calls to the store", seen, feed.callCount())
	}

	feed = &scriptedFeed{steps: []func() (tablecache.Batch, error){reply(1, 5)}}
	run(t, New(Options{Feed: feed, Table: "t", Policy: tablecache.ReadPolicy{Bound: time.Hour}, JoinTime: time.Millisecond}))
	awaitCalls(t, feed, 1)
}

func (r *recorder) snapshot() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.seen...)
}

// TestNewReader guards against an instance that becomes the reader while it waits after a failed call, and against a
// reader that goes on with a long call when others begin to rely on it.
func TestNewReader(t *testing.T) {
	feed := &scriptedFeed{steps: []func() (tablecache.Batch, error){reply(1, 5), fail(errors.New("down"))}}
	w := New(Options{Feed: feed, Table: "t", Policy: tablecache.ReadPolicy{Bound: 20 * time.Second}})
	run(t, w)
	awaitCalls(t, feed, 1)
	w.SetRole(tablecache.Role{Reader: true})
	awaitCalls(t, feed, 3) // the third call blocks
	w.SetRole(tablecache.Role{Reader: true, Followed: true})
	awaitCalls(t, feed, 4)
	if w.ReadsFailing() != true {
		t.Error("reads do not count as failing although none has succeeded since the failure")
	}
}

// TestLateResponseConfirmsItsStart guards against a response that waited in the buffers of a paused process and then
// counts as a fresh confirmation.
func TestLateResponseConfirmsItsStart(t *testing.T) {
	const pause = 2 * lateResponse
	feed := &scriptedFeed{steps: []func() (tablecache.Batch, error){reply(1, 5), func() (tablecache.Batch, error) {
		time.Sleep(pause)
		return tablecache.Batch{Version: 5}, nil
	}}}
	w := New(Options{Feed: feed, Table: "t", Policy: tablecache.ReadPolicy{Bound: 20 * time.Millisecond}})
	w.SetRole(tablecache.Role{Reader: true, Followed: true})
	run(t, w)
	awaitCalls(t, feed, 3)
	if age := w.State().Age; age < pause {
		t.Errorf("the copy counts as confirmed %v ago, the call began %v ago", age, pause)
	}
}

// TestOldAnswerDoesNotConfirm guards against a copy that counts as confirmed by an answer of the store that is older
// than the copy: the other instances would then not read the store themselves.
func TestOldAnswerDoesNotConfirm(t *testing.T) {
	const bound = time.Second
	for name, first := range map[string]func() (tablecache.Batch, error){
		"changes":     reply(0, 4),
		"whole table": fail(ErrHistoryLost),
	} {
		t.Run(name, func(t *testing.T) {
			feed := &scriptedFeed{steps: []func() (tablecache.Batch, error){reply(1, 5), first, reply(1, 4)}}
			w := New(Options{Feed: feed, Table: "t", Policy: tablecache.ReadPolicy{Bound: bound}})
			w.SetRole(tablecache.Role{Reader: true, Followed: true})
			run(t, w)
			awaitCalls(t, feed, 1)
			confirmed := time.Now()
			awaitCalls(t, feed, 4)
			if age := w.State().Age; age < time.Since(confirmed)-minBackoff/2 {
				t.Errorf("the copy counts as confirmed %v ago, want %v", age, time.Since(confirmed))
			}
			if !w.ReadsFailing() {
				t.Error("reads do not count as failing")
			}
		})
	}
}
