// Package orders brings engines to their desired state. It compares the reported with the desired state, acquires the
// lease of a target whose states differ, and sends the orders that are needed.
package orders

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/lease"
	"github.com/hyssophoist/hyssophoist/core/table"
	"github.com/hyssophoist/hyssophoist/internal/leasestore"
	"github.com/hyssophoist/hyssophoist/internal/logging"
	"github.com/hyssophoist/hyssophoist/internal/platform"
)

// Defaults of Options.
const (
	DefaultRepeatAfter    = 30 * time.Second
	DefaultMaxLoading     = 4
	DefaultLoadsPerSecond = 1.0

	// maxRepeatAfter bounds the time between repetitions of an order, which doubles with each one.
	maxRepeatAfter = 4 * time.Minute
	// maxReportAge is the age above which no order is based on a report.
	maxReportAge = 10 * time.Second
	tickInterval = 100 * time.Millisecond
	// failureDelay is the time until the next order after a failed one, unless the engine asks for a different delay.
	failureDelay = 2 * time.Second
)

var log = logging.For("orders")

// Engines reads the state of engines and sends them orders. It is implemented by internal/engine.Client.
type Engines interface {
	Load(ctx context.Context, baseURL string) (engineapi.LoadReport, error)
	Order(ctx context.Context, baseURL string, order engineapi.Order) error
}

// Options configures a Manager. Zero values get the defaults.
type Options struct {
	Daemon      entity.DaemonID
	Incarnation uint64
	Table       platform.TableStore
	Engines     Engines
	// Lease sets the durations of the leases. New sets its Daemon and Incarnation, and ChangeID if it is nil.
	Lease lease.Options
	// RepeatAfter is how long an accepted order may take to appear in a report before it is sent again.
	RepeatAfter time.Duration
	// MaxLoading bounds the number of engines that load weights concurrently by order of this daemon, and
	// LoadsPerSecond the rate of such orders. Together with the number of daemons they bound the load on the weight
	// store.
	MaxLoading     int
	LoadsPerSecond float64
	Metrics        *Metrics
	// Now returns the current time with a monotonic clock reading; time.Now if nil.
	Now func() time.Time
	// Spawn runs a function that makes network calls. If nil, each one runs in a new goroutine.
	Spawn func(func())
}

// Metrics counts orders by kind and result, and lease writes.
type Metrics struct {
	orders      *prometheus.CounterVec
	leaseWrites prometheus.Counter
}

// NewMetrics returns the metrics of one Manager.
func NewMetrics() *Metrics {
	return &Metrics{
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssophoist_orders_total", Help: "Orders to engines by kind and result.",
		}, []string{"kind", "result"}),
		leaseWrites: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hyssophoist_lease_writes_total", Help: "Writes of leases.",
		}),
	}
}

// Collectors returns all metrics, for registration with a registry.
func (m *Metrics) Collectors() []prometheus.Collector {
	return []prometheus.Collector{m.orders, m.leaseWrites}
}

// Manager sends the orders of one daemon. It is safe for concurrent use.
type Manager struct {
	options     Options
	loadLimiter *rate.Limiter

	mu      sync.Mutex
	targets *table.Table[entity.TargetID, target]
}

// target is the desired and the reported state of one engine, with its lease and the progress of its orders.
type target struct {
	desired Desired
	lease   *lease.Lease
	report  engineapi.LoadReport
	// measuredAt is when the last report was measured.
	measuredAt time.Time
	// orderedAt is when the engine accepted the last order, or when an order of another daemon was found in the lease.
	// repeatAfter is the time until the order is sent again, or 0 if the engine has reported the desired state since
	// or that state has changed.
	orderedAt   time.Time
	repeatAfter time.Duration
	// notBefore is the earliest time for the next order after a failed one.
	notBefore time.Time
	// sending reports whether sendOrders is running for this target.
	sending bool
	// loading reports whether the engine loads weights by order of this daemon. It then counts towards
	// Options.MaxLoading, unless its report is older than maxReportAge.
	loading bool
}

