package edge

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/internal/gateway"
)

var (
	shedRatio = prometheus.NewDesc("hyssophoist_edge_shed_ratio",
		"Part of the generations of a service that is refused because the service is overloaded.", []string{"service"}, nil)
	cacheUtilization = prometheus.NewDesc("hyssophoist_edge_cache_utilization",
		"Part of the KV cache of a service that is in use at the fullest layer, from which the refused part is derived.",
		[]string{"service"}, nil)
)

// sheddingCollector exports the overload of each service. The services come from the configuration and are not known when
// metrics are registered.
type sheddingCollector struct {
	source interface {
		Shedding() map[entity.ServiceID]gateway.SheddingState
	}
}

// Describe implements prometheus.Collector.
func (c sheddingCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- shedRatio
	descriptions <- cacheUtilization
}

// Collect implements prometheus.Collector.
func (c sheddingCollector) Collect(metrics chan<- prometheus.Metric) {
	for service, state := range c.source.Shedding() {
		metrics <- prometheus.MustNewConstMetric(shedRatio, prometheus.GaugeValue, state.Excess, string(service))
		metrics <- prometheus.MustNewConstMetric(cacheUtilization, prometheus.GaugeValue, state.Utilization, string(service))
	}
}
