// Package metrics defines the metrics of a daemon.
package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/hyssophoist/hyssophoist/internal/invariant"
)

// Metrics holds the metrics of one daemon. Durations are in seconds.
type Metrics struct {
	Registry *prometheus.Registry

	// Requests counts ended requests by request kind and result; the result is "ok" or an error kind.
	Requests *prometheus.CounterVec
	// InProgress is the number of requests that have arrived and not ended.
	InProgress prometheus.Gauge
	// Attempts counts ended attempts by result: "ok", "canceled" or an error kind.
	Attempts *prometheus.CounterVec
	// Tokens counts the tokens that passed all checks.
	Tokens prometheus.Counter
	// RejectedEvents counts stream events that failed a check, by reason.
	RejectedEvents *prometheus.CounterVec
	// FirstTokenSeconds is the time from arrival of a request to its first token.
	FirstTokenSeconds prometheus.Histogram
	// StepSeconds is the duration of one step of the router.
	StepSeconds prometheus.Histogram
	// ConfigurationVersion is the version of the configuration in force.
	ConfigurationVersion prometheus.Gauge
	// PollErrors counts failed polls by what was polled.
	PollErrors *prometheus.CounterVec
}

// New returns metrics registered with a new registry.
func New() *Metrics {
	m := &Metrics{
		Registry: prometheus.NewRegistry(),
		Requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssophoist_requests_total", Help: "Ended requests by kind and result.",
		}, []string{"kind", "result"}),
		InProgress: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "hyssophoist_requests_in_progress", Help: "Requests that have arrived and not ended.",
		}),
		Attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssophoist_attempts_total", Help: "Ended attempts by result.",
		}, []string{"result"}),
		Tokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hyssophoist_tokens_total", Help: "Tokens that passed all checks.",
		}),
		RejectedEvents: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssophoist_rejected_events_total", Help: "Stream events that failed a check, by reason.",
		}, []string{"reason"}),
		FirstTokenSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "hyssophoist_first_token_seconds",
			Help:    "Time from arrival of a request to its first token.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 14),
		}),
		StepSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "hyssophoist_router_step_seconds",
			Help:    "Duration of one step of the router.",
			Buckets: prometheus.ExponentialBuckets(0.00001, 4, 9),
		}),
		ConfigurationVersion: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "hyssophoist_configuration_version", Help: "Version of the configuration in force.",
		}),
		PollErrors: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssophoist_poll_errors_total", Help: "Failed polls by what was polled.",
		}, []string{"poll"}),
	}
	m.Registry.MustRegister(m.Requests, m.InProgress, m.Attempts, m.Tokens, m.RejectedEvents, m.FirstTokenSeconds,
		m.StepSeconds, m.ConfigurationVersion, m.PollErrors, invariant.Collector(),
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{})
}
