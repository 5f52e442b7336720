package lease

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/virtualtime"
	"github.com/hyssophoist/hyssophoist/internal/testenv"
)

// holder is one incarnation of a daemon that wants the lease and gives orders for the desired state.
type holder struct {
	id          entity.DaemonID
	incarnation uint64
	lease       *Lease
	process     virtualtime.Process
	want        bool
	ordering    bool
}

// engine is a target whose state the orders set.
type engine struct {
	fenced  bool
	fencing uint64
	state   int
	// lastHolder is the number of the last order that took effect.
	lastNumber uint64
}

// leaseWorld is a virtual clock with fakes of the table, one engine and several daemons.
type leaseWorld struct {
	random      *rand.Rand
	scheduler   virtualtime.Scheduler
	network     virtualtime.Network
	trace       []string
	failed      string
	row         Row
	outageUntil time.Duration
	holders     []*holder
	engine      engine
	desired     int
	changes     int
	// Counters of what the run has covered.
	orders, takeovers, stale, lateOrders int
}

func newLeaseWorld(seed uint64, fenced bool) *leaseWorld {
	w := &leaseWorld{random: rand.New(rand.NewPCG(seed, 2)), engine: engine{fenced: fenced}, desired: 1}
	w.network = virtualtime.Network{
		Scheduler: &w.scheduler, Rand: w.random, RequestLossRate: 0.05, RequestDelayRate: 0.05, ReplyLossRate: 0.05,
	}
	for i := range 3 {
		w.holders = append(w.holders, w.newHolder(entity.DaemonID(fmt.Sprintf("d%d", i)), 1))
	}
	for i := range w.holders {
		w.scheduler.After(0, func() { w.tick(i) })
	}
	w.scheduler.After(0, w.disturb)
	return w
}

func (w *leaseWorld) newHolder(id entity.DaemonID, incarnation uint64) *holder {
	return &holder{id: id, incarnation: incarnation, lease: New(Options{
		Daemon: id, Incarnation: incarnation, ChangeID: func() string {
			w.changes++
			return strconv.Itoa(w.changes)
		},
	})}
}

func (w *leaseWorld) clock() time.Time { return time.Unix(1000, 0).Add(w.scheduler.Now()) }

func (w *leaseWorld) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

func (w *leaseWorld) logf(format string, args ...any) {
	if len(w.trace) >= 40 {
		w.trace = w.trace[1:]
	}
	w.trace = append(w.trace, fmt.Sprintf("%v ", w.scheduler.Now())+fmt.Sprintf(format, args...))
}

func (w *leaseWorld) fail(format string, args ...any) {
	if w.failed == "" {
		w.failed = fmt.Sprintf(format, args...)
	}
}

// tick runs one holder: it wants the lease while the engine is not in the desired state.
func (w *leaseWorld) tick(index int) {
	h := w.holders[index]
	w.scheduler.RunIn(&h.process, w.between(50*time.Millisecond, 150*time.Millisecond), func() { w.tick(index) })
	h.want = w.engine.state != w.desired
	if !h.want {
		h.lease.Progressed(w.clock())
	}
	switch action := h.lease.Step(w.clock(), h.want).(type) {
	case Read:
		w.network.Call(&h.process, 2*time.Second, func() func() {
			row := w.row
			return func() { h.lease.Handle(w.clock(), RowRead{Row: row}) }
		}, func() { h.lease.Handle(w.clock(), ReadFailed{}) })
	case Write:
		w.write(h, action)
	}
	w.order(h)
}

func (w *leaseWorld) write(h *holder, action Write) {
	if w.outageUntil > w.scheduler.Now() {
		h.lease.Handle(w.clock(), WriteRefused{})
		return
	}
	w.network.Call(&h.process, 2*time.Second, func() func() {
		if w.row.Version != action.Expect {
			row := w.row
			return func() { h.lease.Handle(w.clock(), Conflicted{Row: row}) }
		}
		if action.Record.Fencing < w.row.Record.Fencing {
			w.fail("fencing number fell from %d to %d", w.row.Record.Fencing, action.Record.Fencing)
		}
		other := action.Record.Holder != w.row.Record.Holder || action.Record.Incarnation != w.row.Record.Incarnation
		if other && action.Record.Fencing <= w.row.Record.Fencing {
			w.fail("%s took the lease over without a higher fencing number", h.id)
		}
		if action.Record.Fencing > w.row.Record.Fencing {
			w.takeovers++
		}
		w.row = Row{Version: action.Expect + 1, Record: action.Record}
		w.logf("row v%d %s.%d n%d released=%v", w.row.Version, h.id, h.incarnation, action.Record.Fencing,
			action.Record.Released)
		version := w.row.Version
		return func() { h.lease.Handle(w.clock(), Committed{Version: version}) }
	}, func() { h.lease.Handle(w.clock(), WriteLost{}) })
}

