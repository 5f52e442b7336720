package orders

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/api/platformapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/lease"
	"github.com/hyssophoist/hyssophoist/internal/leasestore"
	"github.com/hyssophoist/hyssophoist/internal/platform"
)

// TestPlan guards against orders that are missing, unnecessary or load weights twice.
func TestPlan(t *testing.T) {
	desired := Desired{Model: "m", Version: "2", Adapter: "a", Role: "decode", Layers: entity.LayerRange{From: 4, To: 8}}
	reached := engineapi.LoadReport{Model: "m", Version: "2", Adapter: "a", Role: "decode", From: 4, To: 8}
	tests := map[string]struct {
		change func(*engineapi.LoadReport)
		want   []engineapi.Order
	}{
		"reached": {func(*engineapi.LoadReport) {}, nil},
		"other model": {func(r *engineapi.LoadReport) { r.Model, r.Version, r.Adapter, r.To = "n", "1", "", 6 },
			[]engineapi.Order{{Kind: engineapi.LoadModel, Model: "m", Version: "2", Adapter: "a", From: 4, To: 8}}},
		"version and layers": {func(r *engineapi.LoadReport) { r.Version, r.To = "1", 6 },
			[]engineapi.Order{{Kind: engineapi.LoadVersion, Model: "m", Version: "2", From: 4, To: 8}}},
		"layers": {func(r *engineapi.LoadReport) { r.From = 0 },
			[]engineapi.Order{{Kind: engineapi.SetLayers, From: 4, To: 8}}},
		"adapter and role": {func(r *engineapi.LoadReport) { r.Adapter, r.Role = "b", "prefill" },
			[]engineapi.Order{{Kind: engineapi.LoadAdapter, Model: "m", Adapter: "a"}, {Kind: engineapi.SetRole, Role: "decode"}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			report := reached
			test.change(&report)
			if diff := cmp.Diff(test.want, Plan(desired, &report)); diff != "" {
				t.Error(diff)
			}
		})
	}
	if orders := Plan(Desired{Target: "t"}, &reached); len(orders) != 0 {
		t.Errorf("a target without a desired state got %v", orders)
	}
}

// fakeTable is a table service with one table.
type fakeTable struct {
	platform.TableStore
	rows map[string]platformapi.Row
}

func (f *fakeTable) Get(_ context.Context, _, key string) (*platformapi.Row, error) {
	row, ok := f.rows[key]
	if !ok {
		return nil, nil
	}
	return &row, nil
}

func (f *fakeTable) Commit(_ context.Context, writes ...platformapi.Write) ([]uint64, error) {
	w := writes[0]
	if row := f.rows[w.Key]; row.Version != w.Expect {
		return nil, &platform.ConflictError{Row: row}
	}
	f.rows[w.Key] = platformapi.Row{Table: w.Table, Key: w.Key, Version: w.Expect + 1, Value: w.Value}
	return []uint64{w.Expect + 1}, nil
}

// fakeEngine changes its model some time after it accepted an order.
type fakeEngine struct {
	report    engineapi.LoadReport
	fenced    bool
	nextModel string
	readyAt   time.Time
	orders    int
	orderErr  error
}

// fakeFleet runs engines and daemons on one virtual clock. Calls take no time except for readDelay.
type fakeFleet struct {
	now        time.Time
	table      *fakeTable
	engines    map[string]*fakeEngine
	managers   []*Manager
	loadTime   time.Duration
	maxLoading int
	// readDelay is how long the next read of an engine's state takes.
	readDelay time.Duration
}

