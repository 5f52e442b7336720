// Package lease is the state machine of a lease with a fencing number: who may give orders to a target.
//
// A Lease is the view of one daemon on the lease of one target. It is pure: the caller performs its actions, reports
// the results as events, and passes in the time of a monotonic clock. No clocks are compared between daemons. A
// holder counts the lease from before it issued the write; everyone else counts it from when they saw the row, which
// is later. A Lease is not safe for concurrent use.
package lease

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// Defaults of Options.
const (
	DefaultDuration = 15 * time.Second
	// DefaultMargin is how long before the expiry the holder stops giving orders.
	DefaultMargin = 2 * time.Second
	// DefaultOrderDeadline bounds one order, and the wait after the expiry of another holder's lease.
	DefaultOrderDeadline = 5 * time.Second
	// DefaultProgressTimeout is how long a holder without progress renews its lease.
	DefaultProgressTimeout = 30 * time.Second
	// DefaultRetryInterval is the pause between reads of another holder's lease, and after a failed call.
	DefaultRetryInterval = 500 * time.Millisecond
)

// Record is the value of the row of a lease.
type Record struct {
	Holder      entity.DaemonID `json:"holder"`
	Incarnation uint64          `json:"incarnation"`
	// Fencing is the fencing number. It rises with every change of the holder and never falls.
	Fencing uint64 `json:"fencing"`
	// ChangeID identifies the write. A holder that lost the response looks for it.
	ChangeID string `json:"change_id"`
	// DurationMS is the duration of the lease and OrderDeadlineMS the holder's order deadline, in milliseconds.
	DurationMS      int64 `json:"duration_ms"`
	OrderDeadlineMS int64 `json:"order_deadline_ms"`
	// Released says that the holder has ended the lease and that no order of it is under way.
	Released bool `json:"released,omitempty"`
	// Note is what the holder leaves for the next one; see Lease.SetNote.
	Note string `json:"note,omitempty"`
}

// Row is a record with its row version; version 0 means that the row does not exist.
type Row struct {
	Version uint64
	Record  Record
}

// Event is the result of an action.
type Event interface{ isEvent() }

// RowRead carries the row that Read asked for.
type RowRead struct{ Row Row }

// ReadFailed says that the row could not be read.
type ReadFailed struct{}

// Committed says that the last write took effect.
type Committed struct{ Version uint64 }

// Conflicted says that the last write had no effect because the row is Row.
type Conflicted struct{ Row Row }

// WriteRefused says that the last write had no effect and never will.
type WriteRefused struct{}

// WriteLost says that the last write may have taken effect or may still do so.
type WriteUnknown struct{}

func (RowRead) isEvent()      {}
func (ReadFailed) isEvent()   {}
func (Committed) isEvent()    {}
func (Conflicted) isEvent()   {}
func (WriteRefused) isEvent() {}
func (WriteUnknown) isEvent() {}

// Action is what Step asks for.
type Action interface{ isAction() }

// Read reads the row.
type Read struct{}

// Write replaces the row if its version is Expect (0: it does not exist).
type Write struct {
	ExpectedVersion uint64
	Record          Record
}

func (Read) isAction()  {}
func (Write) isAction() {}

// Options configures a Lease. Zero durations get the defaults.
type Options struct {
	Daemon                                           entity.DaemonID
	Incarnation                                      uint64
	Duration, Margin, OrderDeadline, ProgressTimeout time.Duration
	RetryInterval                                    time.Duration
	// ChangeID returns a new id for each write, unique among all daemons and incarnations.
	ChangeID func() string
}

// Lease is the view of one daemon on one lease.
type Lease struct {
	options Options
	// row is the row last seen, and seenAt when its version was first seen. known says that it is current as far as
	// this daemon can tell.
	row        Row
	observedAt time.Time
	rowCurrent bool
	// held says that row is a lease of this daemon, which ends at expiry.
	held   bool
	expiry time.Time
	// written is the write under way. own holds when each write that can make this daemon the holder was issued, by
	// change id; a write whose response was lost may take effect late.
	pendingWrite  Record
	writeTimes    map[string]time.Time
	actionPending bool
	retryAt       time.Time
	lastProgress  time.Time
	note          string
	// orderUntil is the deadline of the last order that has no answer.
	pendingOrderDeadline time.Time
}

// New returns a lease that this daemon does not hold.
func New(options Options) *Lease {
	for _, d := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&options.Duration, DefaultDuration}, {&options.Margin, DefaultMargin},
		{&options.OrderDeadline, DefaultOrderDeadline}, {&options.ProgressTimeout, DefaultProgressTimeout},
		{&options.RetryInterval, DefaultRetryInterval},
	} {
		if *d.value == 0 {
			*d.value = d.fallback
		}
	}
	return &Lease{options: options, writeTimes: make(map[string]time.Time)}
}