// order gives one order if the holder may, and checks that no other holder may at the same time.
func (w *leaseWorld) order(h *holder) {
	number, left, ok := h.lease.Holds(w.clock())
	if !ok || h.ordering || w.engine.state == w.desired {
		return
	}
	for _, other := range w.holders {
		if other != h && !other.process.Dead {
			if n, _, also := other.lease.Holds(w.clock()); also {
				w.fail("%s (n%d) and %s (n%d) may both give orders", h.id, number, other.id, n)
			}
		}
	}
	w.orders++
	value, issued := w.desired, w.scheduler.Now()
	h.ordering = true
	h.lease.OrderBegun(w.clock().Add(left))
	w.logf("order %d by %s n%d", value, h.id, number)
	w.network.Call(&h.process, left, func() func() {
		if w.engine.fenced && number < w.engine.fencing {
			w.stale++
			return func() { h.ordering = false; h.lease.OrderEnded() }
		}
		if w.engine.fenced {
			w.engine.fencing = number
		}
		if w.scheduler.Now()-issued > left {
			w.lateOrders++
		}
		w.logf("engine takes order %d of n%d", value, number)
		w.engine.state, w.engine.lastNumber = value, number
		return func() { h.ordering = false; h.lease.OrderEnded(); h.lease.Progressed(w.clock()) }
	}, func() { h.ordering = false })
}

func (w *leaseWorld) disturb() {
	if w.network.Reliable {
		return
	}
	index := w.random.IntN(len(w.holders))
	h := w.holders[index]
	switch w.random.IntN(6) {
	case 0, 1:
		h.process.PausedUntil = w.scheduler.Now() + w.between(10*time.Millisecond, 40*time.Second)
		w.logf("pause %s until %v", h.id, h.process.PausedUntil)
	case 2:
		h.process.Dead = true
		w.holders[index] = w.newHolder(h.id, h.incarnation+1)
		w.scheduler.RunIn(&w.holders[index].process, w.between(0, 5*time.Second), func() { w.tick(index) })
		w.logf("death and restart of %s", h.id)
	case 3:
		w.outageUntil = w.scheduler.Now() + w.between(100*time.Millisecond, 30*time.Second)
		w.logf("outage until %v", w.outageUntil)
	default:
		w.desired++
		w.logf("desired state %d", w.desired)
	}
	w.scheduler.After(w.between(100*time.Millisecond, 10*time.Second), w.disturb)
}

// settle ends all faults and checks that the engine reaches and keeps the desired state.
func (w *leaseWorld) settle() {
	w.network.Reliable, w.outageUntil = true, w.scheduler.Now()
	for _, h := range w.holders {
		h.process.PausedUntil = w.scheduler.Now()
	}
	// Late orders travel for 20 order deadlines at most; a takeover then takes one lease and one order deadline.
	for end := w.scheduler.Now() + 3*time.Minute; w.scheduler.Now() < end && (w.failed == "" && w.scheduler.Step()); {
	}
	if w.failed == "" && w.engine.state != w.desired {
		w.fail("engine is in state %d of n%d after all faults, want %d", w.engine.state, w.engine.lastNumber, w.desired)
	}
	before := w.orders
	for end := w.scheduler.Now() + time.Minute; w.scheduler.Now() < end && (w.failed == "" && w.scheduler.Step()); {
	}
	if w.failed == "" && w.orders != before {
		w.fail("%d orders were given in the desired state", w.orders-before)
	}
}

// defaultSteps is smaller under -short, which is used with the race detector.
func defaultSteps() uint64 {
	if testing.Short() {
		return 400_000
	}
	return 4_000_000
}