func newFakeFleet(engines, daemons int, fenced bool, change func(*Options)) *fakeFleet {
	f := &fakeFleet{
		now: time.Unix(1000, 0), table: &fakeTable{rows: map[string]platformapi.Row{}},
		engines: map[string]*fakeEngine{}, loadTime: 5 * time.Second,
	}
	for i := range engines {
		id := fmt.Sprintf("t%d", i)
		f.engines[id] = &fakeEngine{fenced: fenced, report: engineapi.LoadReport{Target: id, Model: "old"}}
	}
	for i := range daemons {
		options := Options{
			Daemon: entity.DaemonID(fmt.Sprintf("d%d", i)), Table: f.table, Engines: f, LoadsPerSecond: 1000,
			Now: func() time.Time { return f.now }, Spawn: func(call func()) { call() },
		}
		if change != nil {
			change(&options)
		}
		f.managers = append(f.managers, New(options))
	}
	return f
}

// Load implements Engines.
func (f *fakeFleet) Load(_ context.Context, baseURL string) (engineapi.LoadReport, error) {
	f.now = f.now.Add(f.readDelay)
	f.readDelay = 0
	return f.engines[baseURL].report, nil
}

// Order implements Engines.
func (f *fakeFleet) Order(_ context.Context, baseURL string, order engineapi.Order) error {
	e := f.engines[baseURL]
	e.orders++
	switch {
	case e.orderErr != nil:
		return e.orderErr
	case e.fenced && order.FencingNumber < e.report.FencingNumber:
		return errkind.New(errkind.StaleFencingNumber, "number %d is stale", order.FencingNumber)
	case e.fenced:
		e.report.FencingNumber = order.FencingNumber
	}
	e.nextModel, e.readyAt = order.Model, f.now.Add(f.loadTime)
	return nil
}

func (f *fakeFleet) setDesired(model string) {
	for _, m := range f.managers {
		var desired []Desired
		for i := range len(f.engines) {
			id := fmt.Sprintf("t%d", i)
			desired = append(desired, Desired{Target: entity.TargetID(id), URL: id, Model: model})
		}
		m.SetDesired(desired)
	}
}

// run advances the clock by d. In each step, the managers get a report of each engine.
func (f *fakeFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tickInterval) {
		loading := 0
		for _, e := range f.engines {
			if e.nextModel != "" && !f.now.Before(e.readyAt) {
				e.report.Model, e.nextModel = e.nextModel, ""
			}
			if e.nextModel != "" {
				loading++
			}
		}
		f.maxLoading = max(f.maxLoading, loading)
		for _, m := range f.managers {
			for _, e := range f.engines {
				m.RecordReport(e.report)
			}
			m.Step(context.Background())
		}
	}
}

// TestReconcile guards against engines that do not reach the desired state, against unnecessary orders, and against a
// late order of an earlier lease holder that stays in effect.
func TestReconcile(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprintf("fenced=%v", fenced), func(t *testing.T) {
			f := newFakeFleet(1, 1, fenced, nil)
			e := f.engines["t0"]
			f.setDesired("new")
			f.run(time.Minute)
			if e.report.Model != "new" || e.orders != 1 {
				t.Fatalf("the engine holds %q after %d orders, want the new model after 1", e.report.Model, e.orders)
			}
			// A late order of an earlier holder arrives. Only an engine that does not check fencing numbers accepts it.
			err := f.Order(context.Background(), "t0", engineapi.Order{Kind: engineapi.LoadModel, Model: "late"})
			if (errkind.Of(err) == errkind.StaleFencingNumber) != fenced {
				t.Fatalf("the late order got %v", err)
			}
			f.run(time.Minute)
			if want := map[bool]int{true: 2, false: 3}[fenced]; e.report.Model != "new" || e.orders != want {
				t.Errorf("the engine holds %q after %d orders, want the new model after %d", e.report.Model, e.orders, want)
			}
			if row := f.table.rows["t0"]; row.Version > 4 {
				t.Errorf("the lease was written %d times, want one acquisition and one release for each order", row.Version)
			}
		})
	}
}

