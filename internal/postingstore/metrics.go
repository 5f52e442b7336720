package postingstore

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the metrics of a Runner. Durations are in seconds.
type Metrics struct {
	results      *prometheus.CounterVec
	transactions prometheus.Counter
	rows         prometheus.Counter
	pending      prometheus.Gauge
	takeovers    prometheus.Counter
	abandoned    prometheus.Counter
	retries      prometheus.Counter
	expired      prometheus.Counter
	claimSeconds prometheus.Histogram
}

// NewMetrics returns the metrics of one Runner.
func NewMetrics() *Metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "hyssophoist_posting_" + name, Help: help})
	}
	return &Metrics{
		results: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssophoist_posting_results_total", Help: "Ended postings by result.",
		}, []string{"result"}),
		transactions: counter("transactions_total", "Transactions sent to the platform."),
		rows:         counter("rows_total", "Rows written in these transactions, repeated ones included."),
		pending: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "hyssophoist_posting_pending_outcomes", Help: "Outcomes that are not yet stored.",
		}),
		takeovers: counter("takeovers_total", "Claims written over the claim of another attempt."),
		abandoned: counter("abandoned_total", "Attempts marked as abandoned."),
		retries:   counter("outcome_retries_total", "Waits before an outcome is written again."),
		expired:   counter("expired_total", "Rows deleted after their retention."),
		claimSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "hyssophoist_posting_claim_seconds", Help: "Time from arrival to the posting being sent.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}),
	}
}

// Collectors returns all metrics, for registration with a registry.
func (m *Metrics) Collectors() []prometheus.Collector {
	return []prometheus.Collector{
		m.results, m.transactions, m.rows, m.pending, m.takeovers, m.abandoned, m.retries, m.expired, m.claimSeconds,
	}
}