// TestRandomisedLease guards against two holders that may give orders at once, a fencing number that falls, and an
// engine that keeps the effect of an old holder's order, under pauses, deaths, restarts, outages, lost responses,
// late writes and late orders. Even seeds have an engine that checks fencing numbers. It runs HYSSOPHOIST_STEPS
// events in worlds of 20,000; the first has the seed HYSSOPHOIST_SEED, the next one more.
func TestRandomisedLease(t *testing.T) {
	seed, steps := testenv.Seed(t, 1), int(testenv.Steps(t, defaultSteps()))
	var total leaseWorld
	done := 0
	for ; done < steps; seed++ {
		w := newLeaseWorld(seed, seed%2 == 0)
		for w.scheduler.Steps() < min(20_000, steps-done) && (w.failed == "" && w.scheduler.Step()) {
		}
		w.settle()
		if w.failed != "" {
			t.Fatalf("HYSSOPHOIST_SEED=%d HYSSOPHOIST_STEPS=%d: %s\n%s", seed, w.scheduler.Steps(), w.failed,
				strings.Join(w.trace, "\n"))
		}
		done += w.scheduler.Steps()
		total.orders += w.orders
		total.takeovers += w.takeovers
		total.stale += w.stale
		total.lateOrders += w.lateOrders
	}
	t.Logf("%d steps, %d orders, %d late orders, %d takeovers, %d stale orders", done, total.orders,
		total.lateOrders, total.takeovers, total.stale)
}

// TestLeaseStalled guards against a holder that renews its lease although its work makes no progress.
func TestLeaseStalled(t *testing.T) {
	l := New(Options{Daemon: "d1", ChangeID: func() string { return "c" }})
	now := time.Unix(1000, 0)
	begin := now
	for ; now.Sub(begin) < 2*time.Minute; now = now.Add(time.Second) {
		switch l.Step(now, true).(type) {
		case Read:
			if now != begin {
				// The lease has expired and is asked for again.
				if held := now.Sub(begin); held > DefaultProgressTimeout+DefaultDuration {
					t.Errorf("the lease was held for %v", held)
				}
				return
			}
			l.Handle(now, RowRead{Row: l.row})
		case Write:
			l.Handle(now, Committed{Version: l.row.Version + 1})
		}
	}
	t.Error("the lease was renewed for ever")
}

// TestLeaseRelease guards against a release while an order is under way, and against a wait after a release.
func TestLeaseRelease(t *testing.T) {
	ids := 0
	options := Options{Daemon: "d1", ChangeID: func() string { ids++; return strconv.Itoa(ids) }}
	l, now := New(options), time.Unix(1000, 0)
	l.Step(now, true)
	l.Handle(now, RowRead{})
	l.Step(now, true)
	l.Handle(now, Committed{Version: 1})
	number, left, ok := l.Holds(now)
	if !ok || number != 1 || left != DefaultOrderDeadline {
		t.Fatalf("got number %d, %v, %v", number, left, ok)
	}
	l.OrderBegun(now.Add(left))
	if action := l.Step(now, false); action != nil {
		t.Fatalf("got %+v while an order is under way", action)
	}
	l.OrderEnded()
	write, ok := l.Step(now, false).(Write)
	if !ok || !write.Record.Released {
		t.Fatalf("got %+v, want a release", write)
	}
	options.Daemon = "d2"
	other := New(options)
	other.Step(now, true)
	other.Handle(now, RowRead{Row: Row{Version: 2, Record: write.Record}})
	if next, ok := other.Step(now, true).(Write); !ok || next.Record.Fencing != 2 {
		t.Errorf("got %+v, want a takeover with number 2", next)
	}
}

// TestLeaseLostRelease guards against a holder that takes its lease up again after a release whose response was lost:
// the release may take effect late, and another holder would not wait.
func TestLeaseLostRelease(t *testing.T) {
	ids := 0
	l, now := New(Options{Daemon: "d1", ChangeID: func() string { ids++; return strconv.Itoa(ids) }}), time.Unix(1000, 0)
	l.Step(now, true)
	l.Handle(now, RowRead{})
	acquire := l.Step(now, true).(Write)
	l.Handle(now, Committed{Version: 1})
	l.Step(now, false)
	l.Handle(now, WriteLost{})
	if _, ok := l.Step(now, true).(Read); !ok {
		t.Fatal("the row was not read back")
	}
	l.Handle(now, RowRead{Row: Row{Version: 1, Record: acquire.Record}})
	if _, _, ok := l.Holds(now); ok {
		t.Error("the lease is held again after its release")
	}
}
