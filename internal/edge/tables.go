package edge

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/loadshare"
	"github.com/hyssophoist/hyssophoist/internal/gateway"
	"github.com/hyssophoist/hyssophoist/internal/settings"
	"github.com/hyssophoist/hyssophoist/internal/watch"
	"github.com/hyssophoist/hyssophoist/platform"
)

const (
	// minCoalesceInterval is the minimum time between two reads of a table's changes, so that each instance makes one
	// call for a burst of changes. Since every instance makes a call for each change, the interval is at least
	// coalescePerInstance times the number of instances, up to maxCoalesceRatio of the time within which a change must
	// be known.
	minCoalesceInterval = 300 * time.Millisecond
	coalescePerInstance = 4 * time.Millisecond
	maxCoalesceRatio    = 0.3
)

// tables holds the watchers of the configuration table and the targets table.
type tables struct {
	configuration, targets *watch.Watcher
}

func newTables(s *settings.Edge, g *gateway.Gateway, store *platform.Store) *tables {
	return &tables{
		configuration: watch.New(store, platform.OperatorTable, coalesceInterval(g, s.ConfigurationBound)),
		targets:       watch.New(store, platform.TargetsTable, coalesceInterval(g, s.DrainBound)),
	}
}

// coalesceInterval returns a function for the minimum time between two reads of a table whose changes must be known
// within bound.
func coalesceInterval(g *gateway.Gateway, bound settings.Duration) func() time.Duration {
	limit := time.Duration(maxCoalesceRatio * float64(bound))
	return func() time.Duration {
		return min(limit, max(minCoalesceInterval, time.Duration(g.PeakInstances())*coalescePerInstance))
	}
}

// Versions implements loadshare.Tables.
func (t *tables) Versions() loadshare.Versions {
	return loadshare.Versions{Configuration: t.configuration.NewestVersion(), Targets: t.targets.NewestVersion()}
}

// Observe implements loadshare.Tables.
func (t *tables) Observe(versions loadshare.Versions) {
	t.configuration.ObservePeerVersion(versions.Configuration)
	t.targets.ObservePeerVersion(versions.Targets)
}