// Holds returns the fencing number and the time left for orders, which is at most the order deadline. It reports
// false if this daemon must not give an order at the time now.
func (l *Lease) Holds(now time.Time) (fencing uint64, remaining time.Duration, ok bool) {
	remaining = min(l.options.OrderDeadline, l.expiry.Add(-l.options.Margin).Sub(now))
	if !l.held || remaining <= 0 {
		return 0, 0, false
	}
	return l.row.Record.Fencing, remaining, true
}

// OrderBegun notes an order with the given deadline, during which the lease is not released.
func (l *Lease) OrderBegun(deadline time.Time) { l.pendingOrderDeadline = deadline }

// OrderEnded notes that the target has answered the order.
func (l *Lease) OrderEnded() { l.pendingOrderDeadline = time.Time{} }

// SetNote sets the text that later writes leave in the row for other daemons.
func (l *Lease) SetNote(note string) { l.note = note }

// Progressed notes that the work under the lease has made progress. A lease without progress is not renewed.
func (l *Lease) Progressed(now time.Time) { l.lastProgress = now }

// Step returns the next action, or nil if there is nothing to do now. want says whether this daemon has work for the
// lease. No action is returned while another is under way.
func (l *Lease) Step(now time.Time, want bool) Action {
	if l.actionPending || now.Before(l.retryAt) {
		return nil
	}
	if l.held && !now.Before(l.expiry) {
		l.held, l.rowCurrent = false, false
	}
	if !l.held && !want {
		return nil
	}
	if !l.rowCurrent {
		l.actionPending = true
		return Read{}
	}
	if l.held {
		return l.renewOrRelease(now, want)
	}
	if l.canAcquire(now) {
		l.lastProgress = now
		return l.write(now, l.row.Record.Fencing+1, false)
	}
	// The row is read again before it is taken over, since its holder may renew it.
	l.rowCurrent = false
	l.retryAt = now.Add(l.options.RetryInterval)
	return nil
}

// keep renews or releases a lease that is held.
func (l *Lease) renewOrRelease(now time.Time, want bool) Action {
	if !want {
		if now.Before(l.pendingOrderDeadline) {
			return nil
		}
		// The lease is given up for good once the release is issued: if its response is lost it may take effect
		// late, and from then on others need not wait.
		l.held = false
		clear(l.writeTimes)
		return l.write(now, l.row.Record.Fencing, true)
	}
	stalled := now.Sub(l.lastProgress) >= l.options.ProgressTimeout
	if stalled || l.expiry.Sub(now) > l.options.Duration*2/3 {
		return nil
	}
	return l.write(now, l.row.Record.Fencing, false)
}

// free reports whether the row may be replaced: it does not exist, was released, or has been unchanged for the
// duration of the lease and the deadline of the holder's last order.
func (l *Lease) canAcquire(now time.Time) bool {
	record := l.row.Record
	if l.row.Version == 0 || record.Released {
		return true
	}
	return now.Sub(l.observedAt) >= time.Duration(record.DurationMS+record.OrderDeadlineMS)*time.Millisecond
}

func (l *Lease) write(now time.Time, fencing uint64, release bool) Action {
	l.pendingWrite = Record{
		Holder: l.options.Daemon, Incarnation: l.options.Incarnation, Fencing: fencing,
		ChangeID: l.options.ChangeID(), Released: release, Note: l.note,
		DurationMS: l.options.Duration.Milliseconds(), OrderDeadlineMS: l.options.OrderDeadline.Milliseconds(),
	}
	l.actionPending = true
	for id, issued := range l.writeTimes {
		if now.Sub(issued) >= l.options.Duration {
			delete(l.writeTimes, id)
		}
	}
	if !release {
		l.writeTimes[l.pendingWrite.ChangeID] = now
	}
	return Write{ExpectedVersion: l.row.Version, Record: l.pendingWrite}
}

// Handle takes the result of the last action.
func (l *Lease) Handle(now time.Time, event Event) {
	l.actionPending = false
	switch e := event.(type) {
	case Committed:
		l.observe(now, Row{Version: e.Version, Record: l.pendingWrite})
	case Conflicted:
		l.observe(now, e.Row)
	case RowRead:
		l.observe(now, e.Row)
	case WriteUnknown:
		// The row is read before the next write. A lease that was being renewed runs on to its old expiry.
		l.rowCurrent = false
	case WriteRefused, ReadFailed:
		l.retryAt = now.Add(l.options.RetryInterval)
	}
}

// see takes a row. It is this daemon's lease if it bears the id of one of its writes; the lease then counts from when
// that write was issued, however late it took effect.
func (l *Lease) observe(now time.Time, row Row) {
	if row.Version != l.row.Version || row.Record.ChangeID != l.row.Record.ChangeID {
		l.observedAt = now
	}
	l.row, l.rowCurrent = row, true
	issued, ownWrite := l.writeTimes[row.Record.ChangeID]
	l.expiry = issued.Add(l.options.Duration)
	l.held = ownWrite && row.Version != 0 && now.Before(l.expiry)
}