// New returns a manager without targets.
func New(options Options) *Manager {
	if options.RepeatAfter == 0 {
		options.RepeatAfter = DefaultRepeatAfter
	}
	if options.MaxLoading == 0 {
		options.MaxLoading = DefaultMaxLoading
	}
	if options.LoadsPerSecond == 0 {
		options.LoadsPerSecond = DefaultLoadsPerSecond
	}
	if options.Metrics == nil {
		options.Metrics = NewMetrics()
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Spawn == nil {
		options.Spawn = func(f func()) { go f() }
	}
	options.Lease.Daemon, options.Lease.Incarnation = options.Daemon, options.Incarnation
	if options.Lease.ChangeID == nil {
		options.Lease.ChangeID = uuid.NewString
	}
	return &Manager{
		options:     options,
		loadLimiter: rate.NewLimiter(rate.Limit(options.LoadsPerSecond), options.MaxLoading),
		targets:     table.New[entity.TargetID, target](),
	}
}

// SetDesired replaces all desired states. Targets that are not listed get no orders.
func (m *Manager) SetDesired(desired []Desired) {
	m.mu.Lock()
	defer m.mu.Unlock()
	listed := make(map[entity.TargetID]bool, len(desired))
	for _, d := range desired {
		listed[d.Target] = true
		t := m.targets.Get(d.Target)
		if t == nil {
			t = &target{lease: lease.New(m.options.Lease)}
			m.targets.Put(d.Target, t)
		}
		if t.desired != d {
			// The orders for a new desired state are sent without waiting for the last one to take effect.
			t.repeatAfter, t.loading = 0, false
		}
		t.desired = d
	}
	for id, t := range m.targets.All {
		if !listed[id] {
			t.desired = Desired{Target: id}
		}
	}
}

// RecordReport records a load report that has just arrived. Only the daemon that polls a target sends it orders, so the
// reports of other targets need not be recorded.
func (m *Manager) RecordReport(report engineapi.LoadReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t := m.targets.Get(entity.TargetID(report.Target)); t != nil {
		t.recordReport(report, m.options.Now())
	}
}

// recordReport records a report unless it was measured before the last one.
func (t *target) recordReport(report engineapi.LoadReport, now time.Time) {
	measured := now.Add(-time.Duration(report.AgeMS) * time.Millisecond)
	if measured.Before(t.measuredAt) {
		return
	}
	t.report, t.measuredAt = report, measured
	if len(Plan(t.desired, &t.report)) == 0 && measured.After(t.orderedAt) {
		t.repeatAfter, t.loading = 0, false
		t.lease.Progressed(now)
	}
}

// due returns the orders to send now.
func (t *target) due(now time.Time) []engineapi.Order {
	if now.Before(t.notBefore) || now.Sub(t.measuredAt) > maxReportAge ||
		!t.measuredAt.After(t.orderedAt.Add(t.repeatAfter)) {
		return nil
	}
	return Plan(t.desired, &t.report)
}

// Run sends orders until ctx is done.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.Step(ctx)
		}
	}
}

// Step starts the platform and engine calls that are due now.
func (m *Manager) Step(ctx context.Context) {
	now := m.options.Now()
	var calls []func()
	m.mu.Lock()
	loading := 0
	for _, t := range m.targets.All {
		// An engine that no longer reports does not count towards MaxLoading.
		if t.loading && now.Sub(t.measuredAt) <= maxReportAge {
			loading++
		}
	}
	for id, t := range m.targets.All {
		orders := t.due(now)
		atLimit := loadsWeights(orders) && !t.loading && loading >= m.options.MaxLoading
		want := t.sending || len(orders) > 0 && !atLimit
		if action := t.lease.Step(now, want); action != nil {
			calls = append(calls, func() { m.perform(ctx, id, t, action) })
		}
		if _, _, holds := t.lease.Holds(now); !holds || !want || t.sending {
			continue
		}
		if loadsWeights(orders) && !t.loading {
			if !m.loadLimiter.AllowN(now, 1) {
				continue
			}
			loading++
			t.loading = true
		}
		t.sending = true
		calls = append(calls, func() { m.sendOrders(ctx, t) })
	}
	m.mu.Unlock()
	for _, call := range calls {
		m.options.Spawn(call)
	}
}

