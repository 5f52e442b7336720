package edge

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/hyssophoist/hyssophoist/internal/gateway"
	"github.com/hyssophoist/hyssophoist/internal/watch"
	"github.com/hyssophoist/hyssophoist/platform"
)

// Metrics holds the metrics of an edge daemon. Durations are in seconds.
type Metrics struct {
	registry *prometheus.Registry

	// Requests counts completed requests by kind of route and result; the result is "ok" or an error kind.
	Requests *prometheus.CounterVec
	// Duration is the time from arrival to completion of a request by kind of route.
	Duration *prometheus.HistogramVec
	// BrokenStreams counts begun streams that were closed before their end, by the reason why no further attempt was made.
	BrokenStreams *prometheus.CounterVec
	// Refusals counts streams refused for lack of capacity by their rank among the priorities of their service.
	Refusals *prometheus.CounterVec
	// Dials counts connections opened to targets.
	Dials prometheus.Counter
	// Orders counts orders sent to engines by outcome.
	Orders *prometheus.CounterVec
	// StoreErrors counts failed reads of the store by what was read.
	StoreErrors *prometheus.CounterVec
	// PassedOverEntries counts entries in the list of targets that name no target.
	PassedOverEntries prometheus.Counter
	// UnansweredConnections counts connections of callers that were closed although a request, or a part of one, had
	// arrived and nothing was written back.
	UnansweredConnections prometheus.Counter
	// CrossedConnections counts idle connections of callers on which a request arrived after they had been closed with
	// a refusal.
	CrossedConnections prometheus.Counter
	// ShedConnections counts connections of callers that were closed for want of descriptors or memory, by what was in progress
	// on them.
	ShedConnections *prometheus.CounterVec
	// ConfigurationVersion is the version of the configuration in force.
	ConfigurationVersion prometheus.Gauge
}

func newMetrics() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		Requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssophoist_edge_requests_total", Help: "Ended requests by kind of route and result.",
		}, []string{"kind", "result"}),
		Duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "hyssophoist_edge_request_seconds", Help: "Time from arrival to the end of a request.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 12),
		}, []string{"kind"}),
		BrokenStreams: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssophoist_edge_broken_streams_total",
			Help: "Begun streams closed before their end by the reason why no further attempt was made.",
		}, []string{"reason"}),
		Refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssophoist_edge_refusals_total",
			Help: "Streams refused for lack of capacity by the rank of their priority among those of their service, 0 for the most urgent.",
		}, []string{"rank"}),
		Dials: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hyssophoist_edge_dials_total", Help: "Connections opened to targets.",
		}),
		Orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssophoist_edge_orders_total", Help: "Orders given to engines by outcome.",
		}, []string{"outcome"}),
		StoreErrors: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssophoist_edge_store_errors_total", Help: "Failed reads of the platform's store by what was read.",
		}, []string{"read"}),
		PassedOverEntries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hyssophoist_edge_passed_over_entries_total",
			Help: "Entries in the list of targets that name no target, each time that they were written.",
		}),
		UnansweredConnections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hyssophoist_edge_unanswered_connections_total",
			Help: "Connections of callers closed without an answer to what they had sent.",
		}),
		CrossedConnections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hyssophoist_edge_crossed_connections_total",
			Help: "Idle connections of callers on which a request was sent while they were closed, and refused as not run.",
		}),
		ShedConnections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssophoist_edge_shed_connections_total",
			Help: "Connections of callers closed for want of descriptors or memory, by what was in progress on them.",
		}, []string{"phase"}),
		ConfigurationVersion: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "hyssophoist_edge_configuration_version", Help: "Version of the configuration in force.",
		}),
	}
	m.registry.MustRegister(m.Requests, m.Duration, m.BrokenStreams, m.Refusals, m.Dials, m.Orders, m.StoreErrors,
		m.PassedOverEntries, m.UnansweredConnections, m.CrossedConnections, m.ShedConnections, m.ConfigurationVersion, collectors.NewGoCollector())
	return m
}

// number is a value that a metric reads when it is collected.
type number interface {
	~int | ~int64 | ~uint64 | ~float64
}

// gauge returns a metric that reads its value when it is collected.
func gauge[N number](name, help string, labels prometheus.Labels, value func() N) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help, ConstLabels: labels},
		func() float64 { return float64(value()) })
}

// counter is gauge for a value that only rises.
func counter[N number](name, help string, value func() N) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 { return float64(value()) })
}

// registerTables adds metrics of this instance's copies of the store's tables.
func (m *Metrics) registerTables(t *tables) {
	for name, watcher := range map[string]*watch.Watcher{"configuration": t.configuration, "targets": t.targets} {
		labels := prometheus.Labels{"table": name}
		m.registry.MustRegister(
			gauge("hyssophoist_edge_table_age_seconds",
				"Time since the store confirmed the copy of a table, directly or through another instance.", labels,
				func() float64 { return watcher.State().Age.Seconds() }),
			gauge("hyssophoist_edge_table_reader", "1 if this instance reads a table for its zone.", labels, func() int {
				if watcher.Reader() {
					return 1
				}
				return 0
			}),
		)
	}
}

// registerStore adds metrics of the store.
func (m *Metrics) registerStore(s *platform.Store) {
	m.registry.MustRegister(gauge("hyssophoist_edge_store_era",
		"Era of the store, which rises each time it comes back from an older copy of its content.", nil, s.Era))
}

// registerGateway adds metrics of the state of the gateway.
func (m *Metrics) registerGateway(g *gateway.Gateway) {
	m.registry.MustRegister(
		sheddingCollector{g},
		gauge("hyssophoist_edge_quarantined_parts", "Parts of prompts that are refused because they crash engines.", nil,
			g.QuarantinedParts),
		gauge("hyssophoist_edge_isolated_services", "Services to whose targets this instance has lost its links.", nil,
			g.IsolatedServices),
		counter("hyssophoist_edge_relayed_requests_total", "Requests that other instances have taken from this one.", func() uint64 {
			sent, _ := g.RelayCounts()
			return sent
		}),
		counter("hyssophoist_edge_unrelayed_requests_total",
			"Requests that no other instance has taken from this one, which is isolated from their targets.", func() uint64 {
				_, refused := g.RelayCounts()
				return refused
			}),
		gauge("hyssophoist_edge_backoff_targets", "Targets that asked to get no requests for some time.", nil, func() int {
			targets, _ := g.Backoffs()
			return targets
		}),
		counter("hyssophoist_edge_backoff_saved_attempts_total",
			"Attempts that were not sent to a target because it asked to get no requests.", func() uint64 {
				_, saved := g.Backoffs()
				return saved
			}),
		gauge("hyssophoist_edge_body_bytes", "Bytes of response bodies that are buffered.", nil, g.BodyMemoryUsed),
		gauge("hyssophoist_edge_body_limit_bytes", "Limit of the bytes of response bodies that are buffered.", nil, g.BodyMemoryLimit),
		gauge("hyssophoist_edge_request_body_bytes", "Bytes reserved for the bodies of requests in progress.", nil,
			g.RequestBodyMemoryUsed),
		gauge("hyssophoist_edge_request_body_limit_bytes", "Limit of the bytes reserved for the bodies of requests in progress.", nil,
			g.RequestBodyMemoryLimit),
	)
}

func (m *Metrics) observeRequest(kind, result string, duration time.Duration) {
	m.Requests.WithLabelValues(kind, result).Inc()
	m.Duration.WithLabelValues(kind).Observe(duration.Seconds())
}

func (m *Metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