// TestOtherHolder guards against orders from a daemon while another one holds the lease, and against a lease of a dead
// daemon that is never taken over.
func TestOtherHolder(t *testing.T) {
	f := newFakeFleet(1, 1, false, nil)
	write, err := platform.NewWrite(platform.LeasesTable, "t0", 0, lease.Record{
		Holder: "dead", Fencing: 7, ChangeID: "x", DurationMS: lease.DefaultDuration.Milliseconds(),
		OrderDeadlineMS: lease.DefaultOrderDeadline.Milliseconds(),
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.table.Commit(context.Background(), write); err != nil {
		t.Fatal(err)
	}
	f.setDesired("new")
	f.run(lease.DefaultDuration + lease.DefaultOrderDeadline)
	if n := f.engines["t0"].orders; n != 0 {
		t.Fatalf("%d orders were sent while another daemon held the lease", n)
	}
	f.run(20 * time.Second)
	if e := f.engines["t0"]; e.report.Model != "new" {
		t.Errorf("the engine holds %q after the lease expired", e.report.Model)
	}
	if row, err := leasestore.Decode(1, f.table.rows["t0"].Value); err != nil || row.Record.Fencing != 8 {
		t.Errorf("the lease is %+v, want fencing number 8", row.Record)
	}
}

// TestLeaseCheckedBeforeOrder guards against an order from a holder that was delayed after it acquired the lease, until
// the lease had no time left for orders.
func TestLeaseCheckedBeforeOrder(t *testing.T) {
	f := newFakeFleet(1, 1, false, nil)
	f.readDelay = lease.DefaultDuration - lease.DefaultMargin
	f.setDesired("new")
	for f.readDelay != 0 {
		f.run(tickInterval)
	}
	if n := f.engines["t0"].orders; n != 0 {
		t.Fatalf("%d orders were sent after the lease had no time left for orders", n)
	}
	f.run(time.Minute)
	if e := f.engines["t0"]; e.report.Model != "new" || e.orders != 1 {
		t.Errorf("the engine holds %q after %d orders, want the new model after 1", e.report.Model, e.orders)
	}
}

// TestLoadLimits guards against overload of the weight store when many engines change their model at the same time.
func TestLoadLimits(t *testing.T) {
	f := newFakeFleet(40, 2, true, func(o *Options) { o.MaxLoading = 3 })
	f.setDesired("new")
	f.run(3 * time.Minute)
	for id, e := range f.engines {
		if e.report.Model != "new" || e.orders != 1 {
			t.Errorf("engine %s holds %q after %d orders", id, e.report.Model, e.orders)
		}
	}
	if f.maxLoading > 6 {
		t.Errorf("%d engines loaded concurrently, want at most 3 for each of 2 daemons", f.maxLoading)
	}
}

// TestRetryAfter guards against orders that are repeated before the end of the delay that the engine asked for.
func TestRetryAfter(t *testing.T) {
	f := newFakeFleet(1, 1, true, nil)
	e := f.engines["t0"]
	refusal := errkind.New(errkind.TargetRefused, "the weight store is busy")
	e.orderErr = errkind.WithRetryAfter(errkind.WithRun(refusal, errkind.NotRun), 20*time.Second)
	f.setDesired("new")
	f.run(19 * time.Second)
	if e.orders != 1 {
		t.Fatalf("%d orders within the time that the engine asked for", e.orders)
	}
	e.orderErr = nil
	f.run(time.Minute)
	if e.report.Model != "new" || e.orders != 2 {
		t.Errorf("the engine holds %q after %d orders, want the new model after 2", e.report.Model, e.orders)
	}
}

// TestSlowLoad guards against frequent repetition of an order while its load is in progress.
func TestSlowLoad(t *testing.T) {
	f := newFakeFleet(1, 1, true, nil)
	f.loadTime = 4 * time.Minute
	f.setDesired("new")
	f.run(3 * time.Minute)
	if n := f.engines["t0"].orders; n != 3 {
		t.Errorf("%d orders in three minutes, want 3: at once, after 30 s and after another minute", n)
	}
}