// perform performs an action of a target's lease and passes the result to the lease.
func (m *Manager) perform(ctx context.Context, id entity.TargetID, t *target, action lease.Action) {
	if _, writes := action.(lease.Write); writes {
		m.options.Metrics.leaseWrites.Inc()
	}
	event := leasestore.Perform(ctx, m.options.Table, string(id), action)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Now()
	t.lease.Handle(now, event)
	switch e := event.(type) {
	case lease.RowRead:
		t.recordOtherOrder(e.Row.Record, now, &m.options)
	case lease.Conflicted:
		t.recordOtherOrder(e.Row.Record, now, &m.options)
	}
}

// recordOtherOrder records an order of another daemon that the row of a lease names. If that daemon has ordered the
// same state and released the lease, this daemon sends the orders again only if the state is not reported in time.
func (t *target) recordOtherOrder(record lease.Record, now time.Time, options *Options) {
	ordered := record.Released && record.Holder != options.Daemon && record.Note == t.desired.digest()
	if ordered && t.repeatAfter == 0 {
		t.orderedAt, t.repeatAfter = now, options.RepeatAfter
	}
}

// sendOrders reads the state of an engine while the lease is held, and sends the orders that are due.
func (m *Manager) sendOrders(ctx context.Context, t *target) {
	m.mu.Lock()
	baseURL := t.desired.URL
	_, left, holds := t.lease.Holds(m.options.Now())
	m.mu.Unlock()
	if holds {
		readCtx, cancel := context.WithTimeout(ctx, left)
		report, err := m.options.Engines.Load(readCtx, baseURL)
		cancel()
		m.mu.Lock()
		if err == nil {
			t.recordReport(report, m.options.Now())
		}
		orders := t.due(m.options.Now())
		m.mu.Unlock()
		for _, order := range orders {
			if err != nil || !m.sendOrder(ctx, t, baseURL, order) {
				break
			}
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	t.sending = false
	if len(Plan(t.desired, &t.report)) == 0 {
		t.loading = false
	}
}

// sendOrder sends an order if the lease is still held, with a deadline before the lease ends. It reports whether the
// engine accepted the order.
func (m *Manager) sendOrder(ctx context.Context, t *target, baseURL string, order engineapi.Order) bool {
	m.mu.Lock()
	now := m.options.Now()
	fencing, left, holds := t.lease.Holds(now)
	if !holds {
		m.mu.Unlock()
		return false
	}
	t.lease.OrderBegun(now.Add(left))
	m.mu.Unlock()
	order.FencingNumber = fencing
	callCtx, cancel := context.WithTimeout(ctx, left)
	err := m.options.Engines.Order(callCtx, baseURL, order)
	cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	t.recordResponse(m.options.Now(), m.options.RepeatAfter, err)
	result := "accepted"
	if err != nil {
		result = string(errkind.Of(err))
		log.Infof("order %s to target %s with fencing number %d failed: %v", order.Kind, t.desired.Target, fencing, err)
	}
	m.options.Metrics.orders.WithLabelValues(string(order.Kind), result).Inc()
	return err == nil
}

// recordResponse records the result of an order. After an unknown outcome the order still counts as in progress.
func (t *target) recordResponse(now time.Time, repeatAfter time.Duration, err error) {
	if err == nil {
		t.lease.OrderEnded()
		t.lease.Progressed(now)
		t.lease.SetNote(t.desired.digest())
		t.orderedAt = now
		t.repeatAfter = min(maxRepeatAfter, max(repeatAfter, 2*t.repeatAfter))
		return
	}
	if errkind.Of(err) != errkind.OutcomeUnknown {
		t.lease.OrderEnded()
		t.loading = false
	}
	delay := failureDelay
	if after, ok := errkind.RetryAfterOf(err); ok {
		delay = after
	}
	t.notBefore = now.Add(delay)
}
