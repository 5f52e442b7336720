package edge

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/internal/gateway"
	"github.com/hyssophoist/hyssophoist/internal/settings"
	"github.com/hyssophoist/hyssophoist/platform"
)

// followLeaving makes the gateway learn from responses to report requests and orders which engines leave.
func followLeaving(s *settings.Edge, g *gateway.Gateway, engines *platform.EngineClient) {
	engines.OnLeaving = g.RecordLeaving
	g.WithFleet(func(f *fleet.Fleet) { f.DrainBound = time.Duration(s.DrainBound) })
}

// registerLeaving adds a metric of the targets that leave.
func (m *Metrics) registerLeaving(g *gateway.Gateway) {
	register := func(source string, count func() int) {
		m.registry.MustRegister(gauge("hyssophoist_edge_leaving_targets",
			"Targets that leave, by the list of targets and by their own responses.", prometheus.Labels{"source": source}, count))
	}
	register("list", func() int { byList, _ := g.CountLeaving(); return byList })
	register("response", func() int { _, byResponse := g.CountLeaving(); return byResponse })
}
