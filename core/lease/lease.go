// Package lease implements the state machine of a lease with a fencing number. The lease of a target decides which
// daemon may give orders to it.
//
// A Lease is one daemon's view of the lease of one target. It does no I/O: the caller performs its actions,
// reports the results as events, and passes in the time of a monotonic clock. Clocks of different daemons are never
// compared. The holder counts the duration from before it issued the write; other daemons count it from when they
// read the row, which is later. A Lease is not safe for concurrent use.
package lease

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/rowversion"
)

// Defaults of Options.
const (
	DefaultDuration = 15 * time.Second
	// DefaultMargin is how long before the expiry the holder stops giving orders.
	DefaultMargin = 2 * time.Second
	// DefaultOrderDeadline limits the time of one order. After another holder's lease has expired, a daemon
	// waits this long before it takes the lease over.
	DefaultOrderDeadline = 5 * time.Second
	// DefaultProgressTimeout is how long a holder keeps renewing its lease without progress.
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
	// Era is the era of the store in which the record was written (see core/rowversion); 0 if the store has none.
	Era uint64 `json:"era,omitempty"`
	// ChangeID identifies the write. A holder that received no response looks for it in the row.
	ChangeID string `json:"change_id"`
	// DurationMS is the duration of the lease and OrderDeadlineMS the holder's order deadline, in milliseconds.
	DurationMS      int64 `json:"duration_ms"`
	OrderDeadlineMS int64 `json:"order_deadline_ms"`
	// Released reports whether the holder has given up the lease and none of its orders is in progress.
	Released bool `json:"released,omitempty"`
	// Note is a text from the holder for other daemons; see Lease.SetNote.
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

// ReadFailed reports that the row could not be read.
type ReadFailed struct{}

// Committed reports that the last write took effect.
type Committed struct{ Version uint64 }

// Conflicted reports that the last write had no effect because the stored row is Row.
type Conflicted struct{ Row Row }

// WriteRefused reports that the last write had no effect and never will.
type WriteRefused struct{}

// WriteUnknown reports that the last write may have taken effect or may still do so.
type WriteUnknown struct{}

func (RowRead) isEvent()      {}
func (ReadFailed) isEvent()   {}
func (Committed) isEvent()    {}
func (Conflicted) isEvent()   {}
func (WriteRefused) isEvent() {}
func (WriteUnknown) isEvent() {}

// Action is an operation that Step returns for the caller to perform.
type Action interface{ isAction() }

// Read reads the row.
type Read struct{}

// Write replaces the row if its version is ExpectedVersion; 0 means that the row must not exist.
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

// Lease is one daemon's view of one lease.
type Lease struct {
	options Options
	// row is the row last observed, and observedAt when its version was first observed. rowCurrent reports whether it is
	// current as far as this daemon knows; if not, it is read again before the next write.
	row        Row
	observedAt time.Time
	rowCurrent bool
	// held reports whether row is a lease of this daemon, which ends at expiry.
	held   bool
	expiry time.Time
	// pendingWrite is the write in progress. writeTimes holds, by change id, when each write that can make this
	// daemon the holder was issued; a write whose response was lost may take effect late.
	pendingWrite  Record
	writeTimes    map[string]time.Time
	actionPending bool
	retryAt       time.Time
	lastProgress  time.Time
	note          string
	// pendingOrderDeadline is the deadline of the last order if the target has not answered it.
	pendingOrderDeadline time.Time
	// era is the highest era of the store known, and restoredAt when it was first known, unless it is the first one.
	era        uint64
	restoredAt time.Time
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

// Holds returns the fencing number and the time remaining for an order, which is at most the order deadline. It
// reports false if this daemon must not give an order at the time now.
func (l *Lease) Holds(now time.Time) (fencing uint64, remaining time.Duration, ok bool) {
	remaining = min(l.options.OrderDeadline, l.expiry.Add(-l.options.Margin).Sub(now))
	if !l.held || remaining <= 0 {
		return 0, 0, false
	}
	return l.row.Record.Fencing, remaining, true
}

// OrderBegun records the start of an order. The lease is not released until the order has ended or its deadline has
// passed.
func (l *Lease) OrderBegun(deadline time.Time) { l.pendingOrderDeadline = deadline }

// OrderEnded records that the target has answered the order.
func (l *Lease) OrderEnded() { l.pendingOrderDeadline = time.Time{} }

// firstEra is the era of a store that has never been restored.
const firstEra = 1

// SetEra records the era of the store, which rises each time the store comes back from an older copy of its content. The
// row of a holder may be gone then, so the lease is lost. Rows that are read carry the era too; SetEra is for what else
// shows it, and must be called with the era of what this daemon has read before it needs the lease.
func (l *Lease) SetEra(now time.Time, era uint64) {
	if era <= l.era {
		return
	}
	l.era = era
	if era == firstEra {
		return
	}
	l.restoredAt = now
	l.held, l.rowCurrent = false, false
	clear(l.writeTimes)
}

// SetNote sets the text that later writes store in the row for other daemons.
func (l *Lease) SetNote(note string) { l.note = note }

// Progressed records that the work under the lease has made progress. A lease without progress is not renewed.
func (l *Lease) Progressed(now time.Time) { l.lastProgress = now }

// Step returns the next action, or nil if there is nothing to do now. want says whether this daemon needs the
// lease. No action is returned while another is in progress.
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
		return l.write(now, l.nextFencing(), false)
	}
	// The row is read again before a takeover, since the holder may renew the lease.
	l.rowCurrent = false
	l.retryAt = now.Add(l.options.RetryInterval)
	return nil
}

