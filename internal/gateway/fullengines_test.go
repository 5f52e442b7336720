package gateway

import (
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/loadshare"
	"github.com/hyssophoist/hyssophoist/core/routing"
)

// TestFullEnginesRefuseSoon guards against streams that are held for a path through full engines until they, and those
// behind them, are late.
func TestFullEnginesRefuseSoon(t *testing.T) {
	for _, test := range []struct {
		name              string
		missing           bool
		shortest, longest time.Duration
	}{
		{"full", false, fullTimeout, 2 * fullTimeout},
		{"layers missing", true, pathTimeout, 2 * pathTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g, service := modelGateway()
			g.SetOtherLoads(loadshare.Loads{}, loadshare.Instances{Zone: 1, All: 1}, false)
			service.Engine.PrefillRate = 1e6
			prompt := 0.6 * service.Engine.CacheCapacity(service.Engine.Cards["card"], 1)
			modelStream(t, g, service, prompt)
			g.dispatcher.Fleet.Get("b").Draining = test.missing
			s := addStream(g, "s2", 0, pathThrough("b"))
			s.service, s.route, s.size.Prompt = service, &routing.Route{Kind: routing.Streaming}, prompt
			begin := time.Now()
			if path := s.awaitPath(t.Context()); path != nil {
				t.Fatalf("path %s", formatPath(path))
			}
			if took := time.Since(begin); took < test.shortest || took > test.longest {
				t.Errorf("refused after %v, want %v to %v", took, test.shortest, test.longest)
			}
		})
	}
}
