package placer

import (
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/routing"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
)

// TestPanicInOnePlan guards against a service whose plan panics and ends the process, or keeps other services from being planned.
func TestPanicInOnePlan(t *testing.T) {
	t.Parallel()
	c, v := newFakeCluster(4), newView()
	faulty := &routing.Service{ID: "faulty", Engine: &routing.Engine{Layers: -1}}
	v.configuration.Services[faulty.ID] = faulty
	p := newPlacer(c, v, "d0", 0)
	if orders := p.planService(boottime.Now(), faulty, nil); orders != nil {
		t.Errorf("orders %v of a plan that panics", orders)
	}
	if !runUntil(t, c, []*view{v}, []*Placer{p}, 10*time.Second, c.covered) {
		t.Fatalf("the layers of the sound service are not placed: %v", c.received)
	}
}