// renewOrRelease renews a held lease when it is due, or releases it if want is false.
func (l *Lease) renewOrRelease(now time.Time, want bool) Action {
	if !want {
		if now.Before(l.pendingOrderDeadline) {
			return nil
		}
		// The lease is no longer held once the release is issued: if the response is lost, the release may take
		// effect late, and from then on other daemons take the lease over without waiting.
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

// canAcquire reports whether this daemon may take the lease: the row does not exist, was released, or has been
// unchanged for the duration of the lease plus the holder's order deadline. A row that the store has from before it was
// restored, or that it lacks since, may hide a later holder, for which the daemon waits as long.
func (l *Lease) canAcquire(now time.Time) bool {
	record := l.row.Record
	if record.Era < l.era && now.Sub(l.restoredAt) < l.options.Duration+l.options.OrderDeadline {
		return false
	}
	if l.row.Version == 0 || record.Released {
		return true
	}
	return now.Sub(l.observedAt) >= time.Duration(record.DurationMS+record.OrderDeadlineMS)*time.Millisecond
}

// nextFencing returns a fencing number above those of all earlier holders. Records of holders can be lost when the store is
// restored, or be overwritten by a daemon that does not know of that yet, so the number is also above each version of the
// store that an earlier holder can have known. Fencing numbers of the first era are as small as its versions.
func (l *Lease) nextFencing() uint64 {
	next := l.row.Record.Fencing + 1
	if l.era == 0 {
		return next
	}
	version := max(rowversion.Version(l.row.Version), rowversion.New(l.era, 1))
	return max(next, uint64(rowversion.New(version.Era()-1, version.Counter())))
}

func (l *Lease) write(now time.Time, fencing uint64, release bool) Action {
	l.pendingWrite = Record{
		Holder: l.options.Daemon, Incarnation: l.options.Incarnation, Fencing: fencing, Era: l.era,
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

// Handle processes the result of the last action.
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
		// The row is read before the next write. If the write was a renewal, the lease is held until its old expiry.
		l.rowCurrent = false
	case WriteRefused, ReadFailed:
		l.retryAt = now.Add(l.options.RetryInterval)
	}
}

// observe records a row. This daemon holds the lease if the row has the change id of one of its writes; the duration
// then counts from when that write was issued, however late it took effect.
func (l *Lease) observe(now time.Time, row Row) {
	era := rowversion.Version(row.Version).Era()
	if row.Version != 0 && era < l.era {
		l.rowCurrent = false // the answer was on its way while the store was restored
		return
	}
	l.SetEra(now, era)
	if row.Version != l.row.Version || row.Record.ChangeID != l.row.Record.ChangeID {
		l.observedAt = now
	}
	l.row, l.rowCurrent = row, true
	issued, ownWrite := l.writeTimes[row.Record.ChangeID]
	l.expiry = issued.Add(l.options.Duration)
	l.held = ownWrite && row.Version != 0 && now.Before(l.expiry)
}
